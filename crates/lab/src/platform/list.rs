//! The platform's host list, which lags behind the actual state and can state a wrong one.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarragon_model::host::{Entry, State};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::object::{ABSENT, Store, WriteOutcome};
use crate::error::Result;
use crate::fleet::layout::Host;

/// Kind of the store objects that form the list.
const KIND: &str = "hosts";
/// Interval between updates of the list.
const UPDATE_PERIOD: Duration = Duration::from_millis(250);
/// Time by which the list normally lags.
const LAG: Duration = Duration::from_secs(2);
/// Time by which the list lags under the `list-lag` fault.
const LONG_LAG: Duration = Duration::from_secs(15);

/// Whether the process of a host runs and is to keep running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The process runs and is not about to be stopped.
    Live,
    /// The process runs and is about to be stopped.
    Leaving,
    /// No process runs; the list has no entry.
    Gone,
}

/// Presence of all hosts by host identifier.
type Presences = BTreeMap<String, Presence>;

#[derive(Debug, Default)]
struct Shared {
    actual: Presences,
    /// Whether the `list-lag` fault is active.
    long_lag: bool,
    /// Hosts about which the list states the opposite.
    inverted: Vec<String>,
}

/// Host list; the run sets the actual presence of each host.
#[derive(Clone, Debug, Default)]
pub struct List {
    shared: Arc<Mutex<Shared>>,
}

impl List {
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the actual presence of a host.
    pub fn set(&self, host: &str, presence: Presence) {
        self.lock().actual.insert(host.to_owned(), presence);
    }

    /// Starts or ends the long lag of the `list-lag` fault.
    pub fn set_long_lag(&self, long: bool) {
        self.lock().long_lag = long;
    }

    /// Starts or ends stating the opposite about a host, as the `list-wrong` fault does.
    pub fn set_inverted(&self, host: &str, inverted: bool) {
        let mut shared = self.lock();
        shared.inverted.retain(|name| name != host);
        if inverted {
            shared.inverted.push(host.to_owned());
        }
    }

    /// Writes the list to the store periodically until cancelled.
    pub fn publish(&self, store: Store, hosts: &[Host], stop: &CancellationToken) {
        let publisher = Publisher {
            list: self.clone(),
            store,
            hosts: hosts.to_vec(),
            written: BTreeMap::new(),
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(publisher.run()));
    }
}

struct Publisher {
    list: List,
    store: Store,
    hosts: Vec<Host>,
    /// Presences as last written to the store.
    written: Presences,
}

impl Publisher {
    /// Publishes the presences as they were `lag` ago, with the inversions applied.
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(UPDATE_PERIOD);
        let mut past: VecDeque<(Instant, Presences)> = VecDeque::new();
        loop {
            let now = ticks.tick().await;
            let (actual, lag, inverted) = self.snapshot();
            past.push_back((now, actual));
            while past.len() > 1 && past[1].0 + lag <= now {
                past.pop_front();
            }
            let Some((_, mut listed)) = past.front().cloned() else {
                continue;
            };
            for host in inverted {
                invert(&mut listed, &host);
            }
            self.write(&listed).await;
        }
    }

    fn snapshot(&self) -> (Presences, Duration, Vec<String>) {
        let shared = self.list.lock();
        let lag = if shared.long_lag { LONG_LAG } else { LAG };
        (shared.actual.clone(), lag, shared.inverted.clone())
    }

    /// Writes the entries that differ from the last write; failed ones are retried next time.
    async fn write(&mut self, listed: &Presences) {
        for host in self.hosts.clone() {
            let presence = listed.get(&host.id).copied().unwrap_or(Presence::Gone);
            if self.written.get(&host.id) == Some(&presence) {
                continue;
            }
            match self.write_entry(&host, presence).await {
                Ok(()) => {
                    self.written.insert(host.id.clone(), presence);
                }
                Err(error) => log::debug!("event=list-write-failed host={} {error}", host.id),
            }
        }
    }

    async fn write_entry(&self, host: &Host, presence: Presence) -> Result<()> {
        let version = self.store.get(KIND, &host.id).await?;
        let version = version.map_or(ABSENT, |object| object.version);
        let state = match presence {
            Presence::Live => State::Live,
            Presence::Leaving => State::Leaving,
            Presence::Gone if version == ABSENT => return Ok(()),
            Presence::Gone => return self.store.delete(KIND, &host.id, version).await,
        };
        let entry: Entry = host.entry(state);
        match self.store.put(KIND, &host.id, version, &entry).await? {
            WriteOutcome::Accepted(_) => Ok(()),
            WriteOutcome::Conflict(version) => Err(crate::error::Error::Http {
                step: "put-host",
                peer: host.id.clone(),
                cause: format!("conflict with version {version}"),
            }),
        }
    }
}

/// Lists a live host as gone and any other host as live.
fn invert(listed: &mut Presences, host: &str) {
    let presence = listed.get(host).copied().unwrap_or(Presence::Gone);
    let opposite = match presence {
        Presence::Live => Presence::Gone,
        Presence::Leaving | Presence::Gone => Presence::Live,
    };
    listed.insert(host.to_owned(), opposite);
}
