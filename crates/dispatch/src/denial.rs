//! Ranges of keys whose assumed holder has denied holding them.
//!
//! A backend server refuses a request for a key that it does not hold. The same belief led every
//! other request for the range to that server, so nothing more is sent there until the key map
//! says something new about the range. A renewed grant changes no map, so one request at a time
//! tries again after a pause.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;

/// Time after a denial, or after a trial, until one request tries the server again.
pub const TRIAL_INTERVAL: Duration = Duration::from_millis(300);
/// Time after the first denial for which a new holder can be expected shortly.
pub const TRANSFER_TIME: Duration = Duration::from_millis(400);

/// Holder of a range of keys, as the key map names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim<'a> {
    /// Service of the keys.
    pub service: &'a str,
    /// Last key of the range.
    pub to: u16,
    /// Identifier of the backend server.
    pub server: &'a str,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub start_ms: u64,
}

/// Denied claims of one host.
#[derive(Debug, Default)]
pub struct Denials {
    services: HashMap<String, HashMap<u16, Denial>>,
}

/// Whether a request may be sent to the claimed holder of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The holder has not denied the keys, or this request is to try it again.
    Send,
    /// The holder has denied the keys lately; news of a transfer is expected until this time.
    Wait(Instant),
    /// The holder denied the keys some time ago, and there has been no news since.
    Refuse,
}

#[derive(Debug)]
struct Denial {
    server: String,
    start_ms: u64,
    first: Instant,
    next_trial: Instant,
}

impl Denial {
    fn is_of(&self, claim: &Claim<'_>) -> bool {
        self.server == claim.server && self.start_ms == claim.start_ms
    }
}

impl Denials {
    /// Records that the claimed holder does not hold the keys.
    pub fn record(&mut self, claim: &Claim<'_>, now: Instant) {
        let next_trial = now + TRIAL_INTERVAL;
        let ranges = self.services.entry(claim.service.to_owned()).or_default();
        match ranges.get_mut(&claim.to) {
            Some(denial) if denial.is_of(claim) => denial.next_trial = next_trial,
            _ => {
                let denial = Denial {
                    server: claim.server.to_owned(),
                    start_ms: claim.start_ms,
                    first: now,
                    next_trial,
                };
                ranges.insert(claim.to, denial);
            }
        }
    }

    /// Decides whether a request may be sent to the claimed holder.
    ///
    /// `denied_before` says that the holder has denied the keys to this very request, which is then
    /// not sent there again. Another request that may be sent to a holder that denied the keys is
    /// the trial, and the next trial is due after [`TRIAL_INTERVAL`].
    ///
    /// ```
    /// use tarragon_dispatch::denial::{Claim, Denials, TRANSFER_TIME, Verdict};
    /// use tarragon_model::time::Instant;
    ///
    /// let claim = Claim { service: "s", to: 99, server: "a", start_ms: 1 };
    /// let now = Instant::from_millis(5_000);
    /// let mut denials = Denials::default();
    /// assert_eq!(denials.check(&claim, false, now), Verdict::Send);
    /// denials.record(&claim, now);
    /// assert_eq!(denials.check(&claim, false, now), Verdict::Wait(now + TRANSFER_TIME));
    /// denials.clear("s", 0, 99);
    /// assert_eq!(denials.check(&claim, false, now), Verdict::Send);
    /// ```
    pub fn check(&mut self, claim: &Claim<'_>, denied_before: bool, now: Instant) -> Verdict {
        let denial = self
            .services
            .get_mut(claim.service)
            .and_then(|ranges| ranges.get_mut(&claim.to))
            .filter(|denial| denial.is_of(claim));
        let Some(denial) = denial else {
            return Verdict::Send;
        };
        if !denied_before && now >= denial.next_trial {
            denial.next_trial = now + TRIAL_INTERVAL;
            return Verdict::Send;
        }
        let transfer_end = denial.first + TRANSFER_TIME;
        if now < transfer_end {
            Verdict::Wait(transfer_end)
        } else {
            Verdict::Refuse
        }
    }

    /// Forgets the denial of a claim, as its holder accepted a request for the range.
    pub fn confirm(&mut self, claim: &Claim<'_>) {
        if let Some(ranges) = self.services.get_mut(claim.service)
            && ranges
                .get(&claim.to)
                .is_some_and(|denial| denial.is_of(claim))
        {
            ranges.remove(&claim.to);
        }
    }

    /// Forgets the denials of the ranges that end between two keys, both inclusive, as the key map
    /// says something new about them.
    pub fn clear(&mut self, service: &str, from: u16, to: u16) {
        if let Some(ranges) = self.services.get_mut(service) {
            ranges.retain(|last, _| *last < from || *last > to);
        }
    }
}
