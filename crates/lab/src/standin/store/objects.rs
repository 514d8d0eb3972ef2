//! Objects of the store and the conditional changes to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;

use super::log::{Entry, Log, Stored};

type ByName = BTreeMap<Arc<str>, Stored>;

/// Reason why a conditional change was not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The object has this version instead of the expected one; zero when it does not exist.
    Conflict(u64),
    /// The object to delete does not exist.
    NotFound,
}

/// All objects and the log of their changes.
#[derive(Debug)]
pub struct Objects {
    kinds: BTreeMap<Arc<str>, ByName>,
    log: Log,
}

impl Objects {
    /// Creates an empty store whose log keeps at most `max_changes` changes.
    pub fn new(max_changes: usize) -> Self {
        Self {
            kinds: BTreeMap::new(),
            log: Log::new(max_changes),
        }
    }

    /// Returns the change log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns an object as of a revision.
    pub fn get(&self, kind: &str, name: &str, revision: u64) -> Option<Stored> {
        let changed = self
            .log
            .after(revision)
            .find(|entry| &*entry.kind == kind && &*entry.name == name);
        match changed {
            Some(entry) => entry.before.clone(),
            None => self.current(kind, name).cloned(),
        }
    }

    /// Returns the objects of a kind as of a revision, by name.
    pub fn list(&self, kind: &str, revision: u64) -> BTreeMap<Arc<str>, Stored> {
        let mut names = self.kinds.get(kind).cloned().unwrap_or_default();
        for entry in self.log.after(revision).rev() {
            if &*entry.kind != kind {
                continue;
            }
            match &entry.before {
                Some(before) => names.insert(Arc::clone(&entry.name), before.clone()),
                None => names.remove(&entry.name),
            };
        }
        names
    }

    /// Writes an object if its version is `expected`, and returns the new version.
    ///
    /// `bytes` is the size of the value as JSON text.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: u64,
        value: Value,
        bytes: usize,
    ) -> Result<u64, Refusal> {
        let before = self.current(kind, name).cloned();
        let version = before.as_ref().map_or(0, |stored| stored.version);
        if version != expected {
            return Err(Refusal::Conflict(version));
        }
        let after = Stored {
            version: self.log.revision() + 1,
            value: Arc::new(value),
            bytes,
        };
        Ok(self.change(kind, name, before, Some(after)))
    }

    /// Deletes an object if its version is `expected`, and returns the revision of the deletion.
    pub fn delete(&mut self, kind: &str, name: &str, expected: u64) -> Result<u64, Refusal> {
        let before = self.current(kind, name).cloned().ok_or(Refusal::NotFound)?;
        if before.version != expected {
            return Err(Refusal::Conflict(before.version));
        }
        Ok(self.change(kind, name, Some(before), None))
    }

    fn current(&self, kind: &str, name: &str) -> Option<&Stored> {
        self.kinds.get(kind)?.get(name)
    }

    fn change(
        &mut self,
        kind: &str,
        name: &str,
        before: Option<Stored>,
        after: Option<Stored>,
    ) -> u64 {
        let kind: Arc<str> = Arc::from(kind);
        let name: Arc<str> = Arc::from(name);
        let names = self.kinds.entry(Arc::clone(&kind)).or_default();
        match after.clone() {
            Some(after) => names.insert(Arc::clone(&name), after),
            None => names.remove(&name),
        };
        let revision = self.log.revision() + 1;
        self.log.push(Entry {
            revision,
            at: Instant::now(),
            kind,
            name,
            before,
            after,
        });
        revision
    }
}
