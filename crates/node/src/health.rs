//! Health of a backend server as seen by its shard's leader.

use std::net::SocketAddr;
use std::time::Duration;

use tarragon_model::backend;
use tarragon_model::time::Instant;

use crate::input::{GrantResult, ProbeResult};

/// Time between two probes of a backend server.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two grants offered to a backend server.
pub const GRANT_INTERVAL: Duration = Duration::from_millis(400);
/// Lifetime of a grant, counted on the backend server's clock from the ticket it carries.
pub const GRANT_TTL: Duration = Duration::from_millis(1_500);
/// Upper bound on the time a grant stays valid after it was sent, also when the sender has lost its
/// lease: the grant's lifetime plus a tenth for the difference between the two clock rates.
pub const MAX_GRANT_DURATION: Duration = Duration::from_millis(1_650);
/// A backend server that has not responded for this long is lost.
pub const LOSS_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Minimum time between a first refused connection and a later one that marks the server lost.
pub const REFUSAL_CONFIRMATION: Duration = Duration::from_millis(150);
/// Delay before the probe that follows a refused connection.
const REFUSED_PROBE_DELAY: Duration = Duration::from_millis(100);

/// Whether a backend server can take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It responds.
    Live,
    /// It is draining and gets no new requests.
    Leaving,
    /// It does not respond.
    Lost,
}

/// What an observation shows about the backend server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A different process responds at the address: the former process and all its work are gone.
    Restarted,
    /// No process listens at the address: the former process and all its work are gone.
    Gone,
    /// The same process responded, so it has not crashed.
    Alive,
}

/// Clock value that a backend server returned, and when it arrived.
#[derive(Clone, Copy, Debug)]
struct Ticket {
    /// Clock value, in the backend server's milliseconds.
    value: u64,
    /// When it arrived.
    at: Instant,
}

/// State of a backend server that the operators ask for in the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Desired {
    /// It is to be drained.
    pub leaving: bool,
    /// It was declared permanently lost.
    pub declared_lost: bool,
}

/// Which kinds of query await their result.
#[derive(Clone, Copy, Debug, Default)]
struct Pending {
    probe: bool,
    grant: bool,
}

/// Health of one backend server.
#[derive(Debug)]
pub struct Health {
    /// Name of the backend server.
    pub id: backend::Id,
    /// Address on which it takes requests.
    pub addr: SocketAddr,
    /// State that the operators ask for.
    pub desired: Desired,
    /// Incarnation that responded last; `None` if the connection was refused since.
    instance: Option<String>,
    /// Time of the latest response.
    last_response: Instant,
    /// Time of the first refused connection since the latest response.
    refused_since: Option<Instant>,
    /// Whether it stopped responding.
    unresponsive: bool,
    /// Earliest time of the next probe.
    next_probe: Instant,
    /// Earliest time of the next grant offer.
    next_grant: Instant,
    /// Queries that await their result.
    pending: Pending,
    /// When the latest probe was sent.
    probe_sent: Instant,
    /// Latest ticket of the current process.
    ticket: Option<Ticket>,
    /// Whether a grant of the current term was accepted and no request was refused for its fence
    /// since.
    granted: bool,
    /// When the work of earlier leaders has ended.
    prior_work_end: Instant,
    /// Whether the backend server reports that it is draining.
    draining: bool,
}

impl Health {
    /// Starts to monitor a backend server whose state is unknown.
    ///
    /// Work that an earlier leader sent there has ended by `prior_work_end`.
    #[must_use]
    pub fn new(id: backend::Id, addr: SocketAddr, now: Instant, prior_work_end: Instant) -> Self {
        Self {
            id,
            addr,
            desired: Desired::default(),
            instance: None,
            last_response: now,
            refused_since: None,
            unresponsive: false,
            next_probe: now,
            next_grant: now,
            pending: Pending::default(),
            probe_sent: Instant::ZERO,
            ticket: None,
            granted: false,
            prior_work_end,
            draining: false,
        }
    }

    /// Returns whether the backend server can take requests.
    #[must_use]
    pub fn availability(&self) -> Availability {
        if self.unresponsive || self.desired.declared_lost {
            Availability::Lost
        } else if self.desired.leaving || self.draining {
            Availability::Leaving
        } else {
            Availability::Live
        }
    }

