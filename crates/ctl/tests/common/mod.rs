//! Fakes of the store and the hosts that implement the traits of the program.

#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{BoxFuture, ready};
use serde_json::{Value, json};
use tarragon_model::config::{self, Config};
use tarragon_store::api::{Api, ResponseFuture};
use tarragon_store::error::{Error, Kind, Operation};
use tarragon_store::object::{Changes, Key, List, Object, Version};
use tarragonctl::host::{self, Events, Explanation, Shards, Status};
use tarragonctl::http;
use tokio_util::sync::CancellationToken;

/// Fault of the next write.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The write takes effect, and its response is lost.
    ResponseLost,
    /// The write takes no effect, and its outcome is reported as uncertain.
    RequestLost,
    /// Another operator writes this configuration first, so that the write conflicts.
    ConcurrentWrite(Config),
    /// The write takes effect, its response is lost, and another operator overwrites it.
    ResponseLostThenOverwritten(Config),
    /// Another operator writes this configuration first; the write takes no effect, and its outcome
    /// is reported as uncertain.
    RequestLostAfterConcurrentWrite(Config),
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    faults: Vec<Fault>,
    puts: usize,
}

impl State {
    fn write(&mut self, key: Key<'_>, value: Value) -> Version {
        self.revision += 1;
        let version = Version(self.revision);
        let object = Object {
            kind: key.kind.to_owned(),
            name: key.name.to_owned(),
            version,
            value,
        };
        let object_key = (key.kind.to_owned(), key.name.to_owned());
        self.objects.insert(object_key, object);
        version
    }

    fn find(&self, key: Key<'_>) -> Option<&Object> {
        let object_key = (key.kind.to_owned(), key.name.to_owned());
        self.objects.get(&object_key)
    }
}

/// In-memory store.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
}

impl Store {
    pub fn with_config(config: &Config) -> Self {
        let store = Self::default();
        store.write(config::KIND, config::OBJECT, json!(config));
        store
    }

    pub fn write(&self, kind: &str, name: &str, value: Value) -> Version {
        self.lock().write(Key::new(kind, name), value)
    }

    pub fn fail_next(&self, fault: Fault) {
        self.lock().faults.push(fault);
    }

    pub fn puts(&self) -> usize {
        self.lock().puts
    }

    pub fn config(&self) -> Config {
        let state = self.lock();
        let object = state.find(Key::new(config::KIND, config::OBJECT));
        object
            .expect("a configuration")
            .decode()
            .expect("a configuration")
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the store")
    }

    fn put_now(&self, key: Key<'_>, expected: Version, value: &Value) -> Result<Version, Kind> {
        let uncertain = || Kind::Uncertain("the response was lost".to_owned());
        let mut state = self.lock();
        state.puts += 1;
        let fault = state.faults.pop();
        if let Some(Fault::ConcurrentWrite(other) | Fault::RequestLostAfterConcurrentWrite(other)) =
            &fault
        {
            state.write(key, json!(other));
        }
        if let Some(Fault::RequestLost | Fault::RequestLostAfterConcurrentWrite(_)) = &fault {
            return Err(uncertain());
        }
        let version = state
            .find(key)
            .map_or(Version::ABSENT, |object| object.version);
        if version != expected {
            return Err(Kind::Conflict { version });
        }
        let version = state.write(key, value.clone());
        match fault {
            Some(Fault::ResponseLost) => Err(uncertain()),
            Some(Fault::ResponseLostThenOverwritten(other)) => {
                state.write(key, json!(other));
                Err(uncertain())
            }
            _ => Ok(version),
        }
    }
}

fn error(operation: Operation, object: &str, kind: Kind) -> Error {
    Error::new(operation, object, "stand-in", kind)
}

impl Api for Store {
    fn get<'a>(&'a self, key: Key<'a>, _: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        let found = self.lock().find(key).cloned();
        ready(found.ok_or_else(|| error(Operation::Get, &key.to_string(), Kind::NotFound))).boxed()
    }

    fn list<'a>(&'a self, kind: &'a str, _: &'a CancellationToken) -> ResponseFuture<'a, List> {
        let state = self.lock();
        let objects = state.objects.values().filter(|object| object.kind == kind);
        let list = List {
            revision: Version(state.revision),
            items: objects.cloned().collect(),
        };
        ready(Ok(list)).boxed()
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version> {
        let result = self.put_now(key, expected, value);
        ready(result.map_err(|kind| error(Operation::Put, &key.to_string(), kind))).boxed()
    }

    fn delete<'a>(
        &'a self,
        key: Key<'a>,
        _: Version,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, ()> {
        let kind = Kind::Refused { status: 405 };
        ready(Err(error(Operation::Delete, &key.to_string(), kind))).boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        _: Version,
        _: Duration,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes> {
        let refused = Kind::Refused { status: 405 };
        ready(Err(error(Operation::Watch, kind, refused))).boxed()
    }
}

/// Hosts, by the port of their admin address; a host without an entry does not respond.
#[derive(Default)]
pub struct Hosts {
    pub statuses: BTreeMap<u16, Status>,
    pub explanations: BTreeMap<u16, Explanation>,
}

type HostFuture<'a, T> = BoxFuture<'a, Result<T, http::Error>>;

fn respond<'a, T: Clone + Send + 'a>(peer: SocketAddr, found: Option<&T>) -> HostFuture<'a, T> {
    let found = found.cloned();
    let unreachable = http::Error::Connection {
        request: "ask".to_owned(),
        peer,
        reason: "unreachable".to_owned(),
    };
    ready(found.ok_or(unreachable)).boxed()
}

impl host::Api for Hosts {
    fn status(&self, host: SocketAddr) -> HostFuture<'_, Status> {
        respond(host, self.statuses.get(&host.port()))
    }

    fn shards(&self, host: SocketAddr) -> HostFuture<'_, Shards> {
        respond(host, None)
    }

    fn explain<'a>(
        &'a self,
        host: SocketAddr,
        _: &'a str,
        _: &'a str,
    ) -> HostFuture<'a, Explanation> {
        respond(host, self.explanations.get(&host.port()))
    }

    fn events(&self, host: SocketAddr, _: u64, _: Duration) -> HostFuture<'_, Events> {
        respond(host, None)
    }
}

/// Entry of the platform's host list.
pub fn entry(name: &str, admin_port: u16) -> Value {
    json!({
        "id": name,
        "region": "sindh",
        "failure_domain": "karachi-1",
        "peer_addr": "127.0.0.1:1",
        "forward_addr": "127.0.0.1:2",
        "admin_addr": format!("127.0.0.1:{admin_port}"),
        "state": "live",
    })
}
