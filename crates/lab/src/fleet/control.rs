//! Orders to the stand-ins: behaviour of the store, of backend servers and of links.

use std::net::SocketAddr;

use serde_json::json;

use super::layout::{Layout, Link, Server};
use crate::client::Client;
use crate::error::Result;

/// Path on which the fault proxy tells that it runs.
pub const LINKS_STATUS: &str = "/_control";
/// Path on which the stand-ins take orders.
const ORDERS: &str = "/_control";

/// Direction in which a link passes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// Both ways.
    Both,
    /// From the host that dials.
    Forward,
    /// Towards the host that dials.
    Back,
}

impl Direction {
    /// Returns the direction as seen from the other end.
    #[must_use]
    pub fn reversed(self) -> Self {
        match self {
            Self::Both => Self::Both,
            Self::Forward => Self::Back,
            Self::Back => Self::Forward,
        }
    }
}

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// As promised.
    Sound,
    /// Refuses all calls.
    Down,
    /// Answers late.
    Slow,
    /// Shows the past to readers and watchers.
    Stale,
    /// Loses answers after writes took effect.
    LoseAnswers,
}

/// Behaviour of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// As promised.
    Sound,
    /// Takes no new work and says so.
    Drain,
    /// Refuses work before running it.
    Shed,
    /// Misleads about its health and load.
    Lie,
    /// Runs work more slowly.
    Slow,
    /// Runs work slowly until it is warm.
    Cold,
    /// Breaks connections within answers.
    HalfAnswer,
}

/// Sends orders to the stand-ins.
#[derive(Clone)]
pub struct Control {
    client: Client,
    store_addr: SocketAddr,
    links_addr: SocketAddr,
}

impl Control {
    /// Creates the sender of orders for a layout.
    #[must_use]
    pub fn new(client: Client, layout: &Layout) -> Self {
        Self {
            client,
            store_addr: layout.store_addr,
            links_addr: layout.links_addr,
        }
    }

    /// Changes the behaviour of the store.
    ///
    /// # Errors
    ///
    /// Fails when the store does not take the order.
    pub async fn store(&self, mode: StoreMode) -> Result<()> {
        let order = match mode {
            StoreMode::Sound => json!({}),
            StoreMode::Down => json!({"down": true}),
            StoreMode::Slow => json!({"delay_ms": 1_500}),
            StoreMode::Stale => json!({"stale_ms": 4_000}),
            StoreMode::LoseAnswers => json!({"lose_answers": true}),
        };
        self.send(self.store_addr, &order).await
    }

    /// Changes the behaviour of a backend server.
    ///
    /// # Errors
    ///
    /// Fails when the backend server does not take the order.
    pub async fn backend(&self, server: &Server, behaviour: Behaviour) -> Result<()> {
        let order = match behaviour {
            Behaviour::Sound => json!({}),
            Behaviour::Drain => json!({"draining": true}),
            Behaviour::Shed => json!({"shed": true}),
            Behaviour::Lie => json!({"lie": true}),
            Behaviour::Slow => json!({"slow": 5}),
            Behaviour::Cold => json!({"cold": true}),
            Behaviour::HalfAnswer => json!({"half_answer": true}),
        };
        self.send(server.declared.addr, &order).await
    }

    /// Stops the passage over links.
    ///
    /// # Errors
    ///
    /// Fails when the fault proxy does not take the order.
    pub async fn cut(&self, links: &[&Link], direction: Direction) -> Result<()> {
        let way = match direction {
            Direction::Both => "both",
            Direction::Forward => "forward",
            Direction::Back => "back",
        };
        self.links(links, way).await
    }

    /// Restores the passage over links.
    ///
    /// # Errors
    ///
    /// Fails when the fault proxy does not take the order.
    pub async fn mend(&self, links: &[&Link]) -> Result<()> {
        self.links(links, "none").await
    }

    async fn links(&self, links: &[&Link], cut: &str) -> Result<()> {
        if links.is_empty() {
            return Ok(());
        }
        let names: Vec<String> = links.iter().map(|link| link.name()).collect();
        let order = json!({"links": names, "cut": cut});
        self.send(self.links_addr, &order).await
    }

    async fn send(&self, addr: SocketAddr, order: &serde_json::Value) -> Result<()> {
        let body = order.to_string().into();
        self.client.post(addr, ORDERS, body).await.map(drop)
    }
}
