//! Heavy hitters among keys: a space-saving sketch with decaying counts.
//!
//! The sketch tracks a fixed number of keys. A new key replaces the lightest one and inherits its
//! count as its error, so the count minus the error is a lower bound of the key's work.

use tarragon_model::key;

/// Number of keys that the sketch tracks.
pub(super) const CAPACITY: usize = 64;

/// Tracked key with its estimated work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counter {
    /// Hash of the key.
    pub(super) key: key::Hash,
    /// Group of the key.
    pub(super) group: key::Group,
    count: f64,
    error: f64,
}

impl Counter {
    /// Returns a lower bound of the key's work, in seconds at speed 1.
    pub(super) fn lower_bound(&self) -> f64 {
        self.count - self.error
    }
}

/// Sketch of the keys with the most work in a shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Sketch {
    counters: Vec<Counter>,
}

impl Sketch {
    /// Adds work of a key, in seconds at speed 1.
    pub(super) fn add(&mut self, group: key::Group, key: key::Hash, work: f64) {
        if let Some(counter) = self.counters.iter_mut().find(|counter| counter.key == key) {
            counter.count += work;
            return;
        }
        let error = self.evict_lightest();
        self.counters.push(Counter {
            key,
            group,
            count: error + work,
            error,
        });
    }

    /// Removes a key and returns the lower bound of its work.
    pub(super) fn remove(&mut self, key: key::Hash) -> f64 {
        let index = self.counters.iter().position(|counter| counter.key == key);
        index.map_or(0.0, |index| self.counters.swap_remove(index).lower_bound())
    }

    /// Multiplies all counts and errors by a decay factor.
    pub(super) fn decay(&mut self, factor: f64) {
        for counter in &mut self.counters {
            counter.count *= factor;
            counter.error *= factor;
        }
    }

    /// Returns the keys whose lower bound is at least `work`.
    pub(super) fn at_least(&self, work: f64) -> impl Iterator<Item = &Counter> {
        self.counters
            .iter()
            .filter(move |counter| counter.lower_bound() >= work)
    }

    /// Drops the lightest key if the sketch is full and returns its count, or zero otherwise.
    fn evict_lightest(&mut self) -> f64 {
        if self.counters.len() < CAPACITY {
            return 0.0;
        }
        let counts = self.counters.iter().map(|counter| counter.count);
        let lightest = counts.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        lightest.map_or(0.0, |(index, _)| self.counters.swap_remove(index).count)
    }
}
