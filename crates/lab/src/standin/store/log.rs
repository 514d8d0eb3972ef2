//! Change log of the store, from which watches and stale reads are answered.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;

/// Size of the values that kept changes wrote, at most, in bytes.
pub const KEPT_BYTES: usize = 128 * 1024 * 1024;

/// Value of an object at a version.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Revision of the store at which it was written.
    pub version: u64,
    /// Value of the object.
    pub value: Arc<Value>,
    /// Size of the value as text, in bytes.
    pub size: usize,
}

/// One change of one object; each change has a revision of its own.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Revision of the store that the change produced.
    pub revision: u64,
    /// Time of the change.
    pub at: Instant,
    /// Kind of the object.
    pub kind: Arc<str>,
    /// Name of the object.
    pub name: Arc<str>,
    /// Object before the change.
    pub before: Option<Stored>,
    /// Object after the change; `None` when it was deleted.
    pub after: Option<Stored>,
}

impl Entry {
    fn size(&self) -> usize {
        self.after.as_ref().map_or(0, |stored| stored.size)
    }
}

/// The latest changes, in the order of their revisions.
#[derive(Debug)]
pub struct Log {
    keep: usize,
    entries: VecDeque<Entry>,
    revision: u64,
    size: usize,
}

impl Log {
    /// Creates an empty log that keeps at most so many changes.
    pub fn new(keep: usize) -> Self {
        Self {
            keep,
            entries: VecDeque::new(),
            revision: 0,
            size: 0,
        }
    }

    /// Returns the revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Appends a change, whose revision must follow the latest.
    pub fn push(&mut self, entry: Entry) {
        self.revision = entry.revision;
        self.size += entry.size();
        self.entries.push_back(entry);
        while self.entries.len() > self.keep || self.size > KEPT_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.size -= oldest.size();
        }
    }

    /// Returns the oldest revision from which all later changes are kept.
    pub fn oldest(&self) -> u64 {
        self.entries
            .front()
            .map_or(self.revision, |entry| entry.revision - 1)
    }

    /// Returns the revision that the store had at `time`, as far as the log reaches.
    pub fn revision_at(&self, time: Instant) -> u64 {
        let later = self.entries.partition_point(|entry| entry.at <= time);
        match later.checked_sub(1) {
            Some(last) => self.entries[last].revision,
            None => self.oldest(),
        }
    }

    /// Returns the changes after a revision, oldest first.
    pub fn after(&self, revision: u64) -> impl DoubleEndedIterator<Item = &Entry> {
        let first = self
            .entries
            .partition_point(|entry| entry.revision <= revision);
        self.entries.range(first..)
    }
}
