//! Heavy hitters among keys, by the space-saving sketch with decaying counts.
//!
//! The sketch keeps a fixed number of keys. A key that is not among them takes the place of the
//! lightest and inherits its count as an error, so a count less its error is a lower bound.

use tarragon_model::key;

/// Keys that the sketch keeps.
pub(super) const CAPACITY: usize = 64;

/// Key and its work.
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
    /// Returns the least work that the key can have had.
    pub(super) fn least(&self) -> f64 {
        self.count - self.error
    }
}

/// Heaviest keys of a shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Sketch {
    counters: Vec<Counter>,
}

impl Sketch {
    /// Adds work of a key.
    pub(super) fn add(&mut self, group: key::Group, key: key::Hash, work: f64) {
        if let Some(counter) = self.counters.iter_mut().find(|counter| counter.key == key) {
            counter.count += work;
            return;
        }
        let error = self.make_room();
        self.counters.push(Counter {
            key,
            group,
            count: error + work,
            error,
        });
    }

    /// Removes a key and returns the least work it can have had.
    pub(super) fn remove(&mut self, key: key::Hash) -> f64 {
        let index = self.counters.iter().position(|counter| counter.key == key);
        index.map_or(0.0, |index| self.counters.swap_remove(index).least())
    }

    /// Lets every count decay.
    pub(super) fn decay(&mut self, factor: f64) {
        for counter in &mut self.counters {
            counter.count *= factor;
            counter.error *= factor;
        }
    }

    /// Returns the keys that had at least that much work.
    pub(super) fn heavier_than(&self, work: f64) -> impl Iterator<Item = &Counter> {
        self.counters
            .iter()
            .filter(move |counter| counter.least() >= work)
    }

    /// Drops the lightest key of a full sketch and returns its count.
    fn make_room(&mut self) -> f64 {
        if self.counters.len() < CAPACITY {
            return 0.0;
        }
        let counts = self.counters.iter().map(|counter| counter.count);
        let lightest = counts.enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
        lightest.map_or(0.0, |(index, _)| self.counters.swap_remove(index).count)
    }
}
