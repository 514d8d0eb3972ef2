//! Summary of the fleet.

use std::collections::BTreeMap;

use serde::Serialize;
use tarragon_model::config::{Config, Service};
use tarragon_model::host::{Entry, State};

use crate::change::Current;
use crate::host::{Api, Shard, Status};
use crate::host_list;
use crate::rollout::{self, Progress};

/// Status of one host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// State of the host in the platform's host list.
    pub listed: State,
    /// Status that the host reports; `None` if it does not respond.
    pub status: Option<Status>,
    /// Shards of which it is the acting leader.
    #[serde(rename = "acting")]
    pub led_shards: Vec<Shard>,
}

/// Status of the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fleet {
    /// Version of the configuration.
    pub version: u64,
    /// Name of the preset in force.
    pub preset: String,
    /// Hosts, ordered by name.
    pub hosts: Vec<Host>,
    /// Shards without an acting leader.
    #[serde(rename = "idle_shards")]
    pub leaderless_shards: Vec<String>,
    /// Where the configuration is not in force yet.
    #[serde(rename = "reach")]
    pub rollout: Progress,
    /// Number of violations of each invariant over all hosts, by name.
    pub invariants: BTreeMap<String, u64>,
}

/// Queries every host and summarizes the responses.
pub async fn query_fleet(api: &dyn Api, entries: &[Entry], current: &Current) -> Fleet {
    let statuses = host_list::call_all(entries, |host| api.status(host.admin_addr)).await;
    let shards = host_list::call_all(entries, |host| api.shards(host.admin_addr)).await;
    let hosts: Vec<_> = statuses
        .into_iter()
        .zip(shards)
        .map(|((entry, status), (_, shards))| Host {
            host: entry.id.to_string(),
            failure_domain: entry.failure_domain.clone(),
            listed: entry.state,
            status: status.ok(),
            led_shards: acting(shards.unwrap_or_default().shards),
        })
        .collect();
    summarize(current, hosts)
}

fn acting(mut shards: Vec<Shard>) -> Vec<Shard> {
    shards.retain(|shard| shard.acting);
    shards
}

fn summarize(current: &Current, hosts: Vec<Host>) -> Fleet {
    let statuses: Vec<_> = hosts
        .iter()
        .map(|host| (host.host.clone(), host.status.clone()))
        .collect();
    let mut invariants = BTreeMap::new();
    for status in statuses.iter().filter_map(|(_, status)| status.as_ref()) {
        for (name, count) in &status.invariants {
            *invariants.entry(name.clone()).or_default() += count;
        }
    }
    Fleet {
        version: current.version.0,
        preset: crate::output::preset_text(current.config.preset).to_owned(),
        leaderless_shards: leaderless_shards(&current.config, &hosts),
        rollout: rollout::evaluate(&current.config, current.version, &statuses),
        hosts,
        invariants,
    }
}

fn leaderless_shards(config: &Config, hosts: &[Host]) -> Vec<String> {
    let led = |name: &str| {
        let mut shards = hosts.iter().flat_map(|host| &host.led_shards);
        shards.any(|shard| shard.shard.0 == name)
    };
    let shards = config.services.iter().flat_map(Service::shard_ids);
    shards
        .map(|shard| shard.to_string())
        .filter(|shard| !led(shard))
        .collect()
}
