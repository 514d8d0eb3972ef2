//! Store in memory that goes away and comes back, and that may list one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use tarragon_store::api::{Api, ResponseFuture};
use tarragon_store::error::{Error, Kind, Operation};
use tarragon_store::object::{Change, Changes, Era, Key, List, Object, Version};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serves,
    /// Calls fail, and writes take effect or not.
    Away {
        applies: bool,
    },
}

/// Longest wait of a watch, unless the store waits patiently.
const SHORT_WAIT: Duration = Duration::from_millis(100);

/// Store whose objects have one revision counter.
pub struct Store {
    mode: Mutex<Mode>,
    /// Entry that is listed until it is removed.
    entry: Option<Object>,
    removed: Notify,
    max_wait: Duration,
    objects: Mutex<BTreeMap<(String, String), (Version, Value)>>,
    revision: Mutex<u64>,
    era: Mutex<Era>,
    calls: AtomicU32,
    /// Kinds of the objects that were listed.
    kinds: Mutex<BTreeSet<String>>,
}

/// Objects and revision of a store.
pub struct Copy(BTreeMap<(String, String), (Version, Value)>, u64);

impl Store {
    pub fn new() -> Self {
        Self {
            mode: Mutex::new(Mode::Serves),
            entry: None,
            removed: Notify::new(),
            max_wait: SHORT_WAIT,
            objects: Mutex::default(),
            revision: Mutex::new(1),
            era: Mutex::default(),
            calls: AtomicU32::new(0),
            kinds: Mutex::default(),
        }
    }

    /// Creates a store that lists one entry, and whose watches wait for their full time.
    pub fn patient(entry: Object) -> Self {
        Self {
            entry: Some(entry),
            max_wait: Duration::MAX,
            ..Self::new()
        }
    }

    /// Copies the store.
    pub fn copy(&self) -> Copy {
        Copy(
            self.objects.lock().unwrap().clone(),
            *self.revision.lock().unwrap(),
        )
    }

    /// Comes back from a copy, in a new era.
    pub fn restore(&self, copy: &Copy, era: u64) {
        *self.objects.lock().unwrap() = copy.0.clone();
        *self.revision.lock().unwrap() = copy.1;
        *self.era.lock().unwrap() = Era::new(era).unwrap();
    }

    fn place(&self, version: Version) -> Version {
        Version::in_era(*self.era.lock().unwrap(), version.0).unwrap()
    }

    /// Removes the entry, which ends a watch.
    pub fn remove_entry(&self) {
        self.removed.notify_one();
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap()
    }

    fn error(kind: Kind) -> Error {
        Error::new(Operation::Get, "object", "test", kind)
    }

    /// Returns the kinds of the objects that were listed so far.
    pub fn listed_kinds(&self) -> BTreeSet<String> {
        self.kinds.lock().unwrap().clone()
    }

    /// Returns the objects of a kind that were written after a revision.
    fn written(&self, kind: &str, after: Version) -> Vec<Object> {
        let objects = self.objects.lock().unwrap();
        let later = objects
            .iter()
            .filter(|((of, _), (v, _))| of == kind && *v > after);
        let object =
            |((kind, name), (version, value)): (&(String, String), &(Version, Value))| Object {
                kind: kind.clone(),
                name: name.clone(),
                version: *version,
                value: value.clone(),
            };
        later.map(object).collect()
    }

    /// Returns the number of lists and watches so far.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::SeqCst)
    }

    fn check_available(&self) -> Result<(), Error> {
        if self.mode() == Mode::Serves {
            Ok(())
        } else {
            Err(Self::error(Kind::Unavailable("away".to_owned())))
        }
    }

    fn get(&self, key: Key<'_>) -> Result<Object, Error> {
        self.check_available()?;
        let objects = self.objects.lock().unwrap();
        let found = objects.get(&(key.kind.to_owned(), key.name.to_owned()));
        let (version, value) = found.ok_or_else(|| Self::error(Kind::NotFound))?;
        Ok(Object {
            kind: key.kind.to_owned(),
            name: key.name.to_owned(),
            version: self.place(*version),
            value: value.clone(),
        })
    }

    fn put(&self, key: Key<'_>, expected: Version, value: &Value) -> Result<Version, Error> {
        let era = *self.era.lock().unwrap();
        if expected != Version::ABSENT && expected.era() < era {
            return Err(Self::error(Kind::EarlierEra));
        }
        let expected = Version(expected.revision());
        let mut objects = self.objects.lock().unwrap();
        let name = (key.kind.to_owned(), key.name.to_owned());
        let known = objects
            .get(&name)
            .map_or(Version::ABSENT, |(version, _)| *version);
        if known != expected && self.mode() == Mode::Serves {
            let version = self.place(known);
            return Err(Self::error(Kind::Conflict { version }));
        }
        let mut revision = self.revision.lock().unwrap();
        *revision += 1;
        if known == expected && self.mode() != (Mode::Away { applies: false }) {
            objects.insert(name, (Version(*revision), value.clone()));
        }
        match self.mode() {
            Mode::Serves => Ok(self.place(Version(*revision))),
            Mode::Away { .. } => Err(Self::error(Kind::Uncertain("no response".to_owned()))),
        }
    }
}

impl Api for Store {
    fn get<'a>(&'a self, key: Key<'a>, _: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        Box::pin(async move { self.get(key) })
    }

    fn era(&self) -> Era {
        *self.era.lock().unwrap()
    }

    fn list<'a>(&'a self, kind: &'a str, _: &'a CancellationToken) -> ResponseFuture<'a, List> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            self.check_available()?;
            self.kinds.lock().unwrap().insert(kind.to_owned());
            let entry = self.entry.iter().filter(|entry| entry.kind == kind);
            let written = self.written(kind, Version::ABSENT);
            Ok(List {
                revision: self.place(Version(*self.revision.lock().unwrap())),
                items: entry.cloned().chain(written).collect(),
            })
        })
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version> {
        Box::pin(async move { self.put(key, expected, value) })
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
        kind: &'a str,
        after: Version,
        wait: Duration,
        _: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes> {
        self.calls.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            self.check_available()?;
            let watched = self.entry.iter().find(|entry| entry.kind == kind);
            let removed = async {
                match watched {
                    Some(_) => self.removed.notified().await,
                    None => std::future::pending().await,
                }
            };
            let change = timeout(wait.min(self.max_wait), removed).await;
            self.check_available()?;
            let removed = watched.filter(|_| change.is_ok()).map(|entry| Object {
                version: Version(after.0 + 1),
                ..entry.clone()
            });
            let written = self.written(kind, after);
            let revision = written.iter().map(|object| object.version).max();
            let revision = revision.unwrap_or(Version(after.0 + u64::from(removed.is_some())));
            let deleted = |deleted| move |object| Change { deleted, object };
            let changes = removed.into_iter().map(deleted(true));
            Ok(Changes {
                revision,
                changes: changes
                    .chain(written.into_iter().map(deleted(false)))
                    .collect(),
            })
        })
    }
}
