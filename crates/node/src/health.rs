//! What a shard's leader knows of one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use tarragon_model::backend;
use tarragon_model::time::Instant;

use crate::input::{GrantResult, ProbeResult};

/// Time between two probes of a backend server.
pub const PROBE_EVERY: Duration = Duration::from_millis(400);
/// Time between two grants offered to a backend server.
pub const GRANT_EVERY: Duration = Duration::from_millis(400);
/// Lifetime of a grant, counted on the backend server's clock from the ticket it carries.
pub const GRANT_TTL: Duration = Duration::from_millis(1_500);
/// Longest time after which a grant sent by a process that lost its lease has run out: the grant's
/// lifetime and a tenth of it for the rates of the two clocks.
pub const GRANT_SPAN: Duration = Duration::from_millis(1_650);
/// A backend server that has not answered for this long is lost.
pub const LOST_AFTER: Duration = Duration::from_millis(1_400);
/// Time between the first of two refused connections and the second that makes a loss.
pub const REFUSED_FOR: Duration = Duration::from_millis(150);
/// Pause before a probe that follows a refused connection.
const REFUSED_PROBE_AFTER: Duration = Duration::from_millis(100);

/// Whether a backend server can take work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It answers.
    Live,
    /// It is about to leave and gets no new work.
    Leaving,
    /// It does not answer.
    Lost,
}

/// What changed with an answer or with time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Another process now answers at the address: the earlier one is gone with all its work.
    Restarted,
    /// No process listens at the address: the earlier one is gone with all its work.
    Gone,
    /// The same process answered, so it did not crash.
    Alive,
}

/// Ticket of a backend server and when it came.
#[derive(Clone, Copy, Debug)]
struct Ticket {
    value: u64,
    at: Instant,
}

/// What operators want of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wish {
    /// It is to leave.
    pub leaving: bool,
    /// It was declared gone for good.
    pub declared_lost: bool,
}

/// Questions that have not been answered.
#[derive(Clone, Copy, Debug, Default)]
struct Pending {
    probe: bool,
    grant: bool,
}

/// Health of one backend server as its shard's leader sees it.
#[derive(Debug)]
pub struct Health {
    /// Name of the backend server.
    pub id: backend::Id,
    /// Address on which it takes work.
    pub addr: SocketAddr,
    /// What operators want of it.
    pub wish: Wish,
    instance: Option<String>,
    last_ok: Instant,
    refused_since: Option<Instant>,
    silent: bool,
    next_probe: Instant,
    next_grant: Instant,
    pending: Pending,
    probe_sent: Instant,
    ticket: Option<Ticket>,
    granted: bool,
    work_ended: Instant,
    drains: bool,
}

impl Health {
    /// Starts to watch a backend server that nothing is known of.
    ///
    /// Work of an earlier leader has ended there at `work_ended`.
    #[must_use]
    pub fn new(id: backend::Id, addr: SocketAddr, now: Instant, work_ended: Instant) -> Self {
        Self {
            id,
            addr,
            wish: Wish::default(),
            instance: None,
            last_ok: now,
            refused_since: None,
            silent: false,
            next_probe: now,
            next_grant: now,
            pending: Pending::default(),
            probe_sent: Instant::ZERO,
            ticket: None,
            granted: false,
            work_ended,
            drains: false,
        }
    }

    /// Returns whether the backend server can take work.
    #[must_use]
    pub fn standing(&self) -> Standing {
        if self.silent || self.wish.declared_lost {
            Standing::Lost
        } else if self.wish.leaving || self.drains {
            Standing::Leaving
        } else {
            Standing::Live
        }
    }

    /// Tells whether work of this reign is accepted by a backend server that checks fences.
    #[must_use]
    pub fn is_granted(&self) -> bool {
        self.granted
    }

    /// Tells whether no work of an earlier leader can still run there.
    #[must_use]
    pub fn is_clear(&self, now: Instant) -> bool {
        now >= self.work_ended || self.wish.declared_lost
    }

