//! Counters of the calls to the store.

use std::time::Instant;

use serde::Serialize;

/// Counters since the start of the process, as reported by `GET /_stats`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of all objects of a kind.
    pub lists: u64,
    /// Writes, including refused ones.
    pub puts: u64,
    /// Deletions, including refused ones.
    pub deletes: u64,
    /// Watches; each counts once however long it waits.
    pub watches: u64,
    /// Writes and deletions refused because of a version conflict.
    pub conflicts: u64,
    /// Calls refused because of the rate limit.
    pub throttled: u64,
    /// Calls refused because the store was down.
    #[serde(rename = "away")]
    pub unavailable: u64,
    /// Responses lost because of an injected fault.
    #[serde(rename = "lost_answers")]
    pub lost_responses: u64,
    /// Maximum number of writes and deletions within one second.
    pub peak_writes_per_s: u64,
    /// Maximum number of gets, lists and watches within one second.
    pub peak_reads_per_s: u64,
}

/// Call of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get,
    /// Lists all objects of a kind.
    List,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Waits for changes.
    Watch,
}

impl Call {
    /// Returns whether the call changes objects.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// Counters and the rates of the current second.
#[derive(Debug)]
pub struct Stats {
    counts: Counts,
    start: Instant,
    second: u64,
    writes: u64,
    reads: u64,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            counts: Counts::default(),
            start: Instant::now(),
            second: 0,
            writes: 0,
            reads: 0,
        }
    }
}

impl Stats {
    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the counters for modification.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// Counts a call.
    pub fn count(&mut self, call: Call) {
        self.roll_second();
        if call.is_write() {
            self.writes += 1;
        } else {
            self.reads += 1;
        }
        let counts = &mut self.counts;
        counts.peak_writes_per_s = counts.peak_writes_per_s.max(self.writes);
        counts.peak_reads_per_s = counts.peak_reads_per_s.max(self.reads);
        *match call {
            Call::Get => &mut counts.gets,
            Call::List => &mut counts.lists,
            Call::Put => &mut counts.puts,
            Call::Delete => &mut counts.deletes,
            Call::Watch => &mut counts.watches,
        } += 1;
    }

    fn roll_second(&mut self) {
        let second = self.start.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.writes = 0;
            self.reads = 0;
        }
    }
}
