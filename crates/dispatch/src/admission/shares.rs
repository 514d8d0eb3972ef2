//! Shares as a host received them.

use std::time::Duration;

use tarragon_model::time::Instant;

use super::Share;

/// Age at which a share is no longer in force. Hosts then admit all requests and rely on what they
/// observe themselves.
pub const SHARE_TTL: Duration = Duration::from_secs(2);

/// Latest shares, and the clock of the granter that sent them.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Link to the granter.
    source: u64,
    /// Clock of the granter at the latest update.
    sent: Instant,
    /// Least difference between this host's clock and the granter's, in microseconds. A frame that
    /// arrives with a larger one was delayed.
    offset_us: Option<i64>,
    /// Shares, and when they were computed.
    received: Vec<(Share, Instant)>,
}

impl Shares {
    /// Replaces the shares by those that the granter on the link `source` sent at its time `sent`.
    ///
    /// Shares that were sent before the known ones are ignored.
    pub fn update(&mut self, source: u64, sent: Instant, shares: Vec<Share>, now: Instant) {
        if source != self.source {
            *self = Self {
                source,
                ..Self::default()
            };
        }
        if sent < self.sent {
            return;
        }
        self.sent = sent;
        let difference = difference_us(now, sent);
        let offset = self.offset_us.unwrap_or(difference).min(difference);
        self.offset_us = Some(offset);
        let delay = Duration::from_micros(difference.abs_diff(offset));
        let received = shares.into_iter().map(|share| {
            let age = delay + Duration::from_millis(share.age_ms);
            (share, now - age)
        });
        self.received = received.collect();
    }

    /// Returns the admitted share of a service's requests, or `None` if all are admitted.
    #[must_use]
    pub fn get(&self, service: &str, priority: u32, now: Instant) -> Option<f64> {
        let same = |share: &Share| share.service == service && share.priority == priority;
        let (share, computed) = self.received.iter().find(|(share, _)| same(share))?;
        (now.since(*computed) < SHARE_TTL).then_some(share.admitted)
    }

    /// Returns the granter's clock at the time `now` of this host.
    #[must_use]
    pub fn time(&self, now: Instant) -> Duration {
        let now_us = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
        let time_us = now_us.saturating_sub(self.offset_us.unwrap_or_default());
        Duration::from_micros(u64::try_from(time_us).unwrap_or_default())
    }
}

fn difference_us(now: Instant, sent: Instant) -> i64 {
    let micros = |at: Instant| i64::try_from(at.as_micros()).unwrap_or(i64::MAX);
    micros(now) - micros(sent)
}
