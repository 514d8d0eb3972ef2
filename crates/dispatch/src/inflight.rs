//! Limits on what one host has under way at a backend server.
//!
//! A server crashes if the bodies that it holds exceed its memory, which no host knows. And some
//! servers reset the connection of a request when they are full. The outcome of that request is then
//! unknown, so one that may run only once is lost.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;

/// Bytes of request bodies that all hosts together may have under way at one server: 6 running and
/// 8 waiting uploads of 1 MiB.
const SERVER_BYTES: usize = 16 * 1024 * 1024;
/// Least part of that for one host, however many share the server: they rarely all use theirs.
const MIN_HOST_BYTES: usize = 1024 * 1024;
/// Time for which a service counts as one whose full servers reset connections.
const RESET_MEMORY: Duration = Duration::from_secs(30);
/// Places at a server that are left for the requests of other hosts, which this one learns of late.
const SPARE_PLACES: f64 = 1.0;

/// Why a request is not sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The bodies under way there use the bytes of this host.
    Bytes,
    /// The server is about to be full and resets connections then.
    Full,
}

impl Withheld {
    /// Returns the name of the cause in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Bytes => "server-bytes",
            Self::Full => "server-resets-when-full",
        }
    }
}

/// Backend server as this host estimates it.
#[derive(Clone, Copy, Debug)]
pub struct Target<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Requests that run or wait there.
    pub load: f64,
    /// Requests that it runs concurrently.
    pub slots: u32,
}

/// What a host has under way, and what it knows of full servers.
#[derive(Debug, Default)]
pub struct InFlight {
    bytes: HashMap<String, usize>,
    /// Requests beyond its slots at which a server of the service reset a connection, and until
    /// when that counts.
    resets: HashMap<String, (f64, Instant)>,
    /// Until when a service counts as one whose full servers say that they did not run a request.
    declines: HashMap<String, Instant>,
}

impl InFlight {
    /// Returns whether a request with a body of `bytes` may be sent to a server now.
    ///
    /// `once` is whether it may run only once. A server with nothing under way takes any body.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request would exceed.
    ///
    /// ```
    /// use tarragon_dispatch::inflight::{InFlight, Target, Withheld};
    /// use tarragon_model::time::Instant;
    ///
    /// let now = Instant::from_millis(1);
    /// let server = |load| Target { id: "a", service: "s", load, slots: 6 };
    /// let mut under_way = InFlight::default();
    /// under_way.begin("a", 900_000);
    /// assert_eq!(under_way.check(server(1.0), 200_000, false, 71, now), Err(Withheld::Bytes));
    /// under_way.record_lost(server(7.0), now);
    /// assert_eq!(under_way.check(server(5.0), 0, true, 71, now), Err(Withheld::Full));
    /// assert_eq!(under_way.check(server(4.0), 0, true, 71, now), Ok(()));
    /// assert_eq!(under_way.check(server(6.0), 0, false, 71, now), Ok(()));
    /// ```
    pub fn check(
        &self,
        server: Target<'_>,
        bytes: usize,
        once: bool,
        hosts: u32,
        now: Instant,
    ) -> Result<(), Withheld> {
        let held = self.bytes.get(server.id).copied().unwrap_or_default();
        let hosts = usize::try_from(hosts.max(1)).unwrap_or(usize::MAX);
        if bytes > 0 && held > 0 && held + bytes > (SERVER_BYTES / hosts).max(MIN_HOST_BYTES) {
            return Err(Withheld::Bytes);
        }
        let declines = self.declines.get(server.service);
        let resets = self.resets.get(server.service);
        let resets = resets.filter(|_| declines.is_none_or(|until| now >= *until));
        if let Some((beyond, _)) = resets.filter(|(_, until)| once && now < *until) {
            let places = f64::from(server.slots) + beyond - SPARE_PLACES;
            if server.load + 1.0 > places.max(1.0) {
                return Err(Withheld::Full);
            }
        }
        Ok(())
    }

    /// Notes that a body is sent to a server.
    pub fn begin(&mut self, id: &str, bytes: usize) {
        if bytes > 0 {
            *self.bytes.entry(id.to_owned()).or_default() += bytes;
        }
    }

    /// Notes that the attempt with a body has ended.
    pub fn end(&mut self, id: &str, bytes: usize) {
        if let Some(held) = self.bytes.get_mut(id) {
            *held = held.saturating_sub(bytes);
            if *held == 0 {
                self.bytes.remove(id);
            }
        }
    }

    /// Notes that a server said that it did not run a request; `load` is what it reported with that.
    ///
    /// If all its slots were in use, full servers of the service do not reset connections, and lost
    /// responses have another cause.
    ///
    /// ```
    /// use tarragon_dispatch::inflight::{InFlight, Target};
    /// use tarragon_model::time::Instant;
    ///
    /// let now = Instant::from_millis(1);
    /// let server = |load| Target { id: "a", service: "s", load, slots: 6 };
    /// let mut under_way = InFlight::default();
    /// under_way.record_lost(server(7.0), now);
    /// under_way.record_declined(server(9.0), now);
    /// assert_eq!(under_way.check(server(6.0), 0, true, 71, now), Ok(()));
    /// ```
    pub fn record_declined(&mut self, server: Target<'_>, now: Instant) {
        if server.load >= f64::from(server.slots) {
            self.declines
                .insert(server.service.to_owned(), now + RESET_MEMORY);
        }
    }

    /// Notes that a server ended the connection of a request without a response; its load includes
    /// that request. A server with a free slot had another reason. Returns whether this is the first
    /// sign that full servers of the service do so.
    pub fn record_lost(&mut self, server: Target<'_>, now: Instant) -> bool {
        // Its slots, and at most this request, were in use.
        let beyond = server.load - 1.0 - f64::from(server.slots);
        if beyond < 0.0 {
            return false;
        }
        let until = now + RESET_MEMORY;
        let known = self.resets.get(server.service);
        let known = known.filter(|(_, until)| now < *until);
        let least = known.map_or(beyond, |(least, _)| least.min(beyond));
        let first = known.is_none();
        self.resets
            .insert(server.service.to_owned(), (least, until));
        first
    }
}
