//! Lag of the event loop: how late a periodic task of the process runs.

use std::time::Duration;

use tokio::time::Instant;

use crate::logging::Limiter;
use crate::metrics::Metrics;

/// Lag from which on it is logged.
const LOG_THRESHOLD: Duration = Duration::from_millis(300);
/// Maximum number of lines in a second.
const LINES_PER_S: u32 = 1;

/// Records the lag of a periodic task.
pub struct Monitor {
    lines: Limiter,
}

impl Default for Monitor {
    fn default() -> Self {
        Self {
            lines: Limiter::new(LINES_PER_S),
        }
    }
}

impl Monitor {
    /// Records that the task runs at `now`, though it was due at `scheduled`.
    pub fn record(&mut self, metrics: &Metrics, scheduled: Instant, now: Instant) {
        let lag = now.saturating_duration_since(scheduled);
        metrics.record_loop_lag(lag);
        if lag < LOG_THRESHOLD {
            return;
        }
        if let Some(dropped) = self.lines.allow(now) {
            log::warn!("event=loop-lag ms={} dropped={dropped}", lag.as_millis());
        }
    }
}
