//! Injects faults into the running system and removes them again.

use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Fault, Kind, journal::Journal, poison};
use crate::client::Client;
use crate::clock;
use crate::deployment::{Deployment, Workload};
use crate::error::{Error, Result};
use crate::fleet::Fleet;
use crate::fleet::child::Child;
use crate::fleet::control::{BackendFault, Control, Direction, StoreFault};
use crate::fleet::layout::{Endpoint, Host, Link};
use crate::load::caller::Caller;
use crate::platform::list::{List, Presence};
use crate::platform::operator::{self, Operators};
use crate::trace::{Drain, Span};

/// Time limit for a graceful shutdown of a host.
const DRAIN_LIMIT: Duration = Duration::from_mins(1);
/// Time from listing a host as leaving to sending its process SIGTERM.
const NOTICE: Duration = Duration::from_millis(500);

/// Injects faults into one system.
#[derive(Clone)]
pub struct Injector {
    /// Deployment of the system.
    pub deployment: Arc<Deployment>,
    /// Processes of the system.
    pub fleet: Arc<Fleet>,
    /// Client for control calls.
    pub client: Client,
    /// Sends fault commands to the stand-ins.
    pub control: Control,
    /// The platform's host list.
    pub list: List,
    /// Operators that change the configuration.
    pub operators: Operators,
    /// Caller that sends poison requests.
    pub caller: Caller,
    /// Journal of the injected faults.
    pub journal: Journal,
}

impl Injector {
    /// Injects each fault at its time and waits until all have ended.
    pub async fn run(self, faults: Vec<Fault>, stop: CancellationToken) {
        let start = Instant::now();
        let tracker = TaskTracker::new();
        for fault in faults {
            let at = start + Duration::from_millis(fault.at_ms);
            let wait = tokio::time::sleep_until(at);
            if stop.run_until_cancelled(wait).await.is_none() {
                break;
            }
            let injector = self.clone();
            let injection = async move { injector.inject(&fault).await };
            tracker.spawn(stop.clone().run_until_cancelled_owned(injection));
        }
        tracker.close();
        tracker.wait().await;
    }

    /// Injects one fault and returns when it has ended.
    pub async fn inject(&self, fault: &Fault) {
        log::info!("event=fault-begins {fault}");
        let from_us = clock::now_us();
        let index = self.journal.begin(fault.kind, from_us);
        let result = self.apply(fault).await;
        self.journal.end(index, clock::now_us());
        match result {
            Ok(()) => log::info!("event=fault-ends kind={}", fault.kind),
            Err(error) => {
                self.journal.fault_failed();
                log::warn!("event=fault-failed kind={} {error}", fault.kind);
            }
        }
    }

    async fn apply(&self, fault: &Fault) -> Result<()> {
        let duration = Duration::from_millis(fault.for_ms);
        let first = fault.target.first().map_or("", String::as_str);
        match fault.kind {
            Kind::HostKill => self.kill_hosts(&[first], duration).await,
            Kind::HostFreeze | Kind::BackendFreeze => self.freeze(first, duration).await,
            Kind::HostDrain => self.drain_host(first, duration).await,
            Kind::RollHosts => self.roll_hosts().await,
            Kind::LinkCut => self.cut_between(fault, Direction::Both, duration).await,
            Kind::LinkCutForward => self.cut_between(fault, Direction::Forward, duration).await,
            Kind::LinkCutBack => self.cut_between(fault, Direction::Back, duration).await,
            Kind::Partition | Kind::RegionCut => self.partition(&fault.target, duration).await,
            Kind::DomainKill => self.kill_domain(first, duration).await,
            Kind::StoreDown => self.store(StoreFault::Down, duration).await,
            Kind::StoreSlow => self.store(StoreFault::Slow, duration).await,
            Kind::StoreStale => self.store(StoreFault::Stale, duration).await,
            Kind::StoreLoseAnswers => self.store(StoreFault::LoseAnswers, duration).await,
            Kind::StoreCut => self.cut_store(first, duration).await,
            Kind::ListLag => self.delay_list(duration).await,
            Kind::ListWrong => self.falsify_list(first, duration).await,
            Kind::OperatorsRace => self.operators.race_preset_changes().await,
            Kind::PresetChange => self.operators.change_preset(operator::preset(first)).await,
            Kind::BackendKill => self.kill_server(first, duration).await,
            Kind::BackendDrain => self.drain_server(first, duration).await,
            Kind::BackendShed => self.impair(first, BackendFault::Shed, duration).await,
            Kind::BackendLie => self.impair(first, BackendFault::Lie, duration).await,
            Kind::BackendSlow => self.impair(first, BackendFault::Slow, duration).await,
            Kind::BackendCold => self.replace_cold(first, duration).await,
            Kind::BackendHalfAnswer => self.impair(first, BackendFault::HalfAnswer, duration).await,
            Kind::Poison => poison::send(self, first).await,
        }
    }

