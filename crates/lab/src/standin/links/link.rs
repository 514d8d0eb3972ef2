//! Links and the groups that they share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

use super::config::{self, Config};
use super::connection;
use super::fault::{Direction, Fault, Faults, Order, matches};
use super::rate::Way;
use crate::standin::error::Error;

/// Both directions of the links that share a rate.
#[derive(Debug, Default)]
pub struct Lines {
    forward: Way,
    back: Way,
}

impl Lines {
    fn new(mbit_per_s: Option<f64>) -> Self {
        Self {
            forward: Way::new(mbit_per_s),
            back: Way::new(mbit_per_s),
        }
    }

    /// Returns one direction.
    pub fn way(&self, direction: Direction) -> &Way {
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
    /// Address to which connections go on.
    pub target: SocketAddr,
    /// Bytes of this link.
    pub own: Lines,
    /// Rate and bytes of the link's group.
    pub shared: Arc<Lines>,
    delay: Duration,
    faults: Mutex<Faults>,
    changed: watch::Sender<()>,
    resets: watch::Sender<()>,
}

impl Link {
    fn new(link: &config::Link, listen: SocketAddr, shared: Arc<Lines>) -> Self {
        Self {
            name: link.name.clone(),
            listen,
            target: link.target,
            own: Lines::default(),
            shared,
            delay: Duration::from_micros(link.delay_us),
            faults: Mutex::default(),
            changed: watch::Sender::new(()),
            resets: watch::Sender::new(()),
        }
    }

    /// Puts a fault into force.
    pub fn apply(&self, fault: Fault, span: Option<Duration>) {
        self.faults().apply(fault, span);
        self.changed.send_replace(());
        if fault == Fault::Reset {
            self.resets.send_replace(());
        }
    }

    /// Tells whether new connections are reset.
    pub fn resets_new(&self) -> bool {
        self.faults().resets()
    }

    /// Returns what is told of each order to reset open connections.
    pub fn resets(&self) -> watch::Receiver<()> {
        self.resets.subscribe()
    }

    /// Tells whether a new connection cannot be set up, which takes both directions.
    pub fn is_cut(&self) -> bool {
        let faults = self.faults();
        faults.is_cut(Direction::Forward) || faults.is_cut(Direction::Back)
    }

    /// Returns when a part that arrives now comes out.
    pub fn exit_time(&self) -> Instant {
        let faults = self.faults();
        Instant::now() + faults.delay().unwrap_or(self.delay) + faults.stall()
    }

    /// Waits until bytes pass in a direction.
    pub async fn open(&self, direction: Direction) {
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

    /// Waits until bytes pass in both directions.
    pub async fn open_both(&self) {
        while self.is_cut() {
            self.open(Direction::Forward).await;
            self.open(Direction::Back).await;
        }
    }

    /// Counts bytes that have passed.
    pub fn count(&self, direction: Direction, bytes: usize) {
        self.own.way(direction).count(bytes);
        self.shared.way(direction).count(bytes);
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

/// All links of an experiment.
pub struct Network {
    /// The links, in the order of the configuration.
    pub links: Vec<Arc<Link>>,
    /// The named groups.
    pub groups: HashMap<String, Arc<Lines>>,
}

impl Network {
    /// Binds all links and starts to carry bytes.
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
            let shared = network.lines(link);
            let (listener, listen) = bind(link).await?;
            let link = Arc::new(Link::new(link, listen, shared));
            tokio::spawn(connection::accept(Arc::clone(&link), listener));
            network.links.push(link);
        }
        Ok(network)
    }

    /// Follows an order, and returns how many links it hit.
    pub fn apply(&self, order: &Order) -> usize {
        let span = order.for_ms.map(Duration::from_millis);
        let hit = self
            .links
            .iter()
            .filter(|link| matches(&order.link, &link.name));
        hit.inspect(|link| link.apply(order.fault, span)).count()
    }

    fn lines(&mut self, link: &config::Link) -> Arc<Lines> {
        let new = || Arc::new(Lines::new(link.mbit_per_s));
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
