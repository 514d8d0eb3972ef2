//! Counts of the calls that the store took.

use std::time::Instant;

use serde::Serialize;

/// Counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads of one object.
    pub gets: u64,
    /// Reads of all objects of a kind.
    pub lists: u64,
    /// Writes, refused ones included.
    pub puts: u64,
    /// Deletions, refused ones included.
    pub deletes: u64,
    /// Watches; a waiting watch is one call.
    pub watches: u64,
    /// Writes and deletions that met another version.
    pub conflicts: u64,
    /// Calls over the rate.
    pub throttled: u64,
    /// Calls that met an outage.
    pub away: u64,
    /// Answers that were lost on order.
    pub lost_answers: u64,
    /// Most writes and deletions within one second.
    pub peak_writes_per_s: u64,
    /// Most reads and watches within one second.
    pub peak_reads_per_s: u64,
}

/// Call of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads one object.
    Get,
    /// Reads all objects of a kind.
    List,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Waits for changes.
    Watch,
}

impl Call {
    /// Tells whether the call changes objects.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// Counts with the running second.
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
    /// Returns the counts.
    #[must_use]
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the counts, to be raised.
    pub fn counts_mut(&mut self) -> &mut Counts {
        &mut self.counts
    }

    /// Counts a call.
    pub fn count(&mut self, call: Call) {
        self.turn_second();
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

    fn turn_second(&mut self) {
        let second = self.start.elapsed().as_secs();
        if second != self.second {
            self.second = second;
            self.writes = 0;
            self.reads = 0;
        }
    }
}
