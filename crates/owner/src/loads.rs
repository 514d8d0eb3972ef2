//! Request rate of each key, over all hosts.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::plan::MAX_KEY;
use crate::surge::{self, Trends};

/// Time constant of the exponential decay.
pub(crate) const TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time constant of the counts that follow a surge: the time between two reports of a host, so that
/// each host has reported about once within it.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(350);
/// Time between two checks whether keys should move.
const PLAN_INTERVAL: Duration = Duration::from_millis(400);
/// The same once a surge has begun.
const SURGE_PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Exponentially decaying request counts of each key.
#[derive(Debug)]
pub struct Loads {
    counts: Counts,
    fast: Counts,
    trends: Trends,
    started_at: Instant,
}

/// Counts of each key with one time constant.
#[derive(Debug)]
struct Counts {
    time_constant: Duration,
    keys: Vec<f32>,
    decayed_at: Instant,
}

impl Counts {
    fn new(time_constant: Duration, now: Instant) -> Self {
        Self {
            time_constant,
            keys: vec![0.0; usize::from(MAX_KEY) + 1],
            decayed_at: now,
        }
    }

    fn decay(&mut self, now: Instant) {
        let age = now.since(self.decayed_at).as_secs_f64() / self.time_constant.as_secs_f64();
        self.decayed_at = now;
        #[expect(clippy::cast_possible_truncation, reason = "a factor between 0 and 1")]
        let factor = (-age).exp() as f32;
        for count in &mut self.keys {
            *count *= factor;
        }
    }

    /// Returns the time that the counts represent.
    fn span(&self, started_at: Instant, now: Instant) -> f64 {
        let time_constant = self.time_constant.as_secs_f64();
        let elapsed = now.since(started_at).as_secs_f64() / time_constant;
        time_constant * (1.0 - (-elapsed).exp()).max(0.05)
    }

    fn blocks(&self) -> impl Iterator<Item = f64> {
        let blocks = self.keys.chunks(surge::BLOCK_KEYS);
        blocks.map(|block| f64::from(block.iter().sum::<f32>()))
    }
}

impl Loads {
    /// Creates counters that start at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            counts: Counts::new(TIME_CONSTANT, now),
            fast: Counts::new(FAST_TIME_CONSTANT, now),
            trends: Trends::new(now),
            started_at: now,
        }
    }

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: f32) {
        self.counts.keys[usize::from(key)] += requests;
        self.fast.keys[usize::from(key)] += requests;
        self.trends.add(key, requests);
    }

    /// Decays the counts up to `now`, and updates which ranges are in a surge.
    pub fn decay(&mut self, now: Instant) {
        self.counts.decay(now);
        self.fast.decay(now);
        let spans = (
            self.counts.span(self.started_at, now),
            self.fast.span(self.started_at, now),
        );
        let counts = self.counts.blocks().zip(self.fast.blocks());
        self.trends.update(counts, spans, now);
    }

    /// Returns the time between two checks whether keys should move: shorter once the rate of a
    /// range has risen clearly since the last [`Loads::decay`].
    ///
    /// ```
    /// use tarragon_model::time::Instant;
    /// use tarragon_owner::loads::Loads;
    ///
    /// let mut loads = Loads::new(Instant::ZERO);
    /// loads.decay(Instant::from_millis(10_000));
    /// let usual = loads.plan_interval();
    /// loads.add(500, 30.0);
    /// assert!(loads.plan_interval() < usual);
    /// ```
    #[must_use]
    pub fn plan_interval(&self) -> Duration {
        if self.trends.has_new_surge() {
            SURGE_PLAN_INTERVAL
        } else {
            PLAN_INTERVAL
        }
    }

    /// Returns the requests per second of each key.
    ///
    /// The rate of a range whose traffic rose or fell clearly is that of the last few hundred
    /// milliseconds, that of all others covers a longer time.
    #[must_use]
    pub fn rates(&self, now: Instant) -> Rates {
        let span = self.counts.span(self.started_at, now);
        let fast_span = self.fast.span(self.started_at, now);
        let mut prefix_sums = Vec::with_capacity(self.counts.keys.len() + 1);
        let mut sum = 0.0;
        prefix_sums.push(sum);
        for (block, counts) in self.counts.keys.chunks(surge::BLOCK_KEYS).enumerate() {
            let from = block * surge::BLOCK_KEYS;
            let to = from + counts.len();
            match self.trends.scale(block, now) {
                Some(scale) => {
                    for count in surge::smoothed(&self.fast.keys, from..to) {
                        sum += count * scale / fast_span;
                        prefix_sums.push(sum);
                    }
                }
                None => {
                    for count in counts {
                        sum += f64::from(*count) / span;
                        prefix_sums.push(sum);
                    }
                }
            }
        }
        Rates {
            prefix_sums,
            surging: self.trends.rising(now),
            suspect: self.trends.suspect(),
            calm: self.trends.is_calm(now),
        }
    }
}

/// Requests per second of any range of keys, at one point in time.
#[derive(Clone, Debug)]
pub struct Rates {
    prefix_sums: Vec<f64>,
    /// Whether each block of keys is in a surge.
    surging: Vec<bool>,
    /// Whether each block may be at the beginning of a surge.
    suspect: Vec<bool>,
    calm: bool,
}

impl Rates {
    /// Returns the requests per second of the keys `from..=to` together.
    ///
    /// ```
    /// use tarragon_model::time::Instant;
    /// use tarragon_owner::loads::Loads;
    ///
    /// let loads = Loads::new(Instant::ZERO);
    /// assert!(loads.rates(Instant::from_millis(10)).total(0, 65_535) < 0.1);
    /// ```
    #[must_use]
    pub fn total(&self, from: u16, to: u16) -> f64 {
        self.prefix_sums[usize::from(to) + 1] - self.prefix_sums[usize::from(from)]
    }

    /// Returns whether the rate of some of the keys `from..=to` has just risen clearly.
    ///
    /// ```
    /// use tarragon_model::time::Instant;
    /// use tarragon_owner::loads::Loads;
    ///
    /// let mut loads = Loads::new(Instant::ZERO);
    /// let now = Instant::from_millis(10_000);
    /// loads.add(500, 30.0);
    /// loads.decay(now);
    /// loads.add(500, 30.0);
    /// loads.decay(now);
    /// assert!(loads.rates(now).is_surging(400, 600));
    /// assert!(!loads.rates(now).is_surging(5_000, 6_000));
    /// ```
    #[must_use]
    pub fn is_surging(&self, from: u16, to: u16) -> bool {
        let blocks = surge::block(from)..=surge::block(to);
        self.surging[blocks].contains(&true)
    }

    /// Returns whether some of the keys `from..=to` may be at the beginning of a surge: it is not known
    /// yet how their load differs.
    #[must_use]
    pub fn is_suspect(&self, from: u16, to: u16) -> bool {
        let blocks = surge::block(from)..=surge::block(to);
        self.suspect[blocks].contains(&true)
    }

    /// Returns the number of blocks of keys that are in a surge.
    #[must_use]
    pub fn surges(&self) -> usize {
        self.surging.iter().filter(|surging| **surging).count()
    }

    /// Returns whether no range has risen or fallen clearly for some seconds.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        self.calm
    }
}
