//! Remembers requests that crash the backend servers which run them.
//!
//! A request is suspected when the connection on which it ran broke, and convicted of that crash
//! when the backend server turns out to have started anew or ended. Requests that ran beside it
//! are suspected too, so only several crashes convict.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;

/// Crashes after which a request is no longer sent.
pub const CRASHES: usize = 2;
/// Time between a broken connection and the news of the crash, at most.
const NEWS: Duration = Duration::from_secs(8);
/// Time for which a crash is remembered.
const MEMORY: Duration = Duration::from_mins(10);
/// Suspicions and convictions kept at most.
const KEPT: usize = 4096;

/// Hash over method, path, key and body.
pub type Print = u64;

/// Suspicions and convictions of one host.
#[derive(Debug, Default)]
pub struct Poison {
    suspects: Vec<Suspect>,
    crashes: HashMap<Print, Vec<Crash>>,
}

#[derive(Debug)]
struct Suspect {
    print: Print,
    server: String,
    at: Instant,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Crash {
    server: String,
    at: Instant,
}

impl Poison {
    /// Notes that the connection broke on which `server` ran the request.
    pub fn suspect(&mut self, print: Print, server: &str, now: Instant) {
        self.suspects.retain(|suspect| now.since(suspect.at) < NEWS);
        if self.suspects.len() < KEPT {
            let server = server.to_owned();
            self.suspects.push(Suspect {
                print,
                server,
                at: now,
            });
        }
    }

    /// Notes that `server` ended or started anew, and returns the requests convicted by that.
    pub fn crashed(&mut self, server: &str, now: Instant) -> Vec<Print> {
        let (found, rest) = std::mem::take(&mut self.suspects)
            .into_iter()
            .filter(|suspect| now.since(suspect.at) < NEWS)
            .partition(|suspect| suspect.server == server);
        self.suspects = rest;
        let found: Vec<Suspect> = found;
        let prints: Vec<Print> = found.iter().map(|suspect| suspect.print).collect();
        for print in &prints {
            self.convict(*print, server, now);
        }
        prints
    }

    /// Notes a crash that this or another host has seen.
    pub fn convict(&mut self, print: Print, server: &str, now: Instant) {
        if self.crashes.len() >= KEPT {
            self.crashes
                .retain(|_, crashes| crashes.iter().any(|crash| now.since(crash.at) < MEMORY));
        }
        let crashes = self.crashes.entry(print).or_default();
        if crashes.iter().all(|crash| crash.server != server) || crashes.len() < CRASHES {
            crashes.push(Crash {
                server: server.to_owned(),
                at: now,
            });
        }
    }

    /// Notes that the request was run to a good end: it crashes nothing.
    ///
    /// Callers send alike requests, and any of them may run beside one that crashes its server.
    pub fn acquit(&mut self, print: Print) {
        self.crashes.remove(&print);
        self.suspects.retain(|suspect| suspect.print != print);
    }

    /// Tells whether a request is no longer sent.
    ///
    /// ```
    /// use tarragon_dispatch::poison::Poison;
    /// use tarragon_model::time::Instant;
    ///
    /// let mut poison = Poison::default();
    /// let now = Instant::from_millis(1);
    /// for server in ["a", "b"] {
    ///     assert!(!poison.refuses(7, now));
    ///     poison.suspect(7, server, now);
    ///     poison.crashed(server, now);
    /// }
    /// assert!(poison.refuses(7, now));
    /// ```
    #[must_use]
    pub fn refuses(&self, print: Print, now: Instant) -> bool {
        self.crashes.get(&print).is_some_and(|crashes| {
            let recent = crashes.iter().filter(|crash| now.since(crash.at) < MEMORY);
            recent.count() >= CRASHES
        })
    }
}