    /// Returns the workload of a service.
    #[must_use]
    pub fn workload(&self, service: &str) -> Option<Workload> {
        let mut known = self.deployment.services.iter();
        let found = known.find(|known| known.name == service);
        found.map(|service| service.workload)
    }

    fn process(&self, name: &str) -> Result<&Child> {
        self.fleet
            .process(name)
            .ok_or_else(|| unknown_process(name))
    }

    async fn kill_hosts(&self, names: &[&str], duration: Duration) -> Result<()> {
        let _guards: Vec<_> = names
            .iter()
            .map(|name| self.journal.block_restart(name))
            .collect();
        for name in names {
            self.process(name)?.kill();
            self.list.set(name, Presence::Gone);
        }
        tokio::time::sleep(duration).await;
        for name in names {
            self.process(name)?.start()?;
            self.list.set(name, Presence::Live);
        }
        Ok(())
    }

    async fn kill_domain(&self, domain: &str, duration: Duration) -> Result<()> {
        let inside = self
            .fleet
            .layout
            .hosts
            .iter()
            .filter(|host| host.place.name == domain);
        let names: Vec<&str> = inside.map(|host| host.id.as_str()).collect();
        self.kill_hosts(&names, duration).await
    }

    async fn freeze(&self, name: &str, duration: Duration) -> Result<()> {
        let child = self.process(name)?;
        child.signal(Signal::STOP)?;
        tokio::time::sleep(duration).await;
        child.signal(Signal::CONT)
    }

    async fn drain_host(&self, name: &str, duration: Duration) -> Result<()> {
        let child = self.process(name)?;
        let _guard = self.journal.block_restart(name);
        self.list.set(name, Presence::Leaving);
        tokio::time::sleep(NOTICE).await;
        let from_us = clock::now_us();
        child.signal(Signal::TERM)?;
        let exited = child.exited(DRAIN_LIMIT).await;
        let to_us = clock::now_us();
        let drain = Drain {
            name: name.to_owned(),
            from_us,
            to_us,
            isolated: false,
        };
        self.journal.host_drained(drain);
        child.kill();
        self.list.set(name, Presence::Gone);
        tokio::time::sleep(duration).await;
        child.start()?;
        self.list.set(name, Presence::Live);
        if exited {
            Ok(())
        } else {
            Err(drain_timeout(name, DRAIN_LIMIT))
        }
    }

    async fn roll_hosts(&self) -> Result<()> {
        for host in &self.fleet.layout.hosts {
            self.drain_host(&host.id, Duration::ZERO).await?;
            self.fleet.await_ready(&self.client, host).await?;
        }
        Ok(())
    }

    async fn cut(&self, links: Vec<&Link>, direction: Direction, duration: Duration) -> Result<()> {
        self.control.cut(&links, direction, duration).await?;
        tokio::time::sleep(duration).await;
        Ok(())
    }

    async fn cut_between(
        &self,
        fault: &Fault,
        direction: Direction,
        duration: Duration,
    ) -> Result<()> {
        let (first, second) = (&fault.target[0], &fault.target[1]);
        let links = &self.fleet.layout.links;
        let forward = links
            .iter()
            .filter(|link| link.from == *first && link.to == *second);
        let backward = links
            .iter()
            .filter(|link| link.from == *second && link.to == *first);
        let (forward, backward) = (forward.collect(), backward.collect());
        let (one, other) = tokio::join!(
            self.cut(forward, direction, duration),
            self.cut(backward, direction.reversed(), duration),
        );
        one.and(other)
    }

