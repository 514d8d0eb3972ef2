//! Limits on retries.
//!
//! A limit for each call bounds a call but not a brownout: when every call fails, every call is
//! retried, and the load on servers that are short of capacity multiplies. [`Budget`] is shared
//! by all calls of a shard and is filled by successes alone, so retries cease when successes do.
//! [`Cap`] is the baseline. Neither sleeps; the caller decides when to retry.

use std::time::Duration;

use tarragon_model::time::Instant;

/// Tokens that a retry costs, in hundredths of a retry.
const RETRY_COST: u64 = 100;
/// Time of successes whose tokens the budget keeps at most.
const WINDOW: Duration = Duration::from_secs(2);
/// Retries that a new budget may pay for before the first success.
const INITIAL_RETRIES: u64 = 3;
/// Smallest capacity of the budget, in retries.
const MIN_CAPACITY: u64 = 10;

/// Retry budget shared by all calls of a shard.
///
/// ```
/// use tarragon_model::time::Instant;
/// use tarragon_policy::budget::Budget;
///
/// let mut budget = Budget::new(10);
/// let now = Instant::ZERO;
/// while budget.try_retry(now) {}
/// for _ in 0..10 {
///     budget.record_success(now);
/// }
/// assert!(budget.try_retry(now));
/// assert!(!budget.try_retry(now));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    percent: u64,
    tokens: u64,
    period_start: Instant,
    period_tokens: u64,
    capacity: u64,
}

impl Budget {
    /// Creates a budget that allows `retry_percent` retries for each hundred successes.
    #[must_use]
    pub fn new(retry_percent: u8) -> Self {
        let mut budget = Self {
            percent: 0,
            tokens: INITIAL_RETRIES * RETRY_COST,
            period_start: Instant::ZERO,
            period_tokens: 0,
            capacity: MIN_CAPACITY * RETRY_COST,
        };
        budget.configure(retry_percent);
        budget
    }

    /// Applies the ratio of a preset.
    pub fn configure(&mut self, retry_percent: u8) {
        self.percent = u64::from(retry_percent);
        if self.percent == 0 {
            self.tokens = 0;
        }
    }

    /// Records a request that was answered.
    pub fn record_success(&mut self, now: Instant) {
        self.turn(now);
        self.period_tokens += self.percent;
        self.tokens = (self.tokens + self.percent).min(self.capacity);
    }

    /// Takes one retry out of the budget, if it holds one.
    ///
    /// A denied retry is final: the caller reports the failure instead of waiting.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.turn(now);
        if self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }

    /// Returns the retries that the budget holds.
    #[must_use]
    pub fn available(&self) -> u64 {
        self.tokens / RETRY_COST
    }

    /// Sets the capacity to what the latest whole window brought in.
    fn turn(&mut self, now: Instant) {
        if now.since(self.period_start) < WINDOW {
            self.capacity = self.capacity.max(self.period_tokens);
            return;
        }
        self.capacity = self.period_tokens.max(MIN_CAPACITY * RETRY_COST);
        self.tokens = self.tokens.min(self.capacity);
        self.period_start = now;
        self.period_tokens = 0;
    }
}

/// Baseline: a fixed number of retries for each call, whatever happens to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cap {
    retries: u32,
}

impl Cap {
    /// Creates a limit of `retries` retries for each call.
    #[must_use]
    pub const fn new(retries: u32) -> Self {
        Self { retries }
    }

    /// Tells whether a call that was retried `done` times may be retried again.
    ///
    /// ```
    /// use tarragon_policy::budget::Cap;
    ///
    /// assert!(Cap::new(3).try_retry(2));
    /// assert!(!Cap::new(3).try_retry(3));
    /// ```
    #[must_use]
    pub const fn try_retry(self, done: u32) -> bool {
        done < self.retries
    }
}
