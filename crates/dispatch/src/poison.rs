//! Quarantines requests that crash the backend servers which run them.
//!
//! A request is suspected when the connection that carried it breaks. A crash is recorded against
//! it when the backend server then turns out to have restarted or ended. Requests that ran at the
//! same time are suspected as well, so only several crashes quarantine a request. The crash of one
//! process counts once, however many hosts and callers notice it.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tarragon_model::time::Instant;

/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Maximum time between a broken connection and the detection of the crash.
const SUSPICION_TTL: Duration = Duration::from_secs(8);
/// Time for which a crash is remembered.
const CRASH_TTL: Duration = Duration::from_mins(10);
/// Maximum number of suspects. Expired crashes are removed once this many requests have recorded
/// crashes.
const MAX_ENTRIES: usize = 4096;

/// Hash of a request's method, path, key and body.
pub type Fingerprint = u64;

/// Suspects and recorded crashes, as known to one host.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Vec<Suspect>,
    crashes: HashMap<Fingerprint, Vec<Crash>>,
}

#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    server: String,
    start_ms: u64,
    at: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Crash {
    process: String,
    at: Instant,
}

/// Returns the name of one process of a backend server.
fn process(server: &str, start_ms: u64) -> String {
    format!("{server}/{start_ms}")
}

impl Quarantine {
    /// Records that the connection to `server`, whose process started at `start_ms`, broke while it
    /// carried the request.
    pub fn suspect(
        &mut self,
        fingerprint: Fingerprint,
        (server, start_ms): (&str, u64),
        now: Instant,
    ) {
        self.suspects
            .retain(|suspect| now.since(suspect.at) < SUSPICION_TTL);
        if self.suspects.len() < MAX_ENTRIES {
            let server = server.to_owned();
            self.suspects.push(Suspect {
                fingerprint,
                server,
                start_ms,
                at: now,
            });
        }
    }

    /// Records that `server` ended or restarted. Returns the requests that this crash was recorded
    /// against, and the process that crashed.
    pub fn server_crashed(&mut self, server: &str, now: Instant) -> Vec<(Fingerprint, String)> {
        let (found, rest) = std::mem::take(&mut self.suspects)
            .into_iter()
            .filter(|suspect| now.since(suspect.at) < SUSPICION_TTL)
            .partition(|suspect| suspect.server == server);
        self.suspects = rest;
        let found: Vec<Suspect> = found;
        let crashes = found
            .iter()
            .map(|suspect| (suspect.fingerprint, process(server, suspect.start_ms)));
        // Identical requests may have been sent to the process side by side.
        let crashes: BTreeSet<(Fingerprint, String)> = crashes.collect();
        for (fingerprint, process) in &crashes {
            self.record_crash(*fingerprint, process, now);
        }
        crashes.into_iter().collect()
    }

    /// Records the crash of a process that this or another host observed.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, process: &str, now: Instant) {
        if self.crashes.len() >= MAX_ENTRIES {
            self.crashes
                .retain(|_, crashes| crashes.iter().any(|crash| now.since(crash.at) < CRASH_TTL));
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        if crashes.iter().all(|crash| crash.process != process) {
            crashes.push(Crash {
                process: process.to_owned(),
                at: now,
            });
        }
    }

    /// Records that the request completed successfully, so it does not crash servers.
    ///
    /// Different callers send identical requests, and any of them may run beside a request that
    /// crashes the server.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
        self.suspects
            .retain(|suspect| suspect.fingerprint != fingerprint);
    }

    /// Returns whether a request is quarantined; it is not sent then.
    ///
    /// ```
    /// use tarragon_dispatch::poison::Quarantine;
    /// use tarragon_model::time::Instant;
    ///
    /// let mut quarantine = Quarantine::default();
    /// let now = Instant::from_millis(1);
    /// for server in ["a", "b"] {
    ///     assert!(!quarantine.is_quarantined(7, now));
    ///     quarantine.suspect(7, (server, 1), now);
    ///     quarantine.server_crashed(server, now);
    /// }
    /// assert!(quarantine.is_quarantined(7, now));
    /// ```
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.crashes.get(&fingerprint).is_some_and(|crashes| {
            let recent = crashes
                .iter()
                .filter(|crash| now.since(crash.at) < CRASH_TTL);
            recent.count() >= QUARANTINE_CRASHES
        })
    }
}
