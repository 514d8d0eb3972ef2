//! Faults that are in force for a time.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// Faults of which each has its own end; one of a kind at a time.
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
    /// Puts a fault into force, for good when `span` is absent, in place of one of its kind.
    pub fn put(&mut self, fault: T, span: Option<Duration>) {
        let kind = std::mem::discriminant(&fault);
        self.active
            .retain(|(old, _)| std::mem::discriminant(old) != kind);
        let end = span.and_then(|span| Instant::now().checked_add(span));
        self.active.push((fault, end));
    }

    /// Ends all faults.
    pub fn clear(&mut self) {
        self.active.clear();
    }

    /// Returns the faults in force.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        let now = Instant::now();
        self.active
            .iter()
            .filter(move |(_, end)| end.is_none_or(|end| now < end))
            .map(|(fault, _)| fault)
    }

    /// Returns what `pick` makes of the first fault in force that it takes.
    pub fn find<R>(&self, pick: impl FnMut(&T) -> Option<R>) -> Option<R> {
        self.iter().find_map(pick)
    }

    /// Returns the next time at which a fault in force ends.
    pub fn next_end(&self) -> Option<Instant> {
        let now = Instant::now();
        self.active
            .iter()
            .filter_map(|(_, end)| *end)
            .filter(|end| now < *end)
            .min()
    }
}
