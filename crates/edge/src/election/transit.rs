//! How long a heartbeat has waited since it was sent, on the link and in this host.
//!
//! A host that was held up reads heartbeats late, also those that waited in its socket, so the time
//! of reading says nothing about their age. The sender's clock does: the least difference between
//! the two clocks at any heartbeat of a link stands for one that did not wait.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;

/// Parts of elapsed time by which the least difference rises, so that it follows a sender whose
/// clock is slower. Clocks that are being adjusted differ by at most 0.0005.
const DRIFT_DIVISOR: u32 = 1_000;

/// Heartbeats of all links.
///
/// ```
/// use std::time::Duration;
/// use tarragon_edge::election::transit::Transits;
/// use tarragon_model::time::Instant;
///
/// let mut transits = Transits::default();
/// let start = Instant::from_millis(60_000);
/// assert_eq!(transits.delay(1, Instant::from_millis(7), None, start), Duration::ZERO);
/// // Sent 200 ms later, but read 1.7 s later.
/// let late = start + Duration::from_millis(1_700);
/// let delay = transits.delay(1, Instant::from_millis(207), None, late);
/// assert!(delay > Duration::from_millis(1_490) && delay <= Duration::from_millis(1_500));
/// ```
#[derive(Debug, Default)]
pub struct Transits {
    least: HashMap<u64, Baseline>,
}

/// Least difference between the clocks of the two ends of a link.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    /// Clock of the sender.
    sent: Instant,
    /// Clock of this host at that time.
    read: Instant,
}

impl Transits {
    /// Returns for how long a heartbeat that is read at `now` has waited.
    ///
    /// `dialled` is when this host began to open the link, if it did. The first heartbeat of the
    /// link was sent later, but nothing else is known about its age.
    pub fn delay(
        &mut self,
        link: u64,
        sent: Instant,
        dialled: Option<Instant>,
        now: Instant,
    ) -> Duration {
        let read = Baseline { sent, read: now };
        let Some(least) = self.least.get_mut(&link) else {
            self.least.insert(link, read);
            return dialled.map_or(Duration::ZERO, |at| now.since(at));
        };
        let elapsed = now.since(least.read);
        let expected = least.read + sent.since(least.sent) + elapsed / DRIFT_DIVISOR;
        if now <= expected {
            *least = read;
        }
        now.since(expected)
    }

    /// Forgets a link that has ended.
    pub fn forget(&mut self, link: u64) {
        self.least.remove(&link);
    }
}
