//! Log of the entries that a standby may still lack.

use std::collections::VecDeque;

/// Maximum number of entries kept for a lagging standby; one that lags further gets a snapshot.
const CAPACITY: usize = 4_096;

/// Latest entries of a term.
#[derive(Clone, Debug)]
pub(crate) struct Log<E> {
    /// Index of the last entry before the first one kept.
    base: u64,
    entries: VecDeque<E>,
}

impl<E: Clone> Log<E> {
    /// Creates an empty log whose first entry follows the one with index `base`.
    pub fn new(base: u64) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    /// Appends the next entry and drops the oldest one when the log is full.
    pub fn push(&mut self, entry: E) {
        self.entries.push_back(entry);
        if self.entries.len() > CAPACITY {
            self.entries.pop_front();
            self.base += 1;
        }
    }

    /// Drops the entries up to and including the one with the given index.
    pub fn trim(&mut self, index: u64) {
        while self.base < index && self.entries.pop_front().is_some() {
            self.base += 1;
        }
    }

    /// Returns the entries after the one with index `from`, or `None` if some of them have been
    /// dropped.
    pub fn entries_after(&self, from: u64) -> Option<Vec<E>> {
        let skip = usize::try_from(from.checked_sub(self.base)?).ok()?;
        Some(self.entries.iter().skip(skip).cloned().collect())
    }
}