    /// Returns whether a backend server that checks fences accepts requests of the current term.
    #[must_use]
    pub fn is_granted(&self) -> bool {
        self.granted
    }

    /// Returns whether no work of an earlier leader can still run there.
    #[must_use]
    pub fn has_prior_work_ended(&self, now: Instant) -> bool {
        now >= self.prior_work_end || self.desired.declared_lost
    }

    /// Returns when every grant of this term has expired, if no further one is accepted.
    #[must_use]
    pub fn grant_expiry(&self) -> Instant {
        let last = self.ticket.map_or(Instant::ZERO, |ticket| ticket.at);
        last + MAX_GRANT_DURATION
    }

    /// Returns whether a probe is due and, if so, records it as sent.
    pub fn take_due_probe(&mut self, now: Instant) -> bool {
        if self.pending.probe || now < self.next_probe {
            return false;
        }
        self.pending.probe = true;
        self.probe_sent = now;
        self.next_probe = now + PROBE_INTERVAL;
        true
    }

    /// Returns when the latest probe was sent.
    #[must_use]
    pub fn probe_sent(&self) -> Instant {
        self.probe_sent
    }

    /// Returns the ticket to offer with a grant if one is due, and records the offer as sent.
    ///
    /// The inner value is `None` when no ticket of the backend server is known.
    pub fn take_due_grant(&mut self, now: Instant) -> Option<Option<u64>> {
        if self.pending.grant || now < self.next_grant {
            return None;
        }
        self.pending.grant = true;
        self.next_grant = now + GRANT_INTERVAL;
        Some(self.ticket.map(|ticket| ticket.value))
    }

    /// Makes a probe and a grant due immediately, once the pending ones have ended.
    pub fn expedite(&mut self, now: Instant) {
        self.next_probe = now;
        self.next_grant = now;
    }

    /// Handles a request that the backend server refused because of its fence.
    pub fn handle_fenced(&mut self, now: Instant) {
        self.granted = false;
        self.next_grant = now;
    }

    /// Handles the start of a response to a request.
    pub fn handle_response(&mut self, now: Instant, instance: Option<&str>) -> Change {
        self.mark_responsive(now, instance)
    }

    /// Handles the result of a probe.
    pub fn handle_probe(&mut self, now: Instant, result: &ProbeResult) -> Option<Change> {
        self.pending.probe = false;
        match result {
            ProbeResult::Responded { instance, draining } => {
                self.draining = *draining;
                Some(self.mark_responsive(now, Some(instance)))
            }
            ProbeResult::Refused => Some(self.handle_connection_refused(now)),
            ProbeResult::Failed => None,
        }
    }

    /// Handles the result of a grant offer.
    pub fn handle_grant(&mut self, now: Instant, result: &GrantResult) -> Option<Change> {
        self.pending.grant = false;
        match result {
            GrantResult::Responded {
                granted,
                ticket,
                instance,
            } => {
                let change = self.mark_responsive(now, Some(instance));
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
            GrantResult::Refused => Some(self.handle_connection_refused(now)),
            GrantResult::Failed => None,
        }
    }

    /// Handles a refused connection.
    pub fn handle_connection_refused(&mut self, now: Instant) -> Change {
        let since = *self.refused_since.get_or_insert(now);
        if now.since(since) >= REFUSAL_CONFIRMATION {
            self.unresponsive = true;
        }
        self.next_probe = self.next_probe.min(now + REFUSED_PROBE_DELAY);
        self.instance = None;
        self.granted = false;
        self.prior_work_end = Instant::ZERO;
        Change::Gone
    }

    /// Marks the backend server unresponsive once it has been silent for [`LOSS_TIMEOUT`].
    pub fn tick(&mut self, now: Instant) {
        if now.since(self.last_response) >= LOSS_TIMEOUT {
            self.unresponsive = true;
        }
    }

    /// Records a response and compares the process that sent it with the known one.
    fn mark_responsive(&mut self, now: Instant, instance: Option<&str>) -> Change {
        self.last_response = now;
        self.refused_since = None;
        self.unresponsive = false;
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
            self.prior_work_end = Instant::ZERO;
            return Change::Restarted;
        }
        Change::Alive
    }
}
