//! Sets of injected faults that expire.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Active faults, at most one of each kind, each with its own expiry.
#[derive(Debug)]
pub struct Set<T> {
    active: SmallVec<[(T, Option<Instant>); 4]>,
}

impl<T> Default for Set<T> {
    fn default() -> Self {
        Self {
            active: SmallVec::new(),
        }
    }
}

impl<T> Set<T> {
    /// Activates a fault and replaces an active one of the same kind.
    ///
    /// Without `duration` it stays active until it is replaced or cleared.
    pub fn insert(&mut self, fault: T, duration: Option<Duration>) {
        let kind = std::mem::discriminant(&fault);
        self.active
            .retain(|(old, _)| std::mem::discriminant(old) != kind);
        let end = duration.and_then(|duration| Instant::now().checked_add(duration));
        self.active.push((fault, end));
    }

    /// Removes all faults.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Iterates over the faults that have not expired.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        let now = Instant::now();
        self.active
            .iter()
            .filter(move |(_, end)| end.is_none_or(|end| now < end))
            .map(|(fault, _)| fault)
    }

    /// Calls `pick` for the active faults in turn and returns the first `Some`.
    pub fn find<R>(&self, pick: impl FnMut(&T) -> Option<R>) -> Option<R> {
        self.iter().find_map(pick)
    }

    /// Returns the earliest time at which an active fault expires.
    pub fn next_end(&self) -> Option<Instant> {
        let now = Instant::now();
        self.active
            .iter()
            .filter_map(|(_, end)| *end)
            .filter(|end| now < *end)
            .min()
    }
}
