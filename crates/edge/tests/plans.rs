//! Grants while the store goes away in the middle of the write of a plan.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::Duration;

use common::router::read_head;
use common::{entry_at, state};
use serde_json::Value;
use tarragon_dispatch::catalog::{Catalog, Service};
use tarragon_edge::granting::{Grants, PLAN_KIND};
use tarragon_edge::state::State;
use tarragon_store::api::{Api, ResponseFuture};
use tarragon_store::error::{Error, Kind, Operation};
use tarragon_store::object::{Changes, Key, List, Object, Version};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Serves,
    /// Writes fail, and take effect or not.
    Away {
        applies: bool,
    },
}

/// Store with one plan.
struct OnePlan {
    mode: Mutex<Mode>,
    plan: Mutex<Option<(Version, Value)>>,
}

impl OnePlan {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn error(kind: Kind) -> Error {
        Error::new(Operation::Get, PLAN_KIND, "test", kind)
    }

    fn get(&self) -> Result<Object, Error> {
        if self.mode() != Mode::Serves {
            return Err(Self::error(Kind::Unavailable("away".to_owned())));
        }
        let plan = self.plan.lock().unwrap().clone();
        let (version, value) = plan.ok_or_else(|| Self::error(Kind::NotFound))?;
        Ok(Object {
            kind: PLAN_KIND.to_owned(),
            name: "s".to_owned(),
            version,
            value,
        })
    }

    fn put(&self, expected: Version, value: &Value) -> Result<Version, Error> {
        let mut plan = self.plan.lock().unwrap();
        let version = plan
            .as_ref()
            .map_or(Version::ABSENT, |(version, _)| *version);
        if version != expected {
            return Err(Self::error(Kind::Conflict { version }));
        }
        let next = Version(version.0 + 10);
        if self.mode() != (Mode::Away { applies: false }) {
            *plan = Some((next, value.clone()));
        }
        match self.mode() {
            Mode::Serves => Ok(next),
            Mode::Away { .. } => Err(Self::error(Kind::Uncertain("no response".to_owned()))),
        }
    }
}

impl Api for OnePlan {
    fn get<'a>(&'a self, _: Key<'a>, _: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        Box::pin(async { self.get() })
    }

    fn list<'a>(&'a self, _: &'a str, _: &'a CancellationToken) -> ResponseFuture<'a, List> {
        Box::pin(async { Err(Self::error(Kind::NotFound)) })
    }

    fn put<'a>(
        &'a self,
        _: Key<'a>,
        expected: Version,
        value: &'a Value,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version> {
        Box::pin(async move { self.put(expected, value) })
    }

    fn delete<'a>(
        &'a self,
        _: Key<'a>,
        _: Version,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, ()> {
        Box::pin(async { Err(Self::error(Kind::NotFound)) })
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: Version,
        _: Duration,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes> {
        Box::pin(async { Err(Self::error(Kind::NotFound)) })
    }
}

/// Adds a backend server that accepts every command, and returns the number of commands.
async fn add_server(state: &State, id: &str) -> Rc<Cell<u32>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Rc::new(Cell::new(0));
    let counted = count.clone();
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = counted.clone();
            tokio::task::spawn_local(async move {
                while let Some(head) = read_head(&mut stream).await {
                    let length = common::router::header(&head, "content-length").unwrap_or("0");
                    let mut body = vec![0; length.parse().unwrap()];
                    stream.read_exact(&mut body).await.unwrap();
                    count.set(count.get() + 1);
                    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(response).await.unwrap();
                }
            });
        }
    });
    state.update_server(entry_at(id, address), 1);
    count
}

/// Returns the number of ranges that their holder has accepted.
fn held(state: &State) -> usize {
    let held = state.with_key_map("s", |known| {
        known.map.ranges.iter().filter(|range| range.held).count()
    });
    held.unwrap_or_default()
}

async fn run(applies: bool) {
    let state = Rc::new(state());
    let catalog = Catalog {
        version: 1,
        services: vec![Service {
            name: "s".to_owned(),
            connections: 100,
            keyed: true,
        }],
        ..Catalog::default()
    };
    state.apply_catalog(catalog, 1);
    let api = Rc::new(OnePlan {
        mode: Mutex::new(Mode::Serves),
        plan: Mutex::default(),
    });
    let first = add_server(&state, "a").await;
    let (completions, mut completed) = unbounded_channel();
    let mut grants = Grants::new(state.clone(), api.clone(), completions, 1, true);
    let mut step = async |grants: &mut Grants, time: Duration| {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            for (service, update) in grants.tick(true) {
                match update {
                    tarragon_edge::granting::Update::Map(map) => {
                        state.update_key_map(&service, map);
                    }
                    tarragon_edge::granting::Update::Patch(patch) => {
                        assert!(state.patch_key_map(&service, &patch));
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            while let Ok(completion) = completed.try_recv() {
                grants.on_completion(completion);
            }
        }
    };
    step(&mut grants, Duration::from_secs(2)).await;
    assert!(held(&state) > 0, "the first server holds the keys");
    // A second server joins, so a plan is due, and its write gets no response.
    *api.mode.lock().unwrap() = Mode::Away { applies };
    let second = add_server(&state, "b").await;
    step(&mut grants, Duration::from_secs(2)).await;
    let before = first.get();
    step(&mut grants, Duration::from_secs(3)).await;
    assert!(first.get() >= before + 2, "renewals go on");
    assert_eq!(second.get(), 0, "nothing moves without the store");
    *api.mode.lock().unwrap() = Mode::Serves;
    step(&mut grants, Duration::from_secs(4)).await;
    assert!(second.get() > 0, "keys move once the store is back");
    assert!(held(&state) > 1);
}

macro_rules! keeps_renewing {
    ($name:ident, $applies:literal) => {
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(run($applies)).await;
        }
    };
}

keeps_renewing!(a_write_without_a_response_that_took_effect, true);
keeps_renewing!(a_write_without_a_response_that_took_no_effect, false);
