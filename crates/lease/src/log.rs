//! Entries of a reign that a standby may still lack.

use std::collections::VecDeque;

/// Entries kept at most for a lagging standby; beyond that it gets a snapshot.
const CAPACITY: usize = 4_096;

/// The latest entries of a reign.
#[derive(Clone, Debug)]
pub(crate) struct Log<E> {
    /// Number of entries before the first one kept.
    base: u64,
    entries: VecDeque<E>,
}

impl<E: Clone> Log<E> {
    /// Creates an empty log that goes on after entry `base`.
    pub fn new(base: u64) -> Self {
        Self {
            base,
            entries: VecDeque::new(),
        }
    }

    /// Adds the next entry.
    pub fn push(&mut self, entry: E) {
        self.entries.push_back(entry);
        if self.entries.len() > CAPACITY {
            self.entries.pop_front();
            self.base += 1;
        }
    }

    /// Drops the entries up to the one numbered `index`.
    pub fn trim(&mut self, index: u64) {
        while self.base < index && self.entries.pop_front().is_some() {
            self.base += 1;
        }
    }

    /// Returns the entries after the one numbered `from`, or nothing when some are dropped.
    pub fn since(&self, from: u64) -> Option<Vec<E>> {
        let skip = usize::try_from(from.checked_sub(self.base)?).ok()?;
        Some(self.entries.iter().skip(skip).cloned().collect())
    }
}
