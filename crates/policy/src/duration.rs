//! Expected work of requests, learned per class and per bucket of keys.
//!
//! The work of a request is not known in advance, and a few requests (stragglers) take many times
//! as long as the others. Queueing uses the mean, which includes stragglers. Deadlines and the
//! distinction of long from short requests use the median. All durations are work at speed 1: the
//! time taken times the speed of the server.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tarragon_model::key;

use crate::window::Window;

/// Number of key buckets per class; the first bits of the hash select the bucket.
const BUCKETS: usize = 64;
/// Right shift that leaves the bits of the hash which select the bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKETS.ilog2();
/// Minimum number of samples before a bucket is used instead of its class.
const MIN_BUCKET_SAMPLES: usize = 8;
/// Work of at least this multiple of the shortest class's typical work is expected to be long.
pub const LONG_FACTOR: f64 = 8.0;
/// A running request counts as long from this multiple of its class's typical work.
const RUNNING_LONG_FACTOR: f64 = 4.0;
/// Minimum number of samples before a class can count as the shortest.
const MIN_CLASS_SAMPLES: u32 = 16;
/// Maximum number of remembered keys with long requests.
const MAX_LONG_KEYS: usize = 1_024;
/// Consecutive long requests after which a key counts as long; fewer may be stragglers.
const MIN_CONSECUTIVE_LONG: u32 = 3;
/// Assumed work of a class without samples.
pub const DEFAULT_WORK: Duration = Duration::from_millis(10);
/// Minimum weight of a new sample in the running mean.
const MEAN_GAIN: f64 = 1.0 / 256.0;
/// Samples are clipped to this multiple of the median before they enter the mean.
const MAX_MEDIAN_MULTIPLE: f64 = 100.0;

/// Expected work of a request, at speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Median work of similar requests.
    pub typical: Duration,
    /// Mean work of similar requests, stragglers included.
    pub mean: Duration,
    /// Whether the request is expected to take many times as long as short requests.
    pub long: bool,
}

impl Estimate {
    /// Returns the estimate scaled up for a request that is known to be long.
    #[must_use]
    pub fn as_long(self) -> Self {
        Self {
            typical: self.typical.mul_f64(LONG_FACTOR),
            mean: self.mean.mul_f64(LONG_FACTOR),
            long: true,
        }
    }
}

/// Learns the work of requests from completed ones.
///
/// ```
/// use std::time::Duration;
/// use tarragon_model::key::Hash;
/// use tarragon_policy::duration::Learner;
///
/// let mut learner = Learner::default();
/// let (small, large) = (Hash::of("small"), Hash::of("large"));
/// for _ in 0..50 {
///     learner.observe(0, small, Duration::from_millis(2));
/// }
/// for _ in 0..3 {
///     learner.observe(0, large, Duration::from_millis(100));
/// }
/// assert!(learner.estimate(0, large).long);
/// assert!(!learner.estimate(0, small).long);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Learner {
    classes: Vec<Class>,
    long_keys: LongKeys,
}

/// Samples of one class.
#[derive(Clone, Debug)]
struct Class {
    all_keys: Window,
    buckets: Vec<Window>,
    mean: f64,
    samples: u32,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            all_keys: Window::default(),
            buckets: vec![Window::default(); BUCKETS],
            mean: 0.0,
            samples: 0,
        }
    }
}

impl Learner {
    /// Records the work of a request that ran to completion.
    pub fn observe(&mut self, class: u8, key: key::Hash, work: Duration) {
        let index = usize::from(class);
        if self.classes.len() <= index {
            self.classes.resize(index + 1, Class::default());
        }
        self.classes[index].observe(bucket(key), work.as_secs_f64());
        self.update_long_keys(class, key, work);
    }

    /// Records that a request was cancelled after `work`.
    ///
    /// The work enters the mean, because it occupied a slot, but not the median, because the full
    /// duration is unknown.
    pub fn observe_unfinished(&mut self, class: u8, key: key::Hash, work: Duration) {
        if let Some(known) = self.classes.get_mut(usize::from(class)) {
            known.update_mean(work.as_secs_f64());
        }
        if work >= self.long_threshold(class) {
            self.long_keys.insert(class, key);
        }
    }

