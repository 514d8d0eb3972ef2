//! How fast backend servers are, as the requests of all hosts tell.

use std::collections::HashMap;

/// Requests whose times count in full; older ones fade as new ones come.
const MEMORY: f64 = 60.0;
/// Requests after which half of what a server's times tell is believed.
const DOUBT: f64 = 6.0;
/// Time of a request before any was seen, in milliseconds.
const FIRST_MS: f64 = 60.0;
/// Bounds of how much slower than the mean a server may count.
const BOUNDS: (f64, f64) = (0.3, 12.0);

/// Times of requests at each backend server of one service.
#[derive(Debug, Default)]
pub struct Speeds {
    servers: HashMap<String, Times>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Times {
    count: f64,
    mean_ms: f64,
}

impl Speeds {
    /// Adds `count` requests that took `sum_ms` milliseconds together.
    pub fn add(&mut self, id: &str, count: u32, sum_ms: f64) {
        let count = f64::from(count);
        if count <= 0.0 || !sum_ms.is_finite() {
            return;
        }
        let times = self.servers.entry(id.to_owned()).or_default();
        times.count = (times.count + count).min(MEMORY);
        let part = (count / times.count).min(1.0);
        times.mean_ms += part * (sum_ms / count - times.mean_ms);
    }

    /// Forgets servers that are not among `known`.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.servers.retain(|id, _| known(id));
    }

    /// Returns the time of a request at a server of mean speed, in milliseconds.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        let seen = self.servers.values().filter(|times| times.count >= DOUBT);
        let (sum, count) = seen.fold((0.0, 0.0), |(sum, count), times| {
            (sum + times.mean_ms, count + 1.0)
        });
        if count > 0.0 { sum / count } else { FIRST_MS }
    }

    /// Returns how much slower than the mean a server is, 1 for the mean.
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
        let seen = times.mean_ms / self.mean_ms().max(0.1);
        let trust = times.count / (times.count + DOUBT);
        (1.0 + trust * (seen - 1.0)).clamp(BOUNDS.0, BOUNDS.1)
    }
}
