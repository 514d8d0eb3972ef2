//! Remembers requests that crash the backend servers which run them.
//!
//! A request is suspected when the connection on which it ran broke, and convicted of that crash
//! when the backend server turns out to have started anew or ended. Requests that ran beside it
//! are suspected too, so only several crashes convict.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;

/// Crashes after which a request is no longer sent.
pub const QUARANTINE_CRASHES: usize = 2;
/// Time between a broken connection and the news of the crash, at most.
const NEWS: Duration = Duration::from_secs(8);
/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_mins(10);
/// Suspicions and convictions kept at most.
const KEPT: usize = 4096;

/// Hash over method, path, key and body.
pub type Fingerprint = u64;

/// Suspicions and convictions of one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Vec<Suspect>,
    crashes: HashMap<Fingerprint, Vec<Crash>>,
}

#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    server: String,
    at: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Crash {
    server: String,
    at: Instant,
}

impl Quarantine {
    /// Notes that the connection broke on which `server` ran the request.
    pub fn suspect(&mut self, fingerprint: Fingerprint, server: &str, now: Instant) {
        self.suspects.retain(|suspect| now.since(suspect.at) < NEWS);
        if self.suspects.len() < KEPT {
            let server = server.to_owned();
            self.suspects.push(Suspect {
                fingerprint,
                server,
                at: now,
            });
        }
    }

    /// Notes that `server` ended or started anew, and returns the requests convicted by that.
    pub fn server_crashed(&mut self, server: &str, now: Instant) -> Vec<Fingerprint> {
        let (found, rest) = std::mem::take(&mut self.suspects)
            .into_iter()
            .filter(|suspect| now.since(suspect.at) < NEWS)
            .partition(|suspect| suspect.server == server);
        self.suspects = rest;
        let found: Vec<Suspect> = found;
        let fingerprints: Vec<Fingerprint> =
            found.iter().map(|suspect| suspect.fingerprint).collect();
        for fingerprint in &fingerprints {
            self.record_crash(*fingerprint, server, now);
        }
        fingerprints
    }

    /// Notes a crash that this or another host has seen.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, server: &str, now: Instant) {
        if self.crashes.len() >= KEPT {
            self.crashes
                .retain(|_, crashes| crashes.iter().any(|crash| now.since(crash.at) < MEMORY));
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        if crashes.iter().all(|crash| crash.server != server) || crashes.len() < QUARANTINE_CRASHES
        {
            crashes.push(Crash {
                server: server.to_owned(),
                at: now,
            });
        }
    }

    /// Notes that the request was run to a good end: it crashes nothing.
    ///
    /// Callers send alike requests, and any of them may run beside one that crashes its server.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
        self.suspects
            .retain(|suspect| suspect.fingerprint != fingerprint);
    }

    /// Tells whether a request is no longer sent.
    ///
    /// ```
    /// use tarragon_dispatch::poison::Quarantine;
    /// use tarragon_model::time::Instant;
    ///
    /// let mut quarantine = Quarantine::default();
    /// let now = Instant::from_millis(1);
    /// for server in ["a", "b"] {
    ///     assert!(!quarantine.is_quarantined(7, now));
    ///     quarantine.suspect(7, server, now);
    ///     quarantine.server_crashed(server, now);
    /// }
    /// assert!(quarantine.is_quarantined(7, now));
    /// ```
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|crashes| {
            let recent = crashes.iter().filter(|crash| now.since(crash.at) < MEMORY);
            recent.count() >= QUARANTINE_CRASHES
        })
    }
}
