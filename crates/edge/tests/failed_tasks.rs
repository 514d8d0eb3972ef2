//! Tasks of the granter that end without a result.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::router::add_holder;
use common::store::Store;
use common::{ALWAYS, Plain, add_keyed_service, entry_at, state_of};
use serde_json::Value;
use tarragon_dispatch::catalog::Catalog;
use tarragon_dispatch::fleet::{Entry, Load};
use tarragon_edge::granting::Grants;
use tarragon_edge::platform::{Headers, Platform};
use tarragon_owner::granter::Command;
use tarragon_store::dialect::{Dialect, Request};
use tarragon_store::object::Key;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Time within which the keys of a server that cannot be reached go to the next one.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Platform that panics at the next command once `armed` is set.
struct Panicking {
    plain: Plain,
    armed: Arc<AtomicBool>,
}

impl Platform for Panicking {
    fn headers(&self) -> &Headers {
        self.plain.headers()
    }

    fn dialect(&self) -> Box<dyn Dialect> {
        self.plain.dialect()
    }

    fn catalog_key(&self) -> Key<'static> {
        self.plain.catalog_key()
    }

    fn entries_kind(&self) -> &'static str {
        self.plain.entries_kind()
    }

    fn evacuations_kind(&self) -> &'static str {
        self.plain.evacuations_kind()
    }

    fn parse_catalog(&self, value: &Value) -> Result<Catalog, String> {
        self.plain.parse_catalog(value)
    }

    fn parse_entry(&self, id: &str, value: &Value) -> Result<Entry, String> {
        self.plain.parse_entry(id, value)
    }

    fn encode_command(&self, command: &Command, grant_ms: u128) -> Request {
        assert!(!self.armed.swap(false, Ordering::SeqCst), "armed");
        self.plain.encode_command(command, grant_ms)
    }

    fn parse_load(&self, text: &str) -> Option<Load> {
        self.plain.parse_load(text)
    }
}

/// Guards against keys that are never granted again after the task of one grant has panicked.
#[tokio::test]
async fn keys_expire_after_the_task_of_a_grant_panicked() {
    LocalSet::new().run_until(move_keys_after_a_panic()).await;
}

async fn move_keys_after_a_panic() {
    let armed = Arc::new(AtomicBool::new(false));
    let platform = Panicking {
        plain: Plain::new(),
        armed: armed.clone(),
    };
    let state = Rc::new(state_of(Box::new(platform)));
    add_keyed_service(&state);
    let first = add_holder(&state, "first").await;
    let (completions, mut completed) = unbounded_channel();
    let store = Rc::new(Store::new());
    let mut grants = Grants::new(state.clone(), store, completions, 1, true);
    let mut tick_until = async |what: &str, condition: &dyn Fn() -> bool| {
        let ticks = async {
            while !condition() {
                let _ = grants.tick(true, ALWAYS, state.now());
                sleep(Duration::from_millis(10)).await;
                while let Ok(completion) = completed.try_recv() {
                    grants.on_completion(completion);
                }
            }
        };
        assert!(timeout(TIMEOUT, ticks).await.is_ok(), "{what}");
    };
    tick_until("the first server gets the keys", &|| first.get() > 0).await;
    armed.store(true, Ordering::SeqCst);
    let panicked = || !armed.load(Ordering::SeqCst);
    tick_until("the task of a renewal panics", &panicked).await;

    let unreachable = Entry {
        draining: true,
        ..entry_at("first", SocketAddr::from(([127, 0, 0, 1], 9)))
    };
    state.update_server(unreachable, 2);
    let second = add_holder(&state, "second").await;
    tick_until("the keys are granted again", &|| second.get() > 0).await;
}
