//! Client for the admin endpoint of the routers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use tarragon_timeline::event::Event;

use crate::http::{Client, Error, percent_encode};

/// Human-readable identifier, parsed from a string or from an object of its parts.
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

/// Response to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the host.
    pub host: String,
    /// Start time of the process in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Whether the process is shutting down.
    #[serde(default)]
    pub draining: bool,
    /// Version of the configuration that the host routes by.
    pub config_version: u64,
    /// Version of the configuration in force for each shard of this host, by shard.
    #[serde(default)]
    pub config_in_force: BTreeMap<String, u64>,
    /// Number of violations of each invariant, by name.
    #[serde(default)]
    pub invariants: BTreeMap<String, u64>,
}

/// Response to `GET /shards`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shards {
    /// Shards of which the host is a replica.
    pub shards: Vec<Shard>,
}

/// Shard as one member of its replica set sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Shard {
    /// Identifier of the shard, as `service.index`.
    pub shard: Label,
    /// Fence, as `epoch.succession`.
    pub fence: Label,
    /// Role of the host in the replica set.
    pub role: Label,
    /// Whether the host is the acting leader of the shard.
    #[serde(default)]
    pub acting: bool,
    /// Backend servers of the shard.
    #[serde(default)]
    pub backends: Vec<Backend>,
}

/// Backend server as the leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the backend server.
    pub id: Label,
    /// State of the backend server.
    pub state: Label,
    /// Number of requests that run on it.
    #[serde(default)]
    pub running: u64,
    /// Number of requests that wait for it.
    #[serde(default)]
    pub queued: u64,
}

/// Response to `GET /explain`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Service that holds the key.
    pub service: Label,
    /// Key as callers write it.
    pub key: String,
    /// Group of the key.
    #[serde(default)]
    pub group: Option<Label>,
    /// Shard of the key; `None` if the host does not know the service.
    #[serde(default)]
    pub shard: Option<Label>,
    /// Leader of the shard.
    #[serde(default)]
    pub leader: Option<Label>,
    /// Owner of the key.
    #[serde(default)]
    pub owner: Option<Label>,
    /// Reasons for the owner, one sentence each.
    #[serde(rename = "why", default)]
    pub reasons: Vec<String>,
}

/// Response to `GET /events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Name of the host.
    pub host: String,
    /// Position from which to read the next events.
    pub next: u64,
    /// Events in the order in which the host recorded them.
    pub events: Vec<Event>,
}

/// Admin endpoint of a router, addressed by its admin address.
pub trait Api: Send + Sync {
    /// Returns the state of the process.
    fn status(&self, host: SocketAddr) -> BoxFuture<'_, Result<Status, Error>>;

    /// Returns the shards of the host.
    fn shards(&self, host: SocketAddr) -> BoxFuture<'_, Result<Shards, Error>>;

    /// Returns the owner of a key and the reasons for it.
    fn explain<'a>(
        &'a self,
        host: SocketAddr,
        service: &'a str,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Explanation, Error>>;

    /// Returns the events after a position; waits up to `wait` if there are none yet.
    fn events(
        &self,
        host: SocketAddr,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, Error>>;
}

impl Api for Client {
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
            let query = format!(
                "service={}&key={}",
                percent_encode(service),
                percent_encode(key)
            );
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