    /// Returns when every grant of this reign has run out, if no further one is taken.
    #[must_use]
    pub fn grants_end(&self) -> Instant {
        let last = self.ticket.map_or(Instant::ZERO, |ticket| ticket.at);
        last + GRANT_SPAN
    }

    /// Tells whether a probe is due and notes that it is sent.
    pub fn wants_probe(&mut self, now: Instant) -> bool {
        if self.pending.probe || now < self.next_probe {
            return false;
        }
        self.pending.probe = true;
        self.probe_sent = now;
        self.next_probe = now + PROBE_EVERY;
        true
    }

    /// Returns when the latest probe was sent.
    #[must_use]
    pub fn probe_sent(&self) -> Instant {
        self.probe_sent
    }

    /// Returns the ticket to offer a grant with when one is due, and notes that it is sent.
    pub fn wants_grant(&mut self, now: Instant) -> Option<Option<u64>> {
        if self.pending.grant || now < self.next_grant {
            return None;
        }
        self.pending.grant = true;
        self.next_grant = now + GRANT_EVERY;
        Some(self.ticket.map(|ticket| ticket.value))
    }

    /// Asks for a probe and a grant as soon as possible.
    pub fn hurry(&mut self, now: Instant) {
        self.next_probe = now;
        self.next_grant = now;
    }

    /// Takes in that a request was refused for its fence.
    pub fn fenced(&mut self, now: Instant) {
        self.granted = false;
        self.next_grant = now;
    }

    /// Takes in that an answer to work began.
    pub fn responded(&mut self, now: Instant, instance: Option<&str>) -> Change {
        self.answered(now, instance)
    }

    /// Takes in the answer to a probe.
    pub fn probed(&mut self, now: Instant, result: &ProbeResult) -> Option<Change> {
        self.pending.probe = false;
        match result {
            ProbeResult::Responded { instance, draining } => {
                self.drains = *draining;
                Some(self.answered(now, Some(instance)))
            }
            ProbeResult::Refused => Some(self.refused(now)),
            ProbeResult::Failed => None,
        }
    }

    /// Takes in the answer to an offered grant.
    pub fn offered(&mut self, now: Instant, result: &GrantResult) -> Option<Change> {
        self.pending.grant = false;
        match result {
            GrantResult::Responded {
                granted,
                ticket,
                instance,
            } => {
                let change = self.answered(now, Some(instance));
                self.ticket = Some(Ticket {
                    value: *ticket,
                    at: now,
                });
                if !*granted {
                    self.next_grant = now;
                }
                self.granted = *granted;
                Some(change)
            }
            GrantResult::Refused => Some(self.refused(now)),
            GrantResult::Failed => None,
        }
    }

    /// Takes in that a connection was refused.
    pub fn refused(&mut self, now: Instant) -> Change {
        let since = *self.refused_since.get_or_insert(now);
        if now.since(since) >= REFUSED_FOR {
            self.silent = true;
        }
        self.next_probe = self.next_probe.min(now + REFUSED_PROBE_AFTER);
        self.instance = None;
        self.granted = false;
        self.work_ended = Instant::ZERO;
        Change::Gone
    }

    /// Takes in that time passed.
    pub fn tick(&mut self, now: Instant) {
        if now.since(self.last_ok) >= LOST_AFTER {
            self.silent = true;
        }
    }

    fn answered(&mut self, now: Instant, instance: Option<&str>) -> Change {
        self.last_ok = now;
        self.refused_since = None;
        self.silent = false;
        let Some(instance) = instance else {
            return Change::Alive;
        };
        let restarted = self
            .instance
            .as_deref()
            .is_some_and(|known| known != instance);
        if self.instance.as_deref() != Some(instance) {
            self.instance = Some(instance.to_owned());
            self.ticket = None;
            self.granted = false;
        }
        if restarted {
            self.work_ended = Instant::ZERO;
            return Change::Restarted;
        }
        Change::Alive
    }
}
