//! Fault commands to the stand-ins for the store, the backend servers and the links.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, TryStreamExt};
use serde_json::{Value, json};

use super::layout::{Layout, Link, Server};
use crate::client::Client;
use crate::error::Result;

/// Path on which the fault proxy responds once it runs.
pub const LINKS_STATUS_PATH: &str = "/_stats";
/// Path on which the stand-ins accept fault commands.
const FAULT_PATH: &str = "/_fault";
/// Path on which a backend server accepts the command to drain.
const DRAIN_PATH: &str = "/_drain";
/// Commands that are sent concurrently.
const MAX_CONCURRENT_COMMANDS: usize = 32;

/// Direction in which a link is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both directions.
    Both,
    /// From the host that dials to the target.
    Forward,
    /// From the target to the host that dials.
    Back,
}

impl Direction {
    fn kind(self) -> &'static str {
        match self {
            Self::Both => "cut",
            Self::Forward => "cut-forward",
            Self::Back => "cut-back",
        }
    }

    /// Returns the same direction as seen from the other end of the link.
    #[must_use]
    pub fn reversed(self) -> Self {
        match self {
            Self::Both => Self::Both,
            Self::Forward => Self::Back,
            Self::Back => Self::Forward,
        }
    }
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreFault {
    /// Refuses all calls.
    Down,
    /// Responds late.
    Slow,
    /// Returns outdated values to reads and watches.
    Stale,
    /// Loses responses after writes have taken effect.
    LoseAnswers,
}

impl StoreFault {
    fn command(self) -> Value {
        match self {
            Self::Down => json!({"kind": "down"}),
            Self::Slow => json!({"kind": "slow", "delay_ms": SLOW_MS}),
            Self::Stale => json!({"kind": "stale-reads", "lag_ms": STALE_MS}),
            Self::LoseAnswers => json!({"kind": "lose-answers", "share": 100}),
        }
    }
}

/// Response delay of a slow store, in milliseconds.
const SLOW_MS: u64 = 1_500;
/// Age of the values that a stale store returns, in milliseconds.
const STALE_MS: u64 = 4_000;
/// Factor by which requests take longer on a slow backend server.
const SLOW_FACTOR: u32 = 8;

/// Fault of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendFault {
    /// Refuses requests before running them.
    Shed,
    /// Reports a false load and health.
    Lie,
    /// Runs requests more slowly.
    Slow,
    /// Breaks connections in the middle of responses.
    HalfAnswer,
}

impl BackendFault {
    fn command(self) -> Value {
        match self {
            Self::Shed => json!({"kind": "shed"}),
            Self::Lie => json!({"kind": "lie"}),
            Self::Slow => json!({"kind": "slow", "factor": SLOW_FACTOR}),
            Self::HalfAnswer => json!({"kind": "half-answer"}),
        }
    }
}

/// Sends fault commands to the stand-ins; each fault ends by itself after its duration.
#[derive(Clone)]
pub struct Control {
    client: Client,
    store_addr: SocketAddr,
    links_addr: SocketAddr,
}

impl Control {
    /// Creates a sender for the stand-ins of a layout.
    #[must_use]
    pub fn new(client: Client, layout: &Layout) -> Self {
        Self {
            client,
            store_addr: layout.store_addr,
            links_addr: layout.links_addr,
        }
    }

    /// Starts a fault of the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not accept the command.
    pub async fn store(&self, fault: StoreFault, duration: Duration) -> Result<()> {
        self.send(self.store_addr, fault.command(), duration).await
    }

    /// Starts a fault of a backend server.
    ///
    /// # Errors
    ///
    /// Fails when the backend server does not accept the command.
    pub async fn backend(
        &self,
        server: &Server,
        fault: BackendFault,
        duration: Duration,
    ) -> Result<()> {
        self.send(server.declared.addr, fault.command(), duration)
            .await
    }

    /// Tells a backend server to drain.
    ///
    /// # Errors
    ///
    /// Fails when the backend server does not accept the command.
    pub async fn drain(&self, server: &Server) -> Result<()> {
        let post = self
            .client
            .post(server.declared.addr, DRAIN_PATH, Bytes::new());
        post.await.map(drop)
    }

    /// Cuts links in the given direction.
    ///
    /// # Errors
    ///
    /// Fails when the fault proxy does not accept a command.
    pub async fn cut(
        &self,
        links: &[&Link],
        direction: Direction,
        duration: Duration,
    ) -> Result<()> {
        let commands = links.iter().map(|link| {
            let command = json!({"link": link.name(), "kind": direction.kind()});
            Ok(self.send(self.links_addr, command, duration))
        });
        let commands: Vec<_> = commands.collect();
        stream::iter(commands)
            .try_for_each_concurrent(MAX_CONCURRENT_COMMANDS, |command| command)
            .await
    }

    async fn send(&self, addr: SocketAddr, mut command: Value, duration: Duration) -> Result<()> {
        command["for_ms"] = json!(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX));
        self.client
            .post(addr, FAULT_PATH, command.to_string().into())
            .await
            .map(drop)
    }
}
