//! Durations of work, learned for each class and each bucket of keys.
//!
//! Sizes are not known beforehand, and a few requests take many times as long as the others. For
//! queueing the mean counts (stragglers included); for deadlines and for telling long work from
//! short the median does. All durations are work at speed 1: the time taken times the speed of
//! the server.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tarragon_model::key;

use crate::window::Window;

/// Buckets that the keys of a class are put in, by the first bits of the hash.
const BUCKETS: usize = 64;
/// Bits of the hash that do not name the bucket.
const BUCKET_SHIFT: u32 = u64::BITS - BUCKETS.ilog2();
/// Samples of a bucket from which on it counts for itself.
const MIN_BUCKET_SAMPLES: usize = 8;
/// Multiple of the typical work of the shortest class from which on work is expected to be long.
pub const LONG_FACTOR: f64 = 8.0;
/// Multiple of the typical work of its class from which on running work counts as long.
const RUNNING_LONG_FACTOR: f64 = 4.0;
/// Samples of a class from which on others are compared with it.
const MIN_CLASS_SAMPLES: u32 = 16;
/// Keys whose work was long lately that are remembered at most.
const LONG_KEYS: usize = 1_024;
/// Long requests in a row that make a key count as long; fewer may be stragglers.
const LONG_IN_A_ROW: u32 = 3;
/// Estimate of the work of a class of which nothing is known.
pub const UNKNOWN: Duration = Duration::from_millis(10);
/// Weight of a new sample in the mean, once there are many.
const MEAN_GAIN: f64 = 1.0 / 256.0;
/// Largest multiple of the median that a sample adds to the mean.
const MEAN_CLIP: f64 = 100.0;

/// Expected work of one request, at speed 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Median of like requests.
    pub typical: Duration,
    /// Mean of like requests, stragglers included.
    pub mean: Duration,
    /// Whether the request is likely to take many times as long as others of its class.
    pub long: bool,
}

impl Estimate {
    /// Returns the estimate for a request of the same class that is known to be long.
    #[must_use]
    pub fn as_long(self) -> Self {
        Self {
            typical: self.typical.mul_f64(LONG_FACTOR),
            mean: self.mean.mul_f64(LONG_FACTOR),
            long: true,
        }
    }
}

/// Learns the work of requests.
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

/// What is known of one class.
#[derive(Clone, Debug)]
struct Class {
    all: Window,
    buckets: Vec<Window>,
    mean: f64,
    samples: u32,
}

impl Default for Class {
    fn default() -> Self {
        Self {
            all: Window::default(),
            buckets: vec![Window::default(); BUCKETS],
            mean: 0.0,
            samples: 0,
        }
    }
}

impl Learner {
    /// Records the work of one request that ran to its end.
    pub fn observe(&mut self, class: u8, key: key::Hash, work: Duration) {
        let index = usize::from(class);
        if self.classes.len() <= index {
            self.classes.resize(index + 1, Class::default());
        }
        self.classes[index].observe(bucket(key), work.as_secs_f64());
        self.note(class, key, work);
    }

    /// Records that a request ran for `work` and was then given up.
    ///
    /// The work counts for the mean, since it took a slot, but says nothing about the median.
    pub fn observe_unfinished(&mut self, class: u8, key: key::Hash, work: Duration) {
        if let Some(known) = self.classes.get_mut(usize::from(class)) {
            known.follow_mean(work.as_secs_f64());
        }
        if work >= self.long_from(class) {
            self.long_keys.insert(class, key);
        }
    }

