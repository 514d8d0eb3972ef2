//! Links and the groups in which they share a rate limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::config::{self, Config};
use super::connection;
use super::fault::{Direction, Fault, Faults, Request, matches};
use super::rate::Limiter;
use crate::standin::error::Error;

/// Rate limits and byte counts of both directions.
#[derive(Debug, Default)]
pub struct Limiters {
    forward: Limiter,
    back: Limiter,
}

impl Limiters {
    fn new(mbit_per_s: Option<f64>) -> Self {
        Self {
            forward: Limiter::new(mbit_per_s),
            back: Limiter::new(mbit_per_s),
        }
    }

    /// Returns the limiter of one direction.
    pub fn limiter(&self, direction: Direction) -> &Limiter {
        match direction {
            Direction::Forward => &self.forward,
            Direction::Back => &self.back,
        }
    }
}

/// One link with its faults.
pub struct Link {
    /// Name of the link.
    pub name: String,
    /// Address on which connections are accepted.
    pub listen: SocketAddr,
    /// Address to which connections are forwarded.
    pub target: SocketAddr,
    /// Byte counts of this link.
    pub own: Limiters,
    /// Rate limit and byte counts of the link's group.
    pub shared: Arc<Limiters>,
    delay: Duration,
    faults: Mutex<Faults>,
    changed: watch::Sender<()>,
    resets: watch::Sender<()>,
}

impl Link {
    fn new(link: &config::Link, listen: SocketAddr, shared: Arc<Limiters>) -> Self {
        Self {
            name: link.name.clone(),
            listen,
            target: link.target,
            own: Limiters::default(),
            shared,
            delay: Duration::from_micros(link.delay_us),
            faults: Mutex::default(),
            changed: watch::Sender::new(()),
            resets: watch::Sender::new(()),
        }
    }

    /// Injects a fault, or removes all faults.
    pub fn apply(&self, fault: Fault, duration: Option<Duration>) {
        self.faults().apply(fault, duration);
        self.changed.send_replace(());
        if fault == Fault::Reset {
            self.resets.send_replace(());
        }
    }

    /// Returns whether new connections are reset.
    pub fn resets_connections(&self) -> bool {
        self.faults().resets()
    }

    /// Returns a receiver that is notified when open connections are to be reset.
    pub fn resets(&self) -> watch::Receiver<()> {
        self.resets.subscribe()
    }

    /// Returns whether a new connection cannot be established, which needs both directions.
    pub fn is_cut(&self) -> bool {
        let faults = self.faults();
        faults.is_cut(Direction::Forward) || faults.is_cut(Direction::Back)
    }

    /// Returns when a chunk that arrives now is to be delivered.
    pub fn delivery_time(&self) -> Instant {
        let faults = self.faults();
        Instant::now() + faults.delay().unwrap_or(self.delay) + faults.stall()
    }

    /// Waits until a direction is not cut.
    pub async fn wait_open(&self, direction: Direction) {
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let end = {
                let faults = self.faults();
                if !faults.is_cut(direction) {
                    return;
                }
                faults.next_end()
            };
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(end) => {}
            }
        }
    }

    /// Waits until neither direction is cut.
    pub async fn wait_both_open(&self) {
        while self.is_cut() {
            self.wait_open(Direction::Forward).await;
            self.wait_open(Direction::Back).await;
        }
    }

    /// Counts delivered bytes.
    pub fn count(&self, direction: Direction, bytes: usize) {
        self.own.limiter(direction).count(bytes);
        self.shared.limiter(direction).count(bytes);
    }

    fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn sleep_until(end: Option<std::time::Instant>) {
    match end {
        Some(end) => tokio::time::sleep_until(end.into()).await,
        None => std::future::pending().await,
    }
}

/// Running links of an experiment.
pub struct Network {
    /// The links in the order of the configuration.
    pub links: Vec<Arc<Link>>,
    /// Rate limits and byte counts of the groups, by name.
    pub groups: HashMap<String, Arc<Limiters>>,
}

impl Network {
    /// Binds all links and starts to relay connections.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when an address cannot be bound.
    pub async fn start(config: &Config) -> Result<Self, Error> {
        let mut network = Self {
            links: Vec::with_capacity(config.links.len()),
            groups: HashMap::new(),
        };
        for link in &config.links {
            let shared = network.limiters(link);
            let (listener, listen) = bind(link).await?;
            let link = Arc::new(Link::new(link, listen, shared));
            tokio::spawn(connection::accept(Arc::clone(&link), listener));
            network.links.push(link);
        }
        Ok(network)
    }

    /// Injects a fault into the matching links, and returns their number.
    pub fn apply(&self, request: &Request) -> usize {
        let duration = request.for_ms.map(Duration::from_millis);
        let matched = self
            .links
            .iter()
            .filter(|link| matches(&request.link, &link.name));
        matched
            .inspect(|link| link.apply(request.fault, duration))
            .count()
    }

    fn limiters(&mut self, link: &config::Link) -> Arc<Limiters> {
        let new = || Arc::new(Limiters::new(link.mbit_per_s));
        match &link.group {
            Some(group) => Arc::clone(self.groups.entry(group.clone()).or_insert_with(new)),
            None => new(),
        }
    }
}

async fn bind(link: &config::Link) -> Result<(TcpListener, SocketAddr), Error> {
    let object = format!("{} {}", link.name, link.listen);
    let listener = TcpListener::bind(link.listen)
        .await
        .map_err(Error::io("bind", &object))?;
    let listen = listener
        .local_addr()
        .map_err(Error::io("read address of", &object))?;
    Ok((listener, listen))
}
