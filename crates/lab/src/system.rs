//! The system under test: its processes, the platform and the samplers.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::deployment::{Deployment, Workload};
use crate::error::{Error, Result};
use crate::faults::journal::Journal;
use crate::fleet::layout::Layout;
use crate::fleet::{Fleet, command};
use crate::load::balancer::{Balancer, Target};
use crate::load::caller::Caller;
use crate::observe::Samples;
use crate::observe::record;
use crate::observe::socket::{self, Listener};
use crate::options::Run;
use crate::platform::list::{List, Presence};
use crate::platform::object::Store;
use crate::platform::operator::Operators;
use crate::probe;

/// Time limit for all keys to be served after the start.
const SERVING_LIMIT: Duration = Duration::from_secs(30);
/// Interval between two checks for processes that exited, and between probes of a key that is not
/// served yet.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Delay after which the platform restarts a process that exited on its own.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// System under test of one run.
pub struct System {
    /// Processes of the system.
    pub fleet: Arc<Fleet>,
    /// The platform's host list.
    pub list: List,
    /// Operators that change the configuration.
    pub operators: Operators,
    /// Samples taken while the system runs.
    pub samples: Samples,
    client: Client,
    store: Store,
    balancer: Balancer,
    next_attempt: Arc<AtomicU64>,
    stats: Arc<crate::load::stats::Stats>,
}

impl System {
    /// Plans the system and writes its files.
    ///
    /// # Errors
    ///
    /// Fails when ports run out or a file cannot be written.
    pub fn plan(options: &Run, dir: &Path) -> Result<Self> {
        let layout = Layout::plan(&options.deployment, options.hosts, options.seed, dir)?;
        layout.write(options.seed)?;
        let router = command::Router {
            policy: options.policy.clone(),
            seeded_fault: options.seeded_fault.clone(),
        };
        let targets = layout.hosts.iter().map(|host| {
            Target::new(
                &host.id,
                &host.place.region,
                host.caller_addr,
                host.admin_addr,
            )
        });
        let balancer = Balancer::new(targets.collect());
        let client = Client::new();
        let store = Store::new(client.clone(), layout.store_addr);
        Ok(Self {
            fleet: Arc::new(Fleet::new(layout, &router)),
            list: List::default(),
            operators: Operators::new(store.clone()),
            samples: Samples::default(),
            client,
            store,
            balancer,
            next_attempt: Arc::default(),
            stats: Arc::default(),
        })
    }

    /// Starts all processes and samplers and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or a host is not ready in time.
    pub async fn start(&self, stop: &CancellationToken) -> Result<()> {
        self.fleet.start_platform(&self.client).await?;
        self.operators
            .create_config(&self.fleet.layout.config)
            .await?;
        for host in &self.fleet.layout.hosts {
            self.list.set(&host.id, Presence::Live);
        }
        self.list
            .publish(self.store.clone(), &self.fleet.layout.hosts, stop);
        self.fleet.start_hosts()?;
        self.balancer.watch(&self.client, stop);
        for host in &self.fleet.layout.hosts {
            self.fleet.await_ready(&self.client, host).await?;
            self.samples.watch(&self.client, host.admin_addr, stop);
        }
        let addr = self.fleet.layout.store_addr;
        record::watch(self.client.clone(), addr, self.samples.clone(), stop);
        socket::watch(self.listeners(), self.samples.clone(), stop);
        Ok(())
    }

    /// Waits until each key is served.
    ///
    /// # Errors
    ///
    /// Fails when one of them is not served in time.
    pub async fn await_serving(&self, caller: &Caller, keys: &[probe::Key]) -> Result<()> {
        let start = Instant::now();
        for key in keys {
            while !probe::once(caller, key).await {
                if start.elapsed() > SERVING_LIMIT {
                    return Err(Error::Timeout {
                        step: "serve",
                        peer: format!("{}/{}", key.service, key.text),
                        after_ms: start.elapsed().as_millis(),
                    });
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Creates a caller that sends requests to the hosts.
    #[must_use]
    pub fn caller(&self, deployment: &Deployment) -> Caller {
        Caller {
            client: volo_http::client::Client::default(),
            balancer: self.balancer.clone(),
            stats: Arc::clone(&self.stats),
            next_attempt: Arc::clone(&self.next_attempt),
            one_way_delay: Duration::from_micros(deployment.caller_us / 2),
        }
    }

    /// Returns the keys to probe.
    #[must_use]
    pub fn probe_keys(&self, deployment: &Deployment, count: usize) -> Vec<probe::Key> {
        let config = &self.fleet.layout.config;
        let service = deployment.service(Workload::Read);
        service.map_or_else(Vec::new, |service| {
            probe::keys(deployment, config, service, count)
        })
    }

    /// Returns the host that leads the shard of a key, according to the first host that knows it.
    pub async fn leader(&self, key: &probe::Key) -> Option<String> {
        let leader = self.explain(key, "leader").await?;
        let host = leader
            .split_once('#')
            .map_or(leader.as_str(), |(host, _)| host);
        Some(host.to_owned())
    }

    /// Returns the backend server that owns a key, according to the first host that knows it.
    pub async fn owner(&self, key: &probe::Key) -> Option<String> {
        self.explain(key, "owner").await
    }

    /// Queries `/explain` of the hosts in turn until one knows the field.
    async fn explain(&self, key: &probe::Key, field: &str) -> Option<String> {
        let path = format!("/explain?service={}&key={}", key.service, key.text);
        for host in &self.fleet.layout.hosts {
            let response: Result<serde_json::Value> =
                self.client.json(host.admin_addr, &path).await;
            let Ok(response) = response else { continue };
            let value = &response[field];
            let host = value.get("host").unwrap_or(value);
            if let Some(text) = host.as_str() {
                return Some(text.to_owned());
            }
        }
        None
    }

    /// Restarts processes that exit on their own, until cancelled.
    pub fn supervise(&self, journal: &Journal, stop: &CancellationToken) {
        let (fleet, journal) = (Arc::clone(&self.fleet), journal.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(supervise(
            fleet,
            journal,
            stop.clone(),
        )));
    }

    fn listeners(&self) -> Vec<Listener> {
        let servers = self.fleet.layout.servers.iter();
        let listener = servers.map(|server| Listener {
            port: server.declared.addr.port(),
            service: server.service.clone(),
            backend: server.declared.id.to_string(),
        });
        listener.collect()
    }
}

async fn supervise(fleet: Arc<Fleet>, journal: Journal, stop: CancellationToken) {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for name in fleet.exited() {
            if !journal.is_restart_blocked(&name) && !stop.is_cancelled() {
                restart_after_delay(&fleet, &journal, name);
            }
        }
    }
}

/// Restarts a process after the platform's delay.
fn restart_after_delay(fleet: &Arc<Fleet>, journal: &Journal, name: String) {
    let guard = journal.block_restart(&name);
    if fleet.host(&name).is_some() {
        journal.host_crashed();
        log::error!("event=host-crashed host={name}");
    }
    let fleet = Arc::clone(fleet);
    tokio::spawn(async move {
        tokio::time::sleep(RESTART_DELAY).await;
        if let Some(child) = fleet.process(&name)
            && let Err(error) = child.start()
        {
            log::error!("event=restart-failed {error}");
        }
        drop(guard);
    });
}
