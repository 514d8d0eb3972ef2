//! Suspicion of requests that crash the backend servers that run them.
//!
//! A crash puts every request that was in flight there under suspicion. A suspect runs alone from
//! then on: no other suspect of the shard runs meanwhile. A crash while it does so is its second
//! blame, and it is refused from then on.
//!
//! Guarantees, as long as a suspicion is remembered and copies of one request are never in flight
//! on two backend servers at once (the owner of their key is one):
//!
//! - a request that crashes every backend server takes down at most two;
//! - a request that crashes none is never refused because of one such request, whatever runs
//!   beside it. With several such requests at a time this holds when a suspect has its backend
//!   server to itself.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time for which a suspicion lasts after the latest crash.
pub const RETENTION: Duration = Duration::from_hours(1);

/// Suspects remembered at most. Beyond that the oldest is forgotten, refused ones last.
pub const DEFAULT_CAPACITY: usize = 4_096;

/// Blames after which a request is refused.
const LIMIT: u8 = 2;

/// Bytes that one suspect takes on average in a tree of the standard library.
const SUSPECT_BYTES: usize = 36;

/// How a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Like any other.
    Clear,
    /// While no other suspect of the shard runs; see [`Quarantine::running`].
    Alone,
    /// Not at all.
    Refused,
}

/// One change of the quarantine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A suspect is about to be dispatched alone.
    Started {
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A suspect that ran alone ended without a crash and without success.
    Stopped {
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A backend server ran a suspect and answered.
    Succeeded {
        /// Fingerprint of the suspect.
        fingerprint: u64,
    },
    /// A backend server crashed.
    Crashed {
        /// Fingerprints of the requests in flight there.
        in_flight: Vec<u64>,
        /// Time of the crash in milliseconds since the Unix epoch.
        at: u64,
    },
    /// Suspicions of an earlier time are to be forgotten; see [`Quarantine::expiry_cutoff_ms`].
    Expire {
        /// Milliseconds since the Unix epoch.
        before: u64,
    },
}

/// Suspicion of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspicion {
    blames: u8,
    /// Time of the latest crash in milliseconds since the Unix epoch.
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
    /// The suspect that runs alone.
    running: Option<u64>,
    capacity: usize,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Quarantine {
    /// Creates an empty quarantine that remembers at most `capacity` suspects.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            suspects: BTreeMap::new(),
            running: None,
            capacity,
        }
    }

    /// Tells how a request may run.
    #[must_use]
    pub fn check(&self, fingerprint: u64) -> Decision {
        match self.suspects.get(&fingerprint) {
            None => Decision::Clear,
            Some(suspicion) if suspicion.blames >= LIMIT => Decision::Refused,
            Some(_) => Decision::Alone,
        }
    }

    /// Returns the suspect that runs alone. It outlasts a succession: the new leader finds out
    /// whether the backend server crashed, and applies the entry for that.
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

    /// Blames the requests that were in flight on a backend server that crashed at `at`.
    pub fn record_crash(&mut self, in_flight: &[u64], at: u64) {
        let running = self.running.filter(|running| in_flight.contains(running));
        if let Some(running) = running
            && self.check(running) == Decision::Alone
        {
            self.blame(running, at);
            self.running = None;
            return;
        }
        for &fingerprint in in_flight {
            if self.check(fingerprint) == Decision::Clear {
                self.blame(fingerprint, at);
            }
        }
    }

    fn blame(&mut self, fingerprint: u64, at: u64) {
        let suspicion = self
            .suspects
            .entry(fingerprint)
            .or_insert(Suspicion { blames: 0, at });
        suspicion.blames = suspicion.blames.saturating_add(1);
        suspicion.at = suspicion.at.max(at);
        while self.suspects.len() > self.capacity {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let oldest = self.suspects.iter().min_by_key(|(_, suspicion)| {
            let refused = suspicion.blames >= LIMIT;
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

    /// Returns the `before` of the [`Entry::Expire`] that is due, in milliseconds.
    #[must_use]
    pub fn expiry_cutoff_ms(now_unix_ms: u64) -> u64 {
        let retention = u64::try_from(RETENTION.as_millis()).unwrap_or(u64::MAX);
        now_unix_ms.saturating_sub(retention)
    }

    /// Returns the number of suspects remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether no suspect is remembered.
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
