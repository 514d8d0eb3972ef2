//! In-memory store whose next write can fail in different ways.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use futures::FutureExt;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tarragon_store::api::{Api, ResponseFuture};
use tarragon_store::error::{Error, Kind, Operation};
use tarragon_store::object::{Changes, Key, List, Object, Version};
use tarragon_store::update::Token;
use tokio_util::sync::CancellationToken;

/// Value written by the tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Unique token of the write attempt.
    pub token: String,
}

impl Note {
    pub fn new(token: &str) -> Self {
        Self {
            token: token.to_owned(),
        }
    }
}

impl Token for Note {
    fn token(&self) -> &str {
        &self.token
    }
}

/// What happens to the next write.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum NextWrite {
    /// It is executed and acknowledged.
    #[default]
    Acknowledged,
    /// It is executed; the response is lost.
    ResponseLost,
    /// It is neither executed nor acknowledged.
    RequestLost,
    /// It is executed, then overwritten by another writer; the response is lost.
    Overwritten,
    /// It is rejected with this kind of error.
    Failed(Kind),
}

#[derive(Default)]
pub struct State {
    pub version: u64,
    pub value: Option<Value>,
    pub puts: u32,
    pub next_write: NextWrite,
    /// Number of reads that still return this older object.
    pub stale: Option<(u32, Object)>,
}

/// In-memory store of one object.
#[derive(Default)]
pub struct FakeStore(Mutex<State>);

impl FakeStore {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Writes like another writer.
    pub fn overwrite(&self, token: &str) -> Version {
        let mut state = self.state();
        state.write(serde_json::to_value(Note::new(token)).unwrap())
    }
}

impl State {
    fn write(&mut self, value: Value) -> Version {
        self.version += 1;
        self.value = Some(value);
        Version(self.version)
    }

    fn put(&mut self, expected: Version, value: Value) -> Result<Version, Kind> {
        self.puts += 1;
        let next_write = std::mem::take(&mut self.next_write);
        match next_write {
            NextWrite::Failed(kind) => return Err(kind),
            NextWrite::RequestLost => return Err(Kind::Uncertain("lost".to_owned())),
            _ => {}
        }
        if expected != Version(self.version) {
            let version = Version(self.version);
            return Err(Kind::Conflict { version });
        }
        let version = self.write(value);
        match next_write {
            NextWrite::ResponseLost => Err(Kind::Uncertain("lost".to_owned())),
            NextWrite::Overwritten => {
                self.write(serde_json::to_value(Note::new("other")).unwrap());
                Err(Kind::Uncertain("lost".to_owned()))
            }
            _ => Ok(version),
        }
    }

    fn get(&mut self, key: Key<'_>) -> Result<Object, Kind> {
        if let Some((left, object)) = self.stale.take()
            && left > 0
        {
            self.stale = Some((left - 1, object.clone()));
            return Ok(object);
        }
        let value = self.value.clone().ok_or(Kind::NotFound)?;
        Ok(Object {
            kind: key.kind.to_owned(),
            name: key.name.to_owned(),
            version: Version(self.version),
            value,
        })
    }
}

fn error(operation: Operation, key: Key<'_>, kind: Kind) -> Error {
    Error::new(operation, &key.to_string(), "fake", kind)
}

impl Api for FakeStore {
    fn get<'a>(&'a self, key: Key<'a>, _: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        let result = self.state().get(key);
        async move { result.map_err(|kind| error(Operation::Get, key, kind)) }.boxed()
    }

    fn list<'a>(&'a self, _: &'a str, _: &'a CancellationToken) -> ResponseFuture<'a, List> {
        async { Ok(List::default()) }.boxed()
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version> {
        let result = self.state().put(expected, value.clone());
        async move { result.map_err(|kind| error(Operation::Put, key, kind)) }.boxed()
    }

    fn delete<'a>(
        &'a self,
        key: Key<'a>,
        _: Version,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, ()> {
        async move { Err(error(Operation::Delete, key, Kind::NotFound)) }.boxed()
    }

    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: Version,
        _: Duration,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes> {
        async { Ok(Changes::default()) }.boxed()
    }
}
