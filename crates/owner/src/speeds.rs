//! Relative speed of backend servers, estimated from the requests of all hosts.

use std::collections::HashMap;

/// Number of requests that the running mean covers; older ones decay as new ones are added.
const MAX_COUNT: f64 = 60.0;
/// Number of recent requests whose mean replaces the running mean if the two differ clearly: a server
/// that turns slow completes few requests.
const RECENT_COUNT: f64 = 4.0;
/// Ratio of the recent mean to the running mean, or of the latter to the former, at which they differ
/// clearly.
const MIN_CHANGE: f64 = 2.5;
/// Number of requests after which a server's own mean and the assumption of mean speed have equal
/// weight.
const HALF_CONFIDENCE_COUNT: f64 = 6.0;
/// Processing time of a request before any sample exists, in milliseconds.
const DEFAULT_MS: f64 = 60.0;
/// Lower and upper bound of a server's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.3, 12.0);

/// Processing times at each backend server of one service.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: HashMap<String, Times>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Times {
    count: f64,
    mean_ms: f64,
    /// Number and mean time of the recent requests, up to [`RECENT_COUNT`].
    recent: (f64, f64),
}

impl Speeds {
    /// Adds `count` requests that took `sum_ms` milliseconds in total.
    ///
    /// ```
    /// use tarragon_owner::speeds::Speeds;
    ///
    /// let mut speeds = Speeds::default();
    /// for id in ["a", "b", "c", "d"] {
    ///     speeds.add(id, 100, 100.0 * 140.0);
    /// }
    /// for _ in 0..8 {
    ///     speeds.add("a", 1, 12.0 * 140.0);
    /// }
    /// assert!(speeds.slowness("a") > 2.0);
    /// ```
    pub fn add(&mut self, id: &str, count: u32, sum_ms: f64) {
        let count = f64::from(count);
        if count <= 0.0 || !sum_ms.is_finite() {
            return;
        }
        let times = self.servers.entry(id.to_owned()).or_default();
        times.count = (times.count + count).min(MAX_COUNT);
        let gain = (count / times.count).min(1.0);
        times.mean_ms += gain * (sum_ms / count - times.mean_ms);
        let recent = (times.recent.0 + count).min(RECENT_COUNT);
        let gain = (count / recent).min(1.0);
        let recent_ms = times.recent.1 + gain * (sum_ms / count - times.recent.1);
        times.recent = (recent, recent_ms);
        let ratio = recent_ms / times.mean_ms.max(0.1);
        if recent >= RECENT_COUNT && (ratio > MIN_CHANGE || ratio * MIN_CHANGE < 1.0) {
            (times.count, times.mean_ms) = (times.count.min(RECENT_COUNT * 2.0), recent_ms);
        }
    }

    /// Removes the servers for which `known` returns `false`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| known(id));
    }

    /// Returns the processing time of a request at a server of mean speed, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        let sampled = self
            .servers
            .values()
            .filter(|times| times.count >= HALF_CONFIDENCE_COUNT);
        let (sum, count) = sampled.fold((0.0, 0.0), |(sum, count), times| {
            (sum + times.mean_ms, count + 1.0)
        });
        if count > 0.0 { sum / count } else { DEFAULT_MS }
    }

    /// Returns the processing time at a server relative to the mean, 1 for a server of mean speed.
    ///
    /// ```
    /// use tarragon_owner::speeds::Speeds;
    ///
    /// let mut speeds = Speeds::default();
    /// speeds.add("slow", 200, 200.0 * 90.0);
    /// speeds.add("fast", 200, 200.0 * 30.0);
    /// assert!(speeds.slowness("slow") > 1.3);
    /// assert!(speeds.slowness("fast") < 0.7);
    /// assert!((speeds.slowness("unseen") - 1.0).abs() < 0.01);
    /// ```
    #[must_use]
    pub fn slowness(&self, id: &str) -> f64 {
        let Some(times) = self.servers.get(id) else {
            return 1.0;
        };
        let measured = times.mean_ms / self.mean_ms().max(0.1);
        let confidence = times.count / (times.count + HALF_CONFIDENCE_COUNT);
        (1.0 + confidence * (measured - 1.0)).clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }
}
