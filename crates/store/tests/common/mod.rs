//! Store in memory whose next write can lose its answer.

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

/// Value of the tests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Note {
    /// Unique text of the write attempt.
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
pub enum Fate {
    /// It is executed and answered.
    #[default]
    Answered,
    /// It is executed; the answer is lost.
    AnswerLost,
    /// It is neither executed nor answered.
    RequestLost,
    /// It is executed, then overwritten by another writer; the answer is lost.
    Overwritten,
    /// It is refused with this kind of error.
    Failed(Kind),
}

#[derive(Default)]
pub struct State {
    pub version: u64,
    pub value: Option<Value>,
    pub puts: u32,
    pub next: Fate,
    /// Reads that still answer this older state.
    pub stale: Option<(u32, Object)>,
}

/// Store of one object.
#[derive(Default)]
pub struct Fake(Mutex<State>);

impl Fake {
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Writes as another writer would.
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
        let fate = std::mem::take(&mut self.next);
        match fate {
            Fate::Failed(kind) => return Err(kind),
            Fate::RequestLost => return Err(Kind::Uncertain("lost".to_owned())),
            _ => {}
        }
        if expected != Version(self.version) {
            let version = Version(self.version);
            return Err(Kind::Conflict { version });
        }
        let version = self.write(value);
        match fate {
            Fate::AnswerLost => Err(Kind::Uncertain("lost".to_owned())),
            Fate::Overwritten => {
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

impl Api for Fake {
    fn get<'a>(&'a self, key: Key<'a>, _: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        let answer = self.state().get(key);
        async move { answer.map_err(|kind| error(Operation::Get, key, kind)) }.boxed()
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
        let answer = self.state().put(expected, value.clone());
        async move { answer.map_err(|kind| error(Operation::Put, key, kind)) }.boxed()
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
