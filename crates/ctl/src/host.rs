//! The operators' port of the routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use tarragon_timeline::event::Event;

use crate::http::{Caller, Error, escape};

/// Identifier for people, whether it came as text or as an object of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Label(pub String);

impl<'de> Deserialize<'de> for Label {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Value::deserialize(deserializer).map(|value| Self(label(&value)))
    }
}

fn label(value: &Value) -> String {
    let part = |name: &str| value.get(name).map(label);
    let pairs = [
        ("service", ".", "index"),
        ("epoch", ".", "succession"),
        ("host", "#", "incarnation"),
    ];
    for (first, separator, second) in pairs {
        if let (Some(first), Some(second)) = (part(first), part(second)) {
            return format!("{first}{separator}{second}");
        }
    }
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the process shuts down.
    #[serde(default)]
    pub draining: bool,
    /// Version of the configuration that the host routes by.
    pub config_version: u64,
    /// Version of the configuration that each shard of this host follows.
    #[serde(default)]
    pub config_in_force: BTreeMap<String, u64>,
    /// Violations of each invariant.
    #[serde(default)]
    pub invariants: BTreeMap<String, u64>,
}

/// Answer to `GET /shards`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// Shards that the host takes part in.
    pub shards: Vec<Shard>,
}

/// One shard as a member of its trio sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Shard, as `service.index`.
    pub shard: Label,
    /// Fence, as `epoch.succession`.
    pub fence: Label,
    /// Role of the host.
    pub role: Label,
    /// Whether the host acts for the shard.
    #[serde(default)]
    pub acting: bool,
    /// Backend servers of the shard.
    #[serde(default)]
    pub backends: Vec<Backend>,
}

/// One backend server as the leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the backend server.
    pub id: Label,
    /// State of the backend server.
    pub state: Label,
    /// Requests that run there.
    #[serde(default)]
    pub running: u64,
    /// Requests that wait for it.
    #[serde(default)]
    pub queued: u64,
}

/// Answer to `GET /explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Service that holds the key.
    pub service: Label,
    /// Key as callers write it.
    pub key: String,
    /// Group of the key.
    #[serde(default)]
    pub group: Option<Label>,
    /// Shard of the key; absent when the host knows no such service.
    #[serde(default)]
    pub shard: Option<Label>,
    /// Leader of the shard.
    #[serde(default)]
    pub leader: Option<Label>,
    /// Owner of the key.
    #[serde(default)]
    pub owner: Option<Label>,
    /// Reasons, one text each.
    #[serde(default)]
    pub why: Vec<String>,
}

/// Answer to `GET /events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Name of the host.
    pub host: String,
    /// Position to ask for next.
    pub next: u64,
    /// Events in the order of the host.
    pub events: Vec<Event>,
}

/// Calls of the operators' port.
pub trait Api: Send + Sync {
    /// Asks for the state of the process.
    fn status(&self, host: SocketAddr) -> BoxFuture<'_, Result<Status, Error>>;

    /// Asks for the shards of the host.
    fn shards(&self, host: SocketAddr) -> BoxFuture<'_, Result<Shards, Error>>;

    /// Asks who owns a key.
    fn explain<'a>(
        &'a self,
        host: SocketAddr,
        service: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Explanation, Error>>;

    /// Asks for events after a position, waiting up to `wait` for the first.
    fn events(
        &self,
        host: SocketAddr,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, Error>>;
}

impl Api for Caller {
    fn status(&self, host: SocketAddr) -> BoxFuture<'_, Result<Status, Error>> {
        Box::pin(self.get(host, "/status"))
    }

    fn shards(&self, host: SocketAddr) -> BoxFuture<'_, Result<Shards, Error>> {
        Box::pin(self.get(host, "/shards"))
    }

    fn explain<'a>(
        &'a self,
        host: SocketAddr,
        service: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Explanation, Error>> {
        Box::pin(async move {
            let query = format!("service={}&key={}", escape(service), escape(key));
            self.get(host, &format!("/explain?{query}")).await
        })
    }

    fn events(
        &self,
        host: SocketAddr,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, Error>> {
        Box::pin(async move {
            let target = format!("/events?after={after}&wait_ms={}", wait.as_millis());
            self.get(host, &target).await
        })
    }
}
