//! Limits on retries.
//!
//! A limit per call does not help in a brownout: when every call fails, every call is retried,
//! which multiplies the load on servers that already lack capacity. [`Budget`] is shared by all
//! calls of a shard and only successes refill it, so retries stop when successes stop. [`Cap`],
//! a fixed limit per call, is the baseline. Neither sleeps; the code that uses them decides when
//! to retry.

use std::time::Duration;

use tarragon_model::time::Instant;

/// Tokens per retry, so that a success adds as many tokens as the configured percentage.
const RETRY_COST_TOKENS: u64 = 100;
/// Window whose successes determine the capacity of the budget.
const CAPACITY_WINDOW: Duration = Duration::from_secs(2);
/// Retries that a new budget allows before the first success.
const INITIAL_RETRIES: u64 = 3;
/// Smallest capacity of the budget, in retries.
const MIN_CAPACITY_RETRIES: u64 = 10;

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
    /// Creates a budget that allows `retry_percent` retries per hundred successes.
    #[must_use]
    pub fn new(retry_percent: u8) -> Self {
        let mut budget = Self {
            percent: 0,
            tokens: INITIAL_RETRIES * RETRY_COST_TOKENS,
            period_start: Instant::ZERO,
            period_tokens: 0,
            capacity: MIN_CAPACITY_RETRIES * RETRY_COST_TOKENS,
        };
        budget.configure(retry_percent);
        budget
    }

    /// Applies a preset's retry percentage; 0 also empties the budget.
    pub fn configure(&mut self, retry_percent: u8) {
        self.percent = u64::from(retry_percent);
        if self.percent == 0 {
            self.tokens = 0;
        }
    }

    /// Records a successful request, which refills the budget.
    pub fn record_success(&mut self, now: Instant) {
        self.roll_window(now);
        self.period_tokens += self.percent;
        self.tokens = (self.tokens + self.percent).min(self.capacity);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    ///
    /// A denied retry is final: report the failure instead of waiting for the budget to refill.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.roll_window(now);
        if self.tokens < RETRY_COST_TOKENS {
            return false;
        }
        self.tokens -= RETRY_COST_TOKENS;
        true
    }

    /// Returns the number of retries left in the budget.
    #[must_use]
    pub fn available(&self) -> u64 {
        self.tokens / RETRY_COST_TOKENS
    }

    /// Starts a new window when the current one is over.
    ///
    /// The capacity is the tokens of the last full window, or those of the current one if they are
    /// more. This bounds the retries that a long time without failures can accumulate.
    fn roll_window(&mut self, now: Instant) {
        if now.since(self.period_start) < CAPACITY_WINDOW {
            self.capacity = self.capacity.max(self.period_tokens);
            return;
        }
        self.capacity = self
            .period_tokens
            .max(MIN_CAPACITY_RETRIES * RETRY_COST_TOKENS);
        self.tokens = self.tokens.min(self.capacity);
        self.period_start = now;
        self.period_tokens = 0;
    }
}

/// Baseline: a fixed number of retries per call, regardless of other calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cap {
    max_retries: u32,
}

impl Cap {
    /// Creates a limit of `max_retries` retries per call.
    #[must_use]
    pub const fn new(max_retries: u32) -> Self {
        Self { max_retries }
    }

    /// Returns whether a call that was retried `retries_done` times may be retried again.
    ///
    /// ```
    /// use tarragon_policy::budget::Cap;
    ///
    /// assert!(Cap::new(3).try_retry(2));
    /// assert!(!Cap::new(3).try_retry(3));
    /// ```
    #[must_use]
    pub const fn try_retry(self, retries_done: u32) -> bool {
        retries_done < self.max_retries
    }
}
