//! Reads the responses of a host to `GET /status` and `GET /shards`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use tarragon_model::fence::Fence;
use tarragon_model::record::Owner;

use crate::client::Client;
use crate::clock;
use crate::error::Result;
use crate::trace::{Assignment, Status};

#[derive(Deserialize)]
struct StatusResponse {
    host: String,
    incarnation: u64,
    config_version: u64,
    #[serde(default)]
    config_in_force: BTreeMap<String, u64>,
    #[serde(default)]
    invariants: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct ShardsResponse {
    host: String,
    shards: Vec<ShardStatus>,
}

#[derive(Deserialize)]
struct ShardStatus {
    shard: Value,
    fence: Value,
    acting: bool,
    #[serde(default)]
    owners: Vec<Owner>,
}

/// Reads the status of a host.
///
/// # Errors
///
/// Fails when the request fails or the response cannot be parsed.
pub async fn status(client: &Client, addr: SocketAddr) -> Result<Status> {
    let sent_us = clock::now_us();
    let response: StatusResponse = client.json(addr, "/status").await?;
    Ok(Status {
        sent_us,
        read_us: clock::now_us(),
        host: response.host,
        incarnation: response.incarnation,
        config_version: response.config_version,
        in_force: response.config_in_force,
        invariants: response.invariants,
    })
}

/// Reads the owners of the shards for which a host is the acting leader.
///
/// # Errors
///
/// Fails when the request fails or the response cannot be parsed.
pub async fn assignments(client: &Client, addr: SocketAddr) -> Result<Vec<Assignment>> {
    let sent_us = clock::now_us();
    let response: ShardsResponse = client.json(addr, "/shards").await?;
    let read_us = clock::now_us();
    let acting = response.shards.into_iter().filter(|shard| shard.acting);
    let assignments = acting.filter_map(|shard| {
        Some(Assignment {
            sent_us,
            read_us,
            host: response.host.clone(),
            shard: parse_shard_name(&shard.shard)?,
            fence: parse_fence(&shard.fence)?,
            owners: owners_by_group(&shard.owners),
        })
    });
    Ok(assignments.collect())
}

/// Appends an assignment unless it equals the latest one of its shard in host, fence and owners.
pub fn push_if_changed(assignments: &mut Vec<Assignment>, new: Assignment) {
    let last = assignments.iter().rev().find(|old| old.shard == new.shard);
    let repeated = last.is_some_and(|old| {
        old.host == new.host && old.fence == new.fence && old.owners == new.owners
    });
    if !repeated {
        assignments.push(new);
    }
}

/// Parses the name of a shard from a string or an object.
fn parse_shard_name(value: &Value) -> Option<String> {
    let parts = || {
        Some((
            value.get("service")?.as_str()?,
            value.get("index")?.as_u64()?,
        ))
    };
    let text = value.as_str().map(str::to_owned);
    text.or_else(|| parts().map(|(service, index)| format!("{service}.{index}")))
}

/// Parses a fence from a string or an object.
fn parse_fence(value: &Value) -> Option<Fence> {
    match value.as_str() {
        Some(text) => Fence::parse(text),
        None => serde_json::from_value(value.clone()).ok(),
    }
}

/// Maps each key group to its owner.
fn owners_by_group(owners: &[Owner]) -> BTreeMap<u32, String> {
    let groups = |owner: &Owner| owner.from.0..=owner.to.0;
    owners
        .iter()
        .flat_map(|owner| groups(owner).map(|group| (group, owner.backend.to_string())))
        .collect()
}
