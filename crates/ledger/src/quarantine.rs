//! Quarantine of poison requests, which crash the backend servers that run them.
//!
//! A crash makes every request that was in flight on the backend server a suspect. From then on a
//! suspect runs alone: no other suspect of the shard runs at the same time. A crash while it runs
//! alone is the second one attributed to it, and it is refused from then on.
//!
//! Guarantees, as long as suspects are kept and copies of one request are never in flight on two
//! backend servers at once (their key has one owner):
//!
//! - a request that crashes every backend server that runs it takes down at most two;
//! - a request that crashes none is never refused because of one such request, whatever runs
//!   concurrently. With several such requests at a time, this holds only if a suspect has its
//!   backend server to itself.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which a suspect is kept after its latest crash.
pub const RETENTION: Duration = Duration::from_hours(1);

/// Default maximum number of suspects. Beyond it the oldest is evicted, refused ones last.
pub const DEFAULT_CAPACITY: usize = 4_096;

/// Number of attributed crashes at which a request is refused.
const REFUSAL_CRASHES: u8 = 2;

/// Average memory of one suspect in the standard library's `BTreeMap`, in bytes.
const SUSPECT_BYTES: usize = 36;

/// Decision on how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Without restriction.
    Clear,
    /// Only while no other suspect of the shard runs; see [`Quarantine::running`].
    Alone,
    /// Never.
    Refused,
}

/// One change to the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A suspect is about to be dispatched alone.
    Started {
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A suspect that ran alone ended without a crash, but did not succeed.
    Stopped {
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A backend server ran a suspect and responded.
    Succeeded {
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A backend server crashed.
    Crashed {
        /// Fingerprints of the requests in flight on it.
        in_flight: Vec<u64>,
        /// Time of the crash, in milliseconds since the Unix epoch.
        at: u64,
    },
    /// Suspects whose latest crash is earlier expire; see [`Quarantine::expiry_cutoff_ms`].
    Expire {
        /// Milliseconds since the Unix epoch.
        before: u64,
    },
}

/// Crashes attributed to one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspicion {
    #[serde(rename = "blames")]
    crashes: u8,
    /// Time of the latest crash, in milliseconds since the Unix epoch.
    at: u64,
}

/// Suspects of one shard.
///
/// ```
/// use tarragon_ledger::quarantine::{Decision, Entry, Quarantine};
///
/// let mut quarantine = Quarantine::default();
/// quarantine.record_crash(&[1, 2], 0);
/// assert_eq!(quarantine.check(1), Decision::Alone);
/// quarantine.apply(&Entry::Started { fingerprint: 1 });
/// quarantine.record_crash(&[1, 3], 1);
/// assert_eq!(quarantine.check(1), Decision::Refused);
/// assert_eq!(quarantine.check(3), Decision::Clear);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantine {
    suspects: BTreeMap<u64, Suspicion>,
    /// Fingerprint of the suspect that runs alone.
    running: Option<u64>,
    capacity: usize,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Quarantine {
    /// Creates an empty quarantine that keeps at most `capacity` suspects.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            suspects: BTreeMap::new(),
            running: None,
            capacity,
        }
    }

    /// Decides how a request may run.
    #[must_use]
    pub fn check(&self, fingerprint: u64) -> Decision {
        match self.suspects.get(&fingerprint) {
            None => Decision::Clear,
            Some(suspicion) if suspicion.crashes >= REFUSAL_CRASHES => Decision::Refused,
            Some(_) => Decision::Alone,
        }
    }

    /// Returns the fingerprint of the suspect that runs alone.
    ///
    /// It is kept when the leader changes: the new leader finds out whether the backend server
    /// crashed and applies the corresponding entry.
    #[must_use]
    pub fn running(&self) -> Option<u64> {
        self.running
    }

    /// Applies one change.
    pub fn apply(&mut self, entry: &Entry) {
        match entry {
            Entry::Started { fingerprint } => self.running = Some(*fingerprint),
            Entry::Stopped { fingerprint } => self.stop(*fingerprint),
            Entry::Succeeded { fingerprint } => self.clear(*fingerprint),
            Entry::Crashed { in_flight, at } => self.record_crash(in_flight, *at),
            Entry::Expire { before } => self.expire(*before),
        }
    }

    /// Records the crash of a backend server at `at`, in milliseconds since the Unix epoch.
    ///
    /// The crash is attributed to the suspect that ran alone on it, if any, and otherwise to every
    /// request in `in_flight` that was not a suspect before.
    pub fn record_crash(&mut self, in_flight: &[u64], at: u64) {
        let running = self.running.filter(|running| in_flight.contains(running));
        if let Some(running) = running
            && self.check(running) == Decision::Alone
        {
            self.attribute_crash(running, at);
            self.running = None;
            return;
        }
        for &fingerprint in in_flight {
            if self.check(fingerprint) == Decision::Clear {
                self.attribute_crash(fingerprint, at);
            }
        }
    }

    fn attribute_crash(&mut self, fingerprint: u64, at: u64) {
        let suspicion = self
            .suspects
            .entry(fingerprint)
            .or_insert(Suspicion { crashes: 0, at });
        suspicion.crashes = suspicion.crashes.saturating_add(1);
        suspicion.at = suspicion.at.max(at);
        while self.suspects.len() > self.capacity {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, suspicion)| {
            let refused = suspicion.crashes >= REFUSAL_CRASHES;
            (refused, suspicion.at)
        });
        if let Some(fingerprint) = oldest.map(|(&fingerprint, _)| fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    fn stop(&mut self, fingerprint: u64) {
        if self.running == Some(fingerprint) {
            self.running = None;
        }
    }

    fn clear(&mut self, fingerprint: u64) {
        self.stop(fingerprint);
        if self.check(fingerprint) == Decision::Alone {
            self.suspects.remove(&fingerprint);
        }
    }

    fn expire(&mut self, before: u64) {
        let running = self.running;
        self.suspects.retain(|&fingerprint, suspicion| {
            suspicion.at >= before || running == Some(fingerprint)
        });
    }

    /// Returns the `before` of an [`Entry::Expire`] that is due at `now_unix_ms`, in milliseconds
    /// since the Unix epoch.
    #[must_use]
    pub fn expiry_cutoff_ms(now_unix_ms: u64) -> u64 {
        let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        now_unix_ms.saturating_sub(retention)
    }

    /// Returns the number of suspects.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns an estimate of the memory used, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.suspects.len() * SUSPECT_BYTES
    }
}
