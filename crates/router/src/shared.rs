//! What all duties of one router process share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tarragon_model::host::{self, Peer};
use tarragon_model::settings;
use tarragon_node::policies::Policies;
use tarragon_timeline::event::Draft;
use tarragon_timeline::journal::Journal;
use tarragon_timeline::stamp::Stamp;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, unix_micros};
use crate::control::Command;
use crate::metrics::Metrics;
use crate::seeded_fault::SeededFault;
use crate::tally::Tally;
use crate::view::View;

/// Events a second that outsiders can cause and that are recorded.
const OUTSIDE_EVENTS_PER_S: u32 = 20;

/// Handles that every duty gets.
#[derive(Clone)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Arc<settings::Router>,
    /// Key that all hosts share.
    pub fleet_key: Arc<Vec<u8>>,
    /// This process.
    pub me: Peer,
    /// Clock of the process.
    pub clock: Clock,
    /// Way to the control duty.
    pub control: mpsc::Sender<Command>,
    /// What the control duty last made known.
    pub view: watch::Receiver<Arc<View>>,
    /// Events of this process.
    pub journal: Arc<Mutex<Journal>>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Cancelled when the process is asked to leave.
    pub drain: CancellationToken,
    /// Cancelled when nothing is in flight any more and connections may be closed.
    pub close: CancellationToken,
    /// Cancelled when the process may end.
    pub stop: CancellationToken,
    /// Requests whose answer is not yet fully passed on.
    pub in_flight: Arc<AtomicUsize>,
    /// Policies to use.
    pub policies: Policies,
    /// Rule broken on purpose.
    pub seeded_fault: SeededFault,
    next_request: Arc<AtomicU64>,
    /// Refusals that are not in the time line yet.
    pub tally: Arc<Tally>,
    recent: Arc<Mutex<(u64, u32)>>,
}

/// Counts a request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// How long a pause within a body may be.
#[derive(Clone, Debug)]
pub struct Patience {
    body: Duration,
    shutdown: Duration,
    drain: CancellationToken,
}

impl Patience {
    /// Ends when a pause that begins now has lasted too long, also when a shutdown begins meanwhile.
    pub async fn ends(&self) {
        let shutdown = async {
            self.drain.cancelled().await;
            tokio::time::sleep(self.shutdown).await;
        };
        tokio::select! {
            () = tokio::time::sleep(self.body) => {}
            () = shutdown => {}
        }
    }
}

/// Parts that [`Shared::new`] is built from.
pub struct Parts {
    /// Settings of the process.
    pub settings: settings::Router,
    /// Key that all hosts share.
    pub fleet_key: Vec<u8>,
    /// This process.
    pub me: Peer,
    /// Way to the control duty.
    pub control: mpsc::Sender<Command>,
    /// What the control duty makes known.
    pub view: watch::Receiver<Arc<View>>,
    /// Policies to use.
    pub policies: Policies,
    /// Rule broken on purpose.
    pub seeded_fault: SeededFault,
}

impl Shared {
    /// Sets up the shared handles.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        let journal = Journal::new(parts.me.host.clone(), parts.settings.limits.events);
        Self {
            settings: Arc::new(parts.settings),
            fleet_key: Arc::new(parts.fleet_key),
            me: parts.me,
            clock: Clock::start(),
            control: parts.control,
            view: parts.view,
            journal: Arc::new(Mutex::new(journal)),
            metrics: Arc::new(Metrics::new()),
            drain: CancellationToken::new(),
            close: CancellationToken::new(),
            stop: CancellationToken::new(),
            in_flight: Arc::new(AtomicUsize::new(0)),
            policies: parts.policies,
            seeded_fault: parts.seeded_fault,
            next_request: Arc::new(AtomicU64::new(1)),
            tally: Arc::default(),
            recent: Arc::default(),
        }
    }

    /// Returns a number for a new request.
    #[must_use]
    pub fn next_request(&self) -> u64 {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in flight until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self.in_flight.clone())
    }

    /// Records an event in the time line and in the log.
    pub fn record(&self, draft: Draft) {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        let event = journal.push(draft, unix_micros());
        drop(journal);
        log::info!("{event}");
    }

    /// Returns a time stamp for an event or a message.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        journal.stamp(unix_micros())
    }

    /// Takes in a time stamp of another process.
    pub fn observe(&self, stamp: Stamp) {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        journal.observe(unix_micros(), stamp);
    }

    /// Returns the patience with pauses within a body.
    #[must_use]
    pub fn patience(&self) -> Patience {
        let limits = &self.settings.limits;
        Patience {
            body: limits.body_idle(),
            shutdown: limits.shutdown_idle(),
            drain: self.drain.clone(),
        }
    }

    /// Records an event of a kind that outsiders can cause, unless too many came within a second.
    pub fn record_some(&self, draft: Draft) {
        let second = unix_micros() / 1_000_000;
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        if recent.0 != second {
            *recent = (second, 0);
        }
        recent.1 += 1;
        let within = recent.1 <= OUTSIDE_EVENTS_PER_S;
        drop(recent);
        if within {
            self.record(draft);
        }
    }

    /// Returns the address to dial for an advertised address.
    #[must_use]
    pub fn dialled(&self, addr: SocketAddr) -> SocketAddr {
        self.settings.dial_addr(addr)
    }

    /// Returns what this host says of itself.
    #[must_use]
    pub fn entry(&self) -> host::Entry {
        let settings = &self.settings;
        host::Entry {
            id: settings.host.clone(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            peer_addr: settings.peer_addr,
            forward_addr: settings.forward_addr,
            admin_addr: settings.admin_addr,
            state: host::State::Live,
        }
    }
}
