//! Injects faults into the running processes and lifts them again.

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
use crate::fleet::layout::{End, Host, Link};
use crate::load::caller::Caller;
use crate::platform::list::{List, Presence};
use crate::platform::operator::{self, Operators};
use crate::trace::{Leave, Span};

/// Longest time for a graceful end of a host.
const DRAIN_LIMIT: Duration = Duration::from_mins(1);
/// Time between the platform's notice that a host leaves and its signal.
const NOTICE: Duration = Duration::from_millis(500);

/// What faults are injected with.
#[derive(Clone)]
pub struct Injector {
    /// Deployment that runs.
    pub deployment: Arc<Deployment>,
    /// Processes.
    pub fleet: Arc<Fleet>,
    /// Client for small calls.
    pub client: Client,
    /// Orders to the stand-ins.
    pub control: Control,
    /// Platform's host list.
    pub list: List,
    /// Operators.
    pub operators: Operators,
    /// Caller of poison requests.
    pub caller: Caller,
    /// What was injected.
    pub journal: Journal,
}

impl Injector {
    /// Injects each fault at its time, then waits until all are lifted.
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
            let strike = async move { injector.strike(&fault).await };
            tracker.spawn(stop.clone().run_until_cancelled_owned(strike));
        }
        tracker.close();
        tracker.wait().await;
    }

    /// Injects one fault and lifts it after its time.
    pub async fn strike(&self, fault: &Fault) {
        log::info!("event=fault-begins {fault}");
        let from_us = clock::now_us();
        let open = self.journal.begin(fault.kind, from_us);
        let result = self.apply(fault).await;
        self.journal.end(open, clock::now_us());
        match result {
            Ok(()) => log::info!("event=fault-ends kind={}", fault.kind),
            Err(error) => {
                self.journal.fail();
                log::warn!("event=fault-failed kind={} {error}", fault.kind);
            }
        }
    }

    async fn apply(&self, fault: &Fault) -> Result<()> {
        let length = Duration::from_millis(fault.for_ms);
        let first = fault.target.first().map_or("", String::as_str);
        match fault.kind {
            Kind::HostKill => self.kill_hosts(&[first], length).await,
            Kind::HostFreeze | Kind::BackendFreeze => self.freeze(first, length).await,
            Kind::HostDrain => self.drain_host(first, length).await,
            Kind::RollHosts => self.roll().await,
            Kind::LinkCut => self.cut_pair(fault, Direction::Both, length).await,
            Kind::LinkCutForward => self.cut_pair(fault, Direction::Forward, length).await,
            Kind::LinkCutBack => self.cut_pair(fault, Direction::Back, length).await,
            Kind::Partition | Kind::RegionCut => self.partition(&fault.target, length).await,
            Kind::DomainKill => self.kill_domain(first, length).await,
            Kind::StoreDown => self.store(StoreFault::Down, length).await,
            Kind::StoreSlow => self.store(StoreFault::Slow, length).await,
            Kind::StoreStale => self.store(StoreFault::Stale, length).await,
            Kind::StoreLoseAnswers => self.store(StoreFault::LoseAnswers, length).await,
            Kind::StoreCut => self.cut_store(first, length).await,
            Kind::ListLag => self.lag(length).await,
            Kind::ListWrong => self.lie(first, length).await,
            Kind::OperatorsRace => self.operators.race_preset_changes().await,
            Kind::PresetChange => self.operators.change_preset(operator::preset(first)).await,
            Kind::BackendKill => self.kill_server(first, length).await,
            Kind::BackendDrain => self.drain_server(first, length).await,
            Kind::BackendShed => self.impair(first, BackendFault::Shed, length).await,
            Kind::BackendLie => self.impair(first, BackendFault::Lie, length).await,
            Kind::BackendSlow => self.impair(first, BackendFault::Slow, length).await,
            Kind::BackendCold => self.cool(first, length).await,
            Kind::BackendHalfAnswer => self.impair(first, BackendFault::HalfAnswer, length).await,
            Kind::Poison => poison::send(self, first).await,
        }
    }

    /// Returns the use that callers make of a service.
    #[must_use]
    pub fn workload(&self, service: &str) -> Option<Workload> {
        let mut known = self.deployment.services.iter();
        let found = known.find(|known| known.name == service);
        found.map(|service| service.workload)
    }

    fn process(&self, name: &str) -> Result<&Child> {
        self.fleet.process(name).ok_or_else(|| unknown(name))
    }

    async fn kill_hosts(&self, names: &[&str], length: Duration) -> Result<()> {
        let _guards: Vec<_> = names.iter().map(|name| self.journal.hold(name)).collect();
        for name in names {
            self.process(name)?.kill();
            self.list.set(name, Presence::Gone);
        }
        tokio::time::sleep(length).await;
        for name in names {
            self.process(name)?.start()?;
            self.list.set(name, Presence::Live);
        }
        Ok(())
    }

    async fn kill_domain(&self, domain: &str, length: Duration) -> Result<()> {
        let inside = self
            .fleet
            .layout
            .hosts
            .iter()
            .filter(|host| host.place.name == domain);
        let names: Vec<&str> = inside.map(|host| host.id.as_str()).collect();
        self.kill_hosts(&names, length).await
    }

    async fn freeze(&self, name: &str, length: Duration) -> Result<()> {
        let child = self.process(name)?;
        child.signal(Signal::STOP)?;
        tokio::time::sleep(length).await;
        child.signal(Signal::CONT)
    }

    async fn drain_host(&self, name: &str, length: Duration) -> Result<()> {
        let child = self.process(name)?;
        let _guard = self.journal.hold(name);
        self.list.set(name, Presence::Leaving);
        tokio::time::sleep(NOTICE).await;
        let from_us = clock::now_us();
        child.signal(Signal::TERM)?;
        let ended = child.ended(DRAIN_LIMIT).await;
        let to_us = clock::now_us();
        let leave = Leave {
            name: name.to_owned(),
            from_us,
            to_us,
            alone: false,
        };
        self.journal.drained_host(leave);
        child.kill();
        self.list.set(name, Presence::Gone);
        tokio::time::sleep(length).await;
        child.start()?;
        self.list.set(name, Presence::Live);
        if ended {
            Ok(())
        } else {
            Err(late(name, DRAIN_LIMIT))
        }
    }

    async fn roll(&self) -> Result<()> {
        for host in &self.fleet.layout.hosts {
            self.drain_host(&host.id, Duration::ZERO).await?;
            self.fleet.await_ready(&self.client, host).await?;
        }
        Ok(())
    }

    async fn cut(&self, links: Vec<&Link>, direction: Direction, length: Duration) -> Result<()> {
        self.control.cut(&links, direction, length).await?;
        tokio::time::sleep(length).await;
        Ok(())
    }

    async fn cut_pair(&self, fault: &Fault, direction: Direction, length: Duration) -> Result<()> {
        let (first, second) = (&fault.target[0], &fault.target[1]);
        let links = &self.fleet.layout.links;
        let along = links
            .iter()
            .filter(|link| link.from == *first && link.to == *second);
        let against = links
            .iter()
            .filter(|link| link.from == *second && link.to == *first);
        let (along, against) = (along.collect(), against.collect());
        let (one, other) = tokio::join!(
            self.cut(along, direction, length),
            self.cut(against, direction.reversed(), length),
        );
        one.and(other)
    }

    async fn partition(&self, target: &[String], length: Duration) -> Result<()> {
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
            let to = match link.end {
                End::Peer | End::Forward => names.contains(&link.to.as_str()),
                End::Backend | End::Store if by_name => from,
                End::Backend | End::Store => is_inside(target, "", &link.to_place),
            };
            from != to
        };
        let links = layout.links.iter().filter(crosses).collect();
        self.cut(links, Direction::Both, length).await
    }

    async fn cut_store(&self, host: &str, length: Duration) -> Result<()> {
        let links = self.fleet.layout.links.iter();
        let links = links.filter(|link| link.from == host && link.end == End::Store);
        self.cut(links.collect(), Direction::Both, length).await
    }

    async fn store(&self, fault: StoreFault, length: Duration) -> Result<()> {
        self.control.store(fault, length).await?;
        tokio::time::sleep(length).await;
        Ok(())
    }

    async fn lag(&self, length: Duration) -> Result<()> {
        self.list.set_long_lag(true);
        tokio::time::sleep(length).await;
        self.list.set_long_lag(false);
        Ok(())
    }

    async fn lie(&self, host: &str, length: Duration) -> Result<()> {
        let any = || self.fleet.layout.hosts[0].id.as_str();
        let host = if host.is_empty() { any() } else { host };
        self.list.set_inverted(host, true);
        tokio::time::sleep(length).await;
        self.list.set_inverted(host, false);
        Ok(())
    }

    async fn kill_server(&self, name: &str, length: Duration) -> Result<()> {
        let child = self.process(name)?;
        let _guard = self.journal.hold(name);
        child.kill();
        tokio::time::sleep(length).await;
        child.start()
    }

    async fn drain_server(&self, name: &str, length: Duration) -> Result<()> {
        let (server, child) = self.fleet.server(name).ok_or_else(|| unknown(name))?;
        let from_us = clock::now_us();
        self.control.drain(server).await?;
        tokio::time::sleep(length).await;
        let to_us = clock::now_us();
        let leave = Leave {
            name: name.to_owned(),
            from_us,
            to_us,
            alone: false,
        };
        self.journal.drained_server(leave);
        let _guard = self.journal.hold(name);
        child.kill();
        child.start()
    }

    async fn impair(&self, name: &str, fault: BackendFault, length: Duration) -> Result<()> {
        let (server, _) = self.fleet.server(name).ok_or_else(|| unknown(name))?;
        self.control.backend(server, fault, length).await?;
        tokio::time::sleep(length).await;
        Ok(())
    }

    /// Replaces a backend server at once; it starts cold.
    async fn cool(&self, name: &str, length: Duration) -> Result<()> {
        self.kill_server(name, Duration::ZERO).await?;
        tokio::time::sleep(length).await;
        Ok(())
    }
}

fn is_inside(target: &[String], host: &str, place: &tarragon_model::config::Place) -> bool {
    target
        .iter()
        .any(|name| name == host || *name == place.name || *name == place.region)
}

fn unknown(name: &str) -> Error {
    Error::Usage(format!("there is no process {name}"))
}

fn late(name: &str, limit: Duration) -> Error {
    Error::Timeout {
        step: "drain",
        peer: name.to_owned(),
        after_ms: limit.as_millis(),
    }
}

/// Marks the ends of hosts during which no other fault was active.
pub fn mark_alone(leaves: &mut [Leave], spans: &[Span]) {
    for leave in leaves {
        let during = spans
            .iter()
            .filter(|span| span.from_us <= leave.to_us && leave.from_us <= span.to_us);
        leave.alone = during.filter(|span| span.kind.is_disruptive()).count() <= 1;
    }
}
