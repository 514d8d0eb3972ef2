//! Watches the shard records in the store and collects each change.

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

/// Time that one watch request waits for changes, in milliseconds.
const WAIT_MS: u64 = 1_000;
/// Delay before the retry of a failed watch request.
const RETRY_DELAY: Duration = Duration::from_millis(100);

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

/// Collects the changes of the shard records until cancelled; deletions are left out.
pub fn watch(client: Client, addr: SocketAddr, samples: Samples, stop: &CancellationToken) {
    let work = async move {
        let mut after = 0;
        loop {
            match fetch_page(&client, addr, after).await {
                Ok(page) => {
                    after = page.revision;
                    samples.lists().changes.extend(changes(page.changes));
                }
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    };
    tokio::spawn(stop.clone().run_until_cancelled_owned(work));
}

async fn fetch_page(client: &Client, addr: SocketAddr, after: u64) -> Result<Page> {
    let path = format!("/v1/watch/shards?after={after}&timeout_ms={WAIT_MS}");
    client.json(addr, &path).await
}

fn changes(entries: Vec<Entry>) -> impl Iterator<Item = Change> {
    let at_us = clock::now_us();
    let written = entries.into_iter().filter(|entry| !entry.deleted);
    written.filter_map(move |entry| {
        Some(Change {
            at_us,
            shard: entry.object.name,
            version: entry.object.version,
            record: entry.object.value?,
        })
    })
}
