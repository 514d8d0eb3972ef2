//! Follows the shards' records in the store, change by change.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use tarragon_model::record::Record;
use tokio_util::sync::CancellationToken;

use super::Samples;
use crate::client::Client;
use crate::clock;
use crate::error::Result;
use crate::trace::Change;

/// Time for which one watch waits, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Pause after a watch that failed.
const PAUSE: Duration = Duration::from_millis(100);

#[derive(Deserialize)]
struct Page {
    revision: u64,
    changes: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    deleted: bool,
    object: Object,
}

#[derive(Deserialize)]
struct Object {
    name: String,
    version: u64,
    value: Option<Record>,
}

/// Collects each change until cancelled.
pub fn watch(client: Client, addr: SocketAddr, samples: Samples, stop: &CancellationToken) {
    let work = async move {
        let mut after = 0;
        loop {
            match page(&client, addr, after).await {
                Ok(page) => {
                    after = page.revision;
                    samples.lists().changes.extend(changes(page.changes));
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            }
        }
    };
    tokio::spawn(stop.clone().run_until_cancelled_owned(work));
}

async fn page(client: &Client, addr: SocketAddr, after: u64) -> Result<Page> {
    let path = format!("/v1/watch/shards?after={after}&timeout_ms={WAIT_MS}");
    client.json(addr, &path).await
}

fn changes(entries: Vec<Entry>) -> impl Iterator<Item = Change> {
    let at_us = clock::now_us();
    let kept = entries.into_iter().filter(|entry| !entry.deleted);
    kept.filter_map(move |entry| {
        Some(Change {
            at_us,
            shard: entry.object.name,
            version: entry.object.version,
            record: entry.object.value?,
        })
    })
}