    async fn partition(&self, target: &[String], duration: Duration) -> Result<()> {
        let inside_host = |host: &Host| is_inside(target, &host.id, &host.place);
        let layout = &self.fleet.layout;
        let names: Vec<&str> = layout
            .hosts
            .iter()
            .filter(|host| inside_host(host))
            .map(|host| host.id.as_str())
            .collect();
        let by_name = target.iter().all(|name| names.contains(&name.as_str()));
        let crosses = |link: &&Link| {
            let from = names.contains(&link.from.as_str());
            let to = match link.endpoint {
                Endpoint::Peer | Endpoint::Forward => names.contains(&link.to.as_str()),
                Endpoint::Backend | Endpoint::Store if by_name => from,
                Endpoint::Backend | Endpoint::Store => is_inside(target, "", &link.to_place),
            };
            from != to
        };
        let links = layout.links.iter().filter(crosses).collect();
        self.cut(links, Direction::Both, duration).await
    }

    async fn cut_store(&self, host: &str, duration: Duration) -> Result<()> {
        let links = self.fleet.layout.links.iter();
        let links = links.filter(|link| link.from == host && link.endpoint == Endpoint::Store);
        self.cut(links.collect(), Direction::Both, duration).await
    }

    async fn store(&self, fault: StoreFault, duration: Duration) -> Result<()> {
        self.control.store(fault, duration).await?;
        tokio::time::sleep(duration).await;
        Ok(())
    }

    async fn delay_list(&self, duration: Duration) -> Result<()> {
        self.list.set_long_lag(true);
        tokio::time::sleep(duration).await;
        self.list.set_long_lag(false);
        Ok(())
    }

    async fn falsify_list(&self, host: &str, duration: Duration) -> Result<()> {
        let any = || self.fleet.layout.hosts[0].id.as_str();
        let host = if host.is_empty() { any() } else { host };
        self.list.set_inverted(host, true);
        tokio::time::sleep(duration).await;
        self.list.set_inverted(host, false);
        Ok(())
    }

    async fn kill_server(&self, name: &str, duration: Duration) -> Result<()> {
        let child = self.process(name)?;
        let _guard = self.journal.block_restart(name);
        child.kill();
        tokio::time::sleep(duration).await;
        child.start()
    }

    async fn drain_server(&self, name: &str, duration: Duration) -> Result<()> {
        let (server, child) = self
            .fleet
            .server(name)
            .ok_or_else(|| unknown_process(name))?;
        let from_us = clock::now_us();
        self.control.drain(server).await?;
        tokio::time::sleep(duration).await;
        let to_us = clock::now_us();
        let drain = Drain {
            name: name.to_owned(),
            from_us,
            to_us,
            isolated: false,
        };
        self.journal.backend_drained(drain);
        let _guard = self.journal.block_restart(name);
        child.kill();
        child.start()
    }

    async fn impair(&self, name: &str, fault: BackendFault, duration: Duration) -> Result<()> {
        let (server, _) = self
            .fleet
            .server(name)
            .ok_or_else(|| unknown_process(name))?;
        self.control.backend(server, fault, duration).await?;
        tokio::time::sleep(duration).await;
        Ok(())
    }

    /// Kills a backend server and restarts it at once, so that it runs cold.
    async fn replace_cold(&self, name: &str, duration: Duration) -> Result<()> {
        self.kill_server(name, Duration::ZERO).await?;
        tokio::time::sleep(duration).await;
        Ok(())
    }
}

fn is_inside(target: &[String], host: &str, place: &tarragon_model::config::Place) -> bool {
    target
        .iter()
        .any(|name| name == host || *name == place.name || *name == place.region)
}

fn unknown_process(name: &str) -> Error {
    Error::Usage(format!("there is no process {name}"))
}

fn drain_timeout(name: &str, limit: Duration) -> Error {
    Error::Timeout {
        step: "drain",
        peer: name.to_owned(),
        after_ms: limit.as_millis(),
    }
}

/// Marks the drains during which no other disruptive fault was active.
pub fn mark_isolated(drains: &mut [Drain], spans: &[Span]) {
    for drain in drains {
        let during = spans
            .iter()
            .filter(|span| span.from_us <= drain.to_us && drain.from_us <= span.to_us);
        drain.isolated = during.filter(|span| span.kind.is_disruptive()).count() <= 1;
    }
}
