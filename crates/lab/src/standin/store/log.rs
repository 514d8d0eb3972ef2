//! Change log of the store, which serves watches and stale reads.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use serde_json::Value;

/// Maximum total size of the values in the log, in bytes.
pub const MAX_LOG_BYTES: usize = 128 * 1024 * 1024;

/// Value of an object at a version.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Store revision at which the value was written.
    pub version: u64,
    /// Value of the object.
    pub value: Arc<Value>,
    /// Size of the value as JSON text, in bytes.
    pub bytes: usize,
}

/// One change of one object; each change has its own revision.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Store revision that the change produced.
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
    fn bytes(&self) -> usize {
        self.after.as_ref().map_or(0, |stored| stored.bytes)
    }
}

/// The latest changes in the order of their revisions.
#[derive(Debug)]
pub struct Log {
    max_entries: usize,
    entries: VecDeque<Entry>,
    revision: u64,
    bytes: usize,
}

impl Log {
    /// Creates an empty log that keeps at most `max_entries` changes.
    pub fn new(max_entries: usize) -> Self {
        Self {
            max_entries,
            entries: VecDeque::new(),
            revision: 0,
            bytes: 0,
        }
    }

    /// Returns the revision of the latest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Appends a change, whose revision must follow the latest one, and drops the oldest changes
    /// beyond the limits.
    pub fn push(&mut self, entry: Entry) {
        self.revision = entry.revision;
        self.bytes += entry.bytes();
        self.entries.push_back(entry);
        while self.entries.len() > self.max_entries || self.bytes > MAX_LOG_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= oldest.bytes();
        }
    }

    /// Returns the oldest revision after which every change is still in the log.
    pub fn oldest(&self) -> u64 {
        self.entries
            .front()
            .map_or(self.revision, |entry| entry.revision - 1)
    }

    /// Returns the store revision at `time`, or the oldest one when the log does not reach back
    /// that far.
    pub fn revision_at(&self, time: Instant) -> u64 {
        let later = self.entries.partition_point(|entry| entry.at <= time);
        match later.checked_sub(1) {
            Some(last) => self.entries[last].revision,
            None => self.oldest(),
        }
    }

    /// Iterates over the changes after a revision, oldest first.
    pub fn after(&self, revision: u64) -> impl DoubleEndedIterator<Item = &Entry> {
        let first = self
            .entries
            .partition_point(|entry| entry.revision <= revision);
        self.entries.range(first..)
    }
}
