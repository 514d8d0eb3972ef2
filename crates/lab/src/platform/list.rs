//! The platform's list of hosts, which lags behind the truth and is wrong at times.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarragon_model::host::{Entry, State};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::object::{ABSENT, Store, Write};
use crate::error::Result;
use crate::fleet::layout::Host;

/// Kind of the list's objects.
const KIND: &str = "hosts";
/// Time between two updates of the list.
const PERIOD: Duration = Duration::from_millis(250);
/// Time by which the list lags as a rule.
const LAG: Duration = Duration::from_secs(2);
/// Time by which the list lags under the fault.
const LONG_LAG: Duration = Duration::from_secs(15);

/// What the platform knows about one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The process runs and is to stay.
    Live,
    /// The process is about to be taken away.
    Leaving,
    /// No process runs.
    Gone,
}

/// State of all hosts by name.
type Sights = BTreeMap<String, Presence>;

#[derive(Debug, Default)]
struct Truth {
    sights: Sights,
    long_lag: bool,
    wrong: Vec<String>,
}

/// Host list that the run feeds with the truth.
#[derive(Clone, Debug, Default)]
pub struct List {
    truth: Arc<Mutex<Truth>>,
}

impl List {
    fn truth(&self) -> MutexGuard<'_, Truth> {
        self.truth.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// States what became of a host.
    pub fn set(&self, host: &str, sight: Presence) {
        self.truth().sights.insert(host.to_owned(), sight);
    }

    /// Makes the list lag for long, or ends that.
    pub fn set_long_lag(&self, long: bool) {
        self.truth().long_lag = long;
    }

    /// Makes the list state the contrary about a host, or ends that.
    pub fn set_inverted(&self, host: &str, wrong: bool) {
        let mut truth = self.truth();
        truth.wrong.retain(|name| name != host);
        if wrong {
            truth.wrong.push(host.to_owned());
        }
    }

    /// Writes the list until cancelled.
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
    written: Sights,
}

impl Publisher {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(PERIOD);
        let mut past: VecDeque<(Instant, Sights)> = VecDeque::new();
        loop {
            let now = ticks.tick().await;
            let (sights, lag, wrong) = self.look();
            past.push_back((now, sights));
            while past.len() > 1 && past[1].0 + lag <= now {
                past.pop_front();
            }
            let Some((_, mut shown)) = past.front().cloned() else {
                continue;
            };
            for host in wrong {
                invert(&mut shown, &host);
            }
            self.write(&shown).await;
        }
    }

    fn look(&self) -> (Sights, Duration, Vec<String>) {
        let truth = self.list.truth();
        let lag = if truth.long_lag { LONG_LAG } else { LAG };
        (truth.sights.clone(), lag, truth.wrong.clone())
    }

    async fn write(&mut self, shown: &Sights) {
        for host in self.hosts.clone() {
            let sight = shown.get(&host.id).copied().unwrap_or(Presence::Gone);
            if self.written.get(&host.id) == Some(&sight) {
                continue;
            }
            match self.write_one(&host, sight).await {
                Ok(()) => {
                    self.written.insert(host.id.clone(), sight);
                }
                Err(error) => log::debug!("event=list-write-failed host={} {error}", host.id),
            }
        }
    }

    async fn write_one(&self, host: &Host, sight: Presence) -> Result<()> {
        let version = self.store.get(KIND, &host.id).await?;
        let version = version.map_or(ABSENT, |object| object.version);
        let state = match sight {
            Presence::Live => State::Live,
            Presence::Leaving => State::Leaving,
            Presence::Gone if version == ABSENT => return Ok(()),
            Presence::Gone => return self.store.delete(KIND, &host.id, version).await,
        };
        let entry: Entry = host.entry(state);
        match self.store.put(KIND, &host.id, version, &entry).await? {
            Write::Accepted(_) => Ok(()),
            Write::Conflict(version) => Err(crate::error::Error::Http {
                step: "put-host",
                peer: host.id.clone(),
                cause: format!("conflict with version {version}"),
            }),
        }
    }
}

/// Shows a live host as gone, and any other as live.
fn invert(shown: &mut Sights, host: &str) {
    let sight = shown.get(host).copied().unwrap_or(Presence::Gone);
    let contrary = match sight {
        Presence::Live => Presence::Gone,
        Presence::Leaving | Presence::Gone => Presence::Live,
    };
    shown.insert(host.to_owned(), contrary);
}