    /// Returns the expected work of a request.
    #[must_use]
    pub fn estimate(&self, class: u8, key: key::Hash) -> Estimate {
        let Some(known) = self.class(class) else {
            return Estimate {
                typical: DEFAULT_WORK,
                mean: DEFAULT_WORK,
                long: false,
            };
        };
        let class_typical = known.typical();
        let typical = known.bucket_typical(bucket(key));
        let long_key = self.long_keys.contains(class, key);
        let shortest = self.shortest().unwrap_or(class_typical).min(class_typical);
        let long = long_key || typical >= shortest * LONG_FACTOR;
        let min_factor = if long_key { LONG_FACTOR } else { 0.0 };
        let typical = typical.max(class_typical * min_factor);
        let mean = known.mean * typical / class_typical;
        Estimate {
            typical: Duration::from_secs_f64(typical),
            mean: Duration::from_secs_f64(mean),
            long,
        }
    }

    /// Returns the work from which a running request of the class counts as long.
    #[must_use]
    pub fn long_threshold(&self, class: u8) -> Duration {
        let typical = self
            .class(class)
            .map_or(DEFAULT_WORK.as_secs_f64(), Class::typical);
        Duration::from_secs_f64(typical * RUNNING_LONG_FACTOR)
    }

    /// Returns the typical work, in seconds, of the class with the shortest work.
    fn shortest(&self) -> Option<f64> {
        self.classes
            .iter()
            .filter(|class| class.samples >= MIN_CLASS_SAMPLES)
            .map(Class::typical)
            .min_by(f64::total_cmp)
    }

    /// Counts a long request of the key, or drops the key after a request that was not long.
    fn update_long_keys(&mut self, class: u8, key: key::Hash, work: Duration) {
        if work >= self.long_threshold(class) {
            self.long_keys.insert(class, key);
        } else {
            self.long_keys.remove(class, key);
        }
    }

    fn class(&self, class: u8) -> Option<&Class> {
        let known = self.classes.get(usize::from(class))?;
        (known.samples > 0).then_some(known)
    }
}

impl Class {
    #[expect(clippy::cast_possible_truncation, reason = "a median needs few digits")]
    fn observe(&mut self, bucket: usize, work: f64) {
        self.all_keys.push(work as f32);
        self.buckets[bucket].push(work as f32);
        self.update_mean(work);
    }

    fn update_mean(&mut self, work: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(MEAN_GAIN);
        let clipped = work.min(self.typical() * MAX_MEDIAN_MULTIPLE);
        self.mean += (clipped - self.mean) * gain;
    }

    /// Returns the median work of the class in seconds.
    fn typical(&self) -> f64 {
        let median = self
            .all_keys
            .median(1)
            .map_or(DEFAULT_WORK.as_secs_f64(), f64::from);
        median.max(1e-6)
    }

    /// Returns the median work of a bucket in seconds, or that of the class while the bucket has
    /// too few samples.
    fn bucket_typical(&self, bucket: usize) -> f64 {
        self.buckets[bucket]
            .median(MIN_BUCKET_SAMPLES)
            .map_or_else(|| self.typical(), |median| f64::from(median).max(1e-6))
    }
}

/// Bounded set of keys with long requests; the least recently long ones are evicted first.
#[derive(Clone, Debug, Default)]
struct LongKeys {
    entries: HashMap<(u8, key::Hash), LongKey>,
    by_age: VecDeque<(u64, (u8, key::Hash))>,
    last_sequence: u64,
}

/// Latest long requests of one key.
#[derive(Clone, Copy, Debug, Default)]
struct LongKey {
    sequence: u64,
    consecutive_long: u32,
}

impl LongKeys {
    fn contains(&self, class: u8, key: key::Hash) -> bool {
        self.entries
            .get(&(class, key))
            .is_some_and(|entry| entry.consecutive_long >= MIN_CONSECUTIVE_LONG)
    }

    fn insert(&mut self, class: u8, key: key::Hash) {
        self.last_sequence += 1;
        let entry = self.entries.entry((class, key)).or_default();
        entry.sequence = self.last_sequence;
        entry.consecutive_long = entry.consecutive_long.saturating_add(1);
        self.by_age.push_back((self.last_sequence, (class, key)));
        while self.by_age.len() > MAX_LONG_KEYS {
            self.evict_oldest();
        }
    }

    fn remove(&mut self, class: u8, key: key::Hash) {
        self.entries.remove(&(class, key));
    }

    fn evict_oldest(&mut self) {
        let Some((sequence, class_and_key)) = self.by_age.pop_front() else {
            return;
        };
        let entry = self.entries.get(&class_and_key);
        if entry.is_some_and(|entry| entry.sequence == sequence) {
            self.entries.remove(&class_and_key);
        }
    }
}

/// Returns the bucket of a key.
fn bucket(key: key::Hash) -> usize {
    usize::try_from(key.0 >> BUCKET_SHIFT).unwrap_or_default()
}
