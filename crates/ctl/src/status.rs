//! The fleet at a glance.

use std::collections::BTreeMap;

use serde::Serialize;
use tarragon_model::config::{Config, Service};
use tarragon_model::host::{Entry, State};

use crate::change::Current;
use crate::force::{self, Reach};
use crate::host::{Api, Shard, Status};
use crate::list;

/// One host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Host {
    /// Name of the host.
    pub host: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// What the platform says about it.
    pub listed: State,
    /// What it says about itself; absent when it does not answer.
    pub status: Option<Status>,
    /// Shards that it acts for.
    pub acting: Vec<Shard>,
}

/// The whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fleet {
    /// Version of the configuration.
    pub version: u64,
    /// Preset in force.
    pub preset: String,
    /// Hosts by name.
    pub hosts: Vec<Host>,
    /// Shards that no host acts for.
    pub idle_shards: Vec<String>,
    /// How far the configuration has got.
    pub reach: Reach,
    /// Violations of each invariant over all hosts.
    pub invariants: BTreeMap<String, u64>,
}

/// Asks every host and sums the answers up.
pub async fn gather(api: &dyn Api, entries: &[Entry], current: &Current) -> Fleet {
    let statuses = list::ask(entries, |host| api.status(host.admin_addr)).await;
    let shards = list::ask(entries, |host| api.shards(host.admin_addr)).await;
    let hosts: Vec<_> = statuses
        .into_iter()
        .zip(shards)
        .map(|((entry, status), (_, shards))| Host {
            host: entry.id.to_string(),
            failure_domain: entry.failure_domain.clone(),
            listed: entry.state,
            status: status.ok(),
            acting: acting(shards.unwrap_or_default().shards),
        })
        .collect();
    sum_up(current, hosts)
}

fn acting(mut shards: Vec<Shard>) -> Vec<Shard> {
    shards.retain(|shard| shard.acting);
    shards
}

fn sum_up(current: &Current, hosts: Vec<Host>) -> Fleet {
    let answers: Vec<_> = hosts
        .iter()
        .map(|host| (host.host.clone(), host.status.clone()))
        .collect();
    let mut invariants = BTreeMap::new();
    for status in answers.iter().filter_map(|(_, status)| status.as_ref()) {
        for (name, count) in &status.invariants {
            *invariants.entry(name.clone()).or_default() += count;
        }
    }
    Fleet {
        version: current.version.0,
        preset: crate::output::preset_text(current.config.preset).to_owned(),
        idle_shards: idle_shards(&current.config, &hosts),
        reach: force::judge(&current.config, current.version, &answers),
        hosts,
        invariants,
    }
}

fn idle_shards(config: &Config, hosts: &[Host]) -> Vec<String> {
    let led = |name: &str| {
        let mut shards = hosts.iter().flat_map(|host| &host.acting);
        shards.any(|shard| shard.shard.0 == name)
    };
    let shards = config.services.iter().flat_map(Service::shard_ids);
    shards
        .map(|shard| shard.to_string())
        .filter(|shard| !led(shard))
        .collect()
}
