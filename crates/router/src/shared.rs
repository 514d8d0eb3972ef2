//! State that all threads of a router process share.

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
use crate::refusals::Counts;
use crate::seeded_fault::SeededFault;
use crate::view::View;

/// Maximum number of events recorded per second of the kinds that external parties can cause.
const MAX_EXTERNAL_EVENTS_PER_S: u32 = 20;

/// Shared state of the process; clones refer to the same state.
#[derive(Clone)]
pub struct Shared {
    /// Settings of the process.
    pub settings: Arc<settings::Router>,
    /// Key with which the routers of a fleet authenticate each other.
    pub fleet_key: Arc<Vec<u8>>,
    /// Host and incarnation of this process.
    pub me: Peer,
    /// Monotonic clock of the process.
    pub clock: Clock,
    /// Channel to the control thread.
    pub control: mpsc::Sender<Command>,
    /// Latest view that the control thread published.
    pub view: watch::Receiver<Arc<View>>,
    /// Timeline events of this process.
    pub journal: Arc<Mutex<Journal>>,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Cancelled when the process is told to shut down.
    pub drain: CancellationToken,
    /// Cancelled when no request is in flight any more and connections may be closed.
    pub close: CancellationToken,
    /// Cancelled when the process may exit.
    pub stop: CancellationToken,
    /// Number of requests whose response is not fully relayed yet.
    pub in_flight: Arc<AtomicUsize>,
    /// Policies that the node uses.
    pub policies: Policies,
    /// Seeded fault, for experiments.
    pub seeded_fault: SeededFault,
    next_request_id: Arc<AtomicU64>,
    /// Refusals that are not recorded in the timeline yet.
    pub refusals: Arc<Counts>,
    /// Current second of the Unix epoch and the number of rate-limited events in it.
    event_rate: Arc<Mutex<(u64, u32)>>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<AtomicUsize>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Timeout on a pause within a body, shorter during a shutdown.
#[derive(Clone, Debug)]
pub struct IdleTimeout {
    body: Duration,
    shutdown: Duration,
    drain: CancellationToken,
}

impl IdleTimeout {
    /// Completes when a pause that starts now exceeds the timeout.
    ///
    /// If a shutdown begins during the pause, the shutdown timeout counts from its beginning.
    pub async fn elapsed(&self) {
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

/// Arguments of [`Shared::new`].
pub struct Parts {
    /// Settings of the process.
    pub settings: settings::Router,
    /// Key with which the routers of a fleet authenticate each other.
    pub fleet_key: Vec<u8>,
    /// Host and incarnation of this process.
    pub me: Peer,
    /// Channel to the control thread.
    pub control: mpsc::Sender<Command>,
    /// View that the control thread publishes.
    pub view: watch::Receiver<Arc<View>>,
    /// Policies that the node uses.
    pub policies: Policies,
    /// Seeded fault, for experiments.
    pub seeded_fault: SeededFault,
}

impl Shared {
    /// Creates the shared state, with an empty timeline and a clock that starts now.
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
            next_request_id: Arc::new(AtomicU64::new(1)),
            refusals: Arc::default(),
            event_rate: Arc::default(),
        }
    }

    /// Returns a request ID that is unique within the process.
    #[must_use]
    pub fn next_request_id(&self) -> u64 {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in flight until the returned guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight(self.in_flight.clone())
    }

    /// Records an event in the timeline and logs it.
    pub fn record(&self, draft: Draft) {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        let event = journal.push(draft, unix_micros());
        drop(journal);
        log::info!("{event}");
    }

    /// Returns a logical timestamp for a message to another process.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        journal.stamp(unix_micros())
    }

    /// Advances the logical clock past the timestamp of a message from another process.
    pub fn observe(&self, stamp: Stamp) {
        let mut journal = self.journal.lock().unwrap_or_else(PoisonError::into_inner);
        journal.observe(unix_micros(), stamp);
    }

    /// Returns the timeout on pauses within a body, as the settings limit them.
    #[must_use]
    pub fn idle_timeout(&self) -> IdleTimeout {
        let limits = &self.settings.limits;
        IdleTimeout {
            body: limits.body_idle(),
            shutdown: limits.shutdown_idle(),
            drain: self.drain.clone(),
        }
    }

    /// Records an event of a kind that external parties can cause; drops it if the limit of events
    /// per second is reached.
    pub fn record_rate_limited(&self, draft: Draft) {
        let second = unix_micros() / 1_000_000;
        let mut event_rate = self
            .event_rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if event_rate.0 != second {
            *event_rate = (second, 0);
        }
        event_rate.1 += 1;
        let allowed = event_rate.1 <= MAX_EXTERNAL_EVENTS_PER_S;
        drop(event_rate);
        if allowed {
            self.record(draft);
        }
    }

    /// Returns the address to connect to for an advertised address.
    #[must_use]
    pub fn dial_addr(&self, addr: SocketAddr) -> SocketAddr {
        self.settings.dial_addr(addr)
    }

    /// Returns this host's entry for the host list.
    #[must_use]
    pub fn host_entry(&self) -> host::Entry {
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
