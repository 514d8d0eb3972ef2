#![allow(dead_code, reason = "each test file uses only some of the helpers")]
//! Minimal platform for tests, and store objects in its format.

pub mod router;
pub mod store;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderName, Method};
use serde_json::{Value, json};
use tarragon_dispatch::budget;
use tarragon_dispatch::catalog::{Catalog, Service};
use tarragon_dispatch::fleet::{Entry, Load};
use tarragon_edge::platform::{Headers, Platform};
use tarragon_edge::settings::{Bounds, Settings};
use tarragon_edge::state::State;
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Action, Command};
use tarragon_store::dialect::{Dialect, Native, Request};
use tarragon_store::object::{Key, List, Object, Version};

/// Time before which no other host is elected, where the store always confirms the term.
pub const ALWAYS: Instant = Instant::from_micros(u64::MAX);

/// Platform with minimal catalog, entry and command formats.
pub struct Plain(Headers);

impl Plain {
    pub fn new() -> Self {
        let name = HeaderName::from_static;
        Self(Headers {
            request_id: name("x-request"),
            deadline: name("x-deadline"),
            expected_server: name("x-expect"),
            server: name("x-server"),
            not_run: name("x-not-run"),
            receipt: name("x-receipt"),
            load: name("x-load"),
            key: name("x-key"),
            handover: name("x-handover"),
        })
    }
}

impl Platform for Plain {
    fn headers(&self) -> &Headers {
        &self.0
    }

    fn dialect(&self) -> Box<dyn Dialect> {
        Box::new(Native)
    }

    fn catalog_key(&self) -> Key<'static> {
        Key::new("catalogs", "main")
    }

    fn entries_kind(&self) -> &'static str {
        "entries"
    }

    fn evacuations_kind(&self) -> &'static str {
        "evacuations"
    }

    fn parse_catalog(&self, value: &Value) -> Result<Catalog, String> {
        let version = value["version"].as_u64().ok_or("no version")?;
        Ok(Catalog {
            version,
            ..Catalog::default()
        })
    }

    fn parse_entry(&self, id: &str, value: &Value) -> Result<Entry, String> {
        let start_ms = value["born"].as_u64().ok_or("no start time")?;
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        Ok(Entry {
            start_ms,
            ..entry_at(id, address)
        })
    }

    fn encode_command(&self, command: &Command, grant_ms: u128) -> Request {
        let body = json!({
            "grant": command.action == Action::Grant,
            "from": command.from,
            "to": command.to,
            "hold": grant_ms.to_string(),
        });
        Request {
            method: Method::POST,
            path: "/order".to_owned(),
            body: Bytes::from(body.to_string()),
        }
    }

    fn parse_load(&self, _text: &str) -> Option<Load> {
        None
    }
}

/// Returns the state of a host without a catalog or backend servers.
pub fn state() -> State {
    state_of(Box::new(Plain::new()))
}

/// Returns the state of a host whose catalog names one service, `s`, which is divided by key.
pub fn keyed_state() -> State {
    let state = state();
    add_keyed_service(&state);
    state
}

/// Applies a catalog that names one service, `s`, which is divided by key.
pub fn add_keyed_service(state: &State) {
    let service = Service {
        name: "s".to_owned(),
        connections: 100,
        keyed: true,
        warmup: None,
    };
    let catalog = Catalog {
        version: 1,
        services: vec![service],
        ..Catalog::default()
    };
    state.apply_catalog(catalog, 1);
}

/// Like [`state`], on a platform.
pub fn state_of(platform: Box<dyn Platform>) -> State {
    State::new(settings(), platform, 1)
}

/// Returns the settings of a host on a platform without limits on cold servers or evacuations.
pub fn settings() -> Settings {
    let local = || "127.0.0.1:0".parse().unwrap();
    Settings {
        host: "host".to_owned(),
        zone: "z".to_owned(),
        regions: HashMap::new(),
        first_start: false,
        cores: 0.2,
        memory: 160 * 1024 * 1024,
        callers: local(),
        ready: local(),
        control: local(),
        metrics: None,
        seeds: Vec::new(),
        store: local(),
        bounds: Bounds {
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            max_grant: Duration::from_secs(10),
            retries: budget::Bound {
                ratio: 0.2,
                slack: 10.0,
                window: Duration::from_secs(10),
            },
            warmup: None,
            admission: true,
            evacuation: None,
        },
    }
}

/// Returns the entry of a ready backend server at an address.
pub fn entry_at(id: &str, addr: SocketAddr) -> Entry {
    Entry {
        id: id.to_owned(),
        start_ms: 1,
        service: "s".to_owned(),
        addr,
        zone: "z".to_owned(),
        slots: 6,
        draining: false,
        warmup: Duration::ZERO,
    }
}

/// Returns the store object of a backend server's entry, last changed at a revision.
pub fn entry(id: &str, revision: u64) -> Object {
    Object {
        kind: "entries".to_owned(),
        name: id.to_owned(),
        version: Version(revision),
        value: json!({ "born": 1 }),
    }
}

/// Returns a list of entries at a revision.
pub fn list(revision: u64, items: &[Object]) -> List {
    List {
        revision: Version(revision),
        items: items.to_vec(),
    }
}
