//! Reads `GET /status` and `GET /shards` of a host.

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
struct StatusAnswer {
    host: String,
    incarnation: u64,
    config_version: u64,
    #[serde(default)]
    config_in_force: BTreeMap<String, u64>,
    #[serde(default)]
    invariants: BTreeMap<String, u64>,
}

#[derive(Deserialize)]
struct ShardsAnswer {
    host: String,
    shards: Vec<ShardAnswer>,
}

#[derive(Deserialize)]
struct ShardAnswer {
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
/// Fails when the host does not answer with a status.
pub async fn status(client: &Client, addr: SocketAddr) -> Result<Status> {
    let sent_us = clock::now_us();
    let answer: StatusAnswer = client.json(addr, "/status").await?;
    Ok(Status {
        sent_us,
        read_us: clock::now_us(),
        host: answer.host,
        incarnation: answer.incarnation,
        config_version: answer.config_version,
        in_force: answer.config_in_force,
        invariants: answer.invariants,
    })
}

/// Reads the owners of the shards that a host acts for.
///
/// # Errors
///
/// Fails when the host does not answer with its shards.
pub async fn assignments(client: &Client, addr: SocketAddr) -> Result<Vec<Assignment>> {
    let sent_us = clock::now_us();
    let answer: ShardsAnswer = client.json(addr, "/shards").await?;
    let read_us = clock::now_us();
    let acting = answer.shards.into_iter().filter(|shard| shard.acting);
    let assignments = acting.filter_map(|shard| {
        Some(Assignment {
            sent_us,
            read_us,
            host: answer.host.clone(),
            shard: name(&shard.shard)?,
            fence: fence(&shard.fence)?,
            owners: spread(&shard.owners),
        })
    });
    Ok(assignments.collect())
}

/// Appends an assignment unless it repeats the shard's latest one.
pub fn push(assignments: &mut Vec<Assignment>, new: Assignment) {
    let last = assignments.iter().rev().find(|old| old.shard == new.shard);
    let repeated = last.is_some_and(|old| {
        old.host == new.host && old.fence == new.fence && old.owners == new.owners
    });
    if !repeated {
        assignments.push(new);
    }
}

/// Reads the name of a shard, a text or an object.
fn name(value: &Value) -> Option<String> {
    let parts = || {
        Some((
            value.get("service")?.as_str()?,
            value.get("index")?.as_u64()?,
        ))
    };
    let text = value.as_str().map(str::to_owned);
    text.or_else(|| parts().map(|(service, index)| format!("{service}.{index}")))
}

/// Reads a fence, a text or an object.
fn fence(value: &Value) -> Option<Fence> {
    match value.as_str() {
        Some(text) => Fence::parse(text),
        None => serde_json::from_value(value.clone()).ok(),
    }
}

fn spread(owners: &[Owner]) -> BTreeMap<u32, String> {
    let groups = |owner: &Owner| owner.from.0..=owner.to.0;
    owners
        .iter()
        .flat_map(|owner| groups(owner).map(|group| (group, owner.backend.to_string())))
        .collect()
}