    /// Returns the expected work of a request.
    #[must_use]
    pub fn estimate(&self, class: u8, key: key::Hash) -> Estimate {
        let Some(known) = self.class(class) else {
            return Estimate {
                typical: UNKNOWN,
                mean: UNKNOWN,
                long: false,
            };
        };
        let class_typical = known.typical();
        let typical = known.bucket_typical(bucket(key));
        let long_key = self.long_keys.contains(class, key);
        let shortest = self.shortest().unwrap_or(class_typical).min(class_typical);
        let long = long_key || typical >= shortest * LONG_FACTOR;
        let least = if long_key { LONG_FACTOR } else { 0.0 };
        let typical = typical.max(class_typical * least);
        let mean = known.mean * typical / class_typical;
        Estimate {
            typical: Duration::from_secs_f64(typical),
            mean: Duration::from_secs_f64(mean),
            long,
        }
    }

    /// Returns the work from which on a running request counts as long.
    #[must_use]
    pub fn long_from(&self, class: u8) -> Duration {
        let typical = self
            .class(class)
            .map_or(UNKNOWN.as_secs_f64(), Class::typical);
        Duration::from_secs_f64(typical * RUNNING_LONG_FACTOR)
    }

    /// Returns the typical work of the class whose work is shortest, in seconds.
    fn shortest(&self) -> Option<f64> {
        self.classes
            .iter()
            .filter(|class| class.samples >= MIN_CLASS_SAMPLES)
            .map(Class::typical)
            .min_by(f64::total_cmp)
    }

    /// Remembers a key whose work was long and forgets one whose work was not.
    fn note(&mut self, class: u8, key: key::Hash, work: Duration) {
        if work >= self.long_from(class) {
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
        self.all.push(work as f32);
        self.buckets[bucket].push(work as f32);
        self.follow_mean(work);
    }

    fn follow_mean(&mut self, work: f64) {
        self.samples = self.samples.saturating_add(1);
        let gain = (1.0 / f64::from(self.samples)).max(MEAN_GAIN);
        let clipped = work.min(self.typical() * MEAN_CLIP);
        self.mean += (clipped - self.mean) * gain;
    }

    /// Returns the median of the class in seconds.
    fn typical(&self) -> f64 {
        let median = self.all.median(1).map_or(UNKNOWN.as_secs_f64(), f64::from);
        median.max(1e-6)
    }

    /// Returns the median of a bucket, or of the class while little is known of the bucket.
    fn bucket_typical(&self, bucket: usize) -> f64 {
        self.buckets[bucket]
            .median(MIN_BUCKET_SAMPLES)
            .map_or_else(|| self.typical(), |median| f64::from(median).max(1e-6))
    }
}

/// Bounded memory of keys whose work was long, oldest forgotten first.
#[derive(Clone, Debug, Default)]
struct LongKeys {
    members: HashMap<(u8, key::Hash), Member>,
    order: VecDeque<(u64, (u8, key::Hash))>,
    next: u64,
}

/// Memory of one key.
#[derive(Clone, Copy, Debug, Default)]
struct Member {
    number: u64,
    in_a_row: u32,
}

impl LongKeys {
    fn contains(&self, class: u8, key: key::Hash) -> bool {
        self.members
            .get(&(class, key))
            .is_some_and(|member| member.in_a_row >= LONG_IN_A_ROW)
    }

    fn insert(&mut self, class: u8, key: key::Hash) {
        self.next += 1;
        let member = self.members.entry((class, key)).or_default();
        member.number = self.next;
        member.in_a_row = member.in_a_row.saturating_add(1);
        self.order.push_back((self.next, (class, key)));
        while self.order.len() > LONG_KEYS {
            self.forget_oldest();
        }
    }

    fn remove(&mut self, class: u8, key: key::Hash) {
        self.members.remove(&(class, key));
    }

    fn forget_oldest(&mut self) {
        let Some((number, member)) = self.order.pop_front() else {
            return;
        };
        let known = self.members.get(&member);
        if known.is_some_and(|known| known.number == number) {
            self.members.remove(&member);
        }
    }
}

/// Returns the bucket of a key.
fn bucket(key: key::Hash) -> usize {
    usize::try_from(key.0 >> BUCKET_SHIFT).unwrap_or_default()
}
