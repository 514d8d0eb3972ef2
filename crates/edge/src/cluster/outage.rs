//! Detection of store outages that are long enough for entries to expire.
//!
//! A host that made no call knows nothing of the store, and a paused host cannot blame the store
//! for its own pause: neither counts as an outage.

use std::time::Duration;

use tarragon_dispatch::fleet::EXPIRED_ENTRY_GRACE;
use tarragon_model::time::Instant;

/// Length up to which an outage expires no entry.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// Time after the end of an outage in which a removed entry may have expired because of it.
const MAX_EXPIRY_DELAY: Duration = Duration::from_millis(1_500);
/// Delay of [`Detector::tick`] beyond which the process counts as paused.
const MAX_TICK_DELAY: Duration = Duration::from_millis(700);

/// Outages of the store, as the calls of one host show them.
#[derive(Debug, Default)]
pub struct Detector {
    /// Start of the call that is waiting.
    call_began: Option<Instant>,
    /// Time since which calls have failed, without a response in between.
    failing_since: Option<Instant>,
    /// End of the latest outage.
    ended_at: Option<Instant>,
    last_tick: Option<Instant>,
}

impl Detector {
    /// Notes that the process runs; call it several times a second.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_edge::cluster::outage::Detector;
    /// use tarragon_model::time::Instant;
    ///
    /// let second = Duration::from_secs(1);
    /// let start = Instant::from_millis(1_000);
    /// let mut detector = Detector::default();
    /// detector.tick(start);
    /// detector.begin_call(start);
    /// // The process was paused for three seconds.
    /// let resumed = start + second * 3;
    /// assert_eq!(detector.record_response(second, resumed), None);
    /// ```
    pub fn tick(&mut self, now: Instant) {
        let delay = self.last_tick.map_or(Duration::ZERO, |at| now.since(at));
        if delay > MAX_TICK_DELAY {
            for began in [&mut self.call_began, &mut self.failing_since] {
                *began = began.map(|at| now.min(at + delay));
            }
        }
        self.last_tick = Some(now);
    }

    /// Notes that a call begins.
    pub fn begin_call(&mut self, now: Instant) {
        self.call_began = Some(now);
    }

    /// Notes that the call failed; the store may have made it wait for changes for `wait`.
    pub fn record_failure(&mut self, wait: Duration, now: Instant) {
        self.tick(now);
        let began = self.call_began.take().unwrap_or(now);
        self.failing_since.get_or_insert(now.min(began + wait));
    }

    /// Notes the response to the call; the store may have made it wait for changes for `wait`.
    ///
    /// Returns the length of the outage that the response ends, if there was one.
    pub fn record_response(&mut self, wait: Duration, now: Instant) -> Option<Duration> {
        self.tick(now);
        let began = self.call_began.take().unwrap_or(now);
        let failed = self.failing_since.take().map(|at| began.since(at));
        let unanswered = now.since(began).saturating_sub(wait);
        let outage = unanswered.max(failed.unwrap_or_default());
        if outage <= MIN_OUTAGE {
            return None;
        }
        self.ended_at = Some(now);
        Some(outage)
    }

    /// Notes that the store came back from an older copy, which may lack entries.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_edge::cluster::outage::Detector;
    /// use tarragon_model::time::Instant;
    ///
    /// let now = Instant::from_millis(1_000);
    /// let mut detector = Detector::default();
    /// detector.record_restore(now);
    /// assert!(detector.grace(now) > Duration::from_secs(1));
    /// ```
    pub fn record_restore(&mut self, now: Instant) {
        self.ended_at = Some(now);
    }

    /// Returns whether an outage that may expire entries goes on.
    #[must_use]
    pub fn is_ongoing(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|at| now.since(at) > MIN_OUTAGE)
    }

    /// Returns for how long an entry that is missing now may still return, since it may have expired
    /// during an outage; zero if it was removed for good.
    #[must_use]
    pub fn grace(&self, now: Instant) -> Duration {
        match self.ended_at.map(|at| now.since(at)) {
            Some(since) if since < MAX_EXPIRY_DELAY => EXPIRED_ENTRY_GRACE.saturating_sub(since),
            _ => Duration::ZERO,
        }
    }
}
