//! Declares a host lost, which proves to the others that its process will not act again.

use serde_json::json;
use tarragon_model::host;
use tarragon_model::record::Record;
use tarragon_store::api::Api;
use tarragon_store::error::{Error as StoreError, Kind};
use tarragon_store::object::{Key, Object, Version};
use tokio_util::sync::CancellationToken;

use crate::error::Error;
use crate::host::Api as HostApi;
use crate::list;

/// Kind of the store objects that name lost hosts.
pub const KIND: &str = "lost-hosts";
/// Kind of the store objects that hold the shards' records.
const SHARDS: &str = "shards";

/// Host that is declared lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lost {
    /// Name of the host.
    pub host: host::Id,
    /// Latest incarnation that is gone.
    pub incarnation: u64,
    /// Version of the declaration.
    pub version: Version,
}

/// Declares the latest incarnation of a host that the shards' records name.
///
/// # Errors
///
/// Fails when the process still answers, when no record names the host, when another operator's
/// write came first, or when the store does not answer.
pub async fn declare(
    store: &dyn Api,
    hosts: &dyn HostApi,
    name: &host::Id,
    cancel: &CancellationToken,
) -> Result<Lost, Error> {
    let incarnation = latest_incarnation(store, name, cancel).await?;
    refuse_living(store, hosts, name, incarnation, cancel).await?;
    let found = find(store, name, cancel).await?;
    if let Some(version) = declared(found.as_ref(), incarnation) {
        return Ok(lost(name, incarnation, version));
    }
    let base = found.map_or(Version::ABSENT, |object| object.version);
    let value = json!({ "host": name, "incarnation": incarnation });
    match store.put(key(name), base, &value, cancel).await {
        Ok(version) => Ok(lost(name, incarnation, version)),
        Err(error) => settle(store, name, incarnation, error, cancel).await,
    }
}

/// Looks for an equal declaration after a failed write; any operator's will do.
async fn settle(
    store: &dyn Api,
    name: &host::Id,
    incarnation: u64,
    error: StoreError,
    cancel: &CancellationToken,
) -> Result<Lost, Error> {
    let found = find(store, name, cancel).await.unwrap_or_default();
    let version = declared(found.as_ref(), incarnation).ok_or(error)?;
    Ok(lost(name, incarnation, version))
}

async fn find(
    store: &dyn Api,
    name: &host::Id,
    cancel: &CancellationToken,
) -> Result<Option<Object>, StoreError> {
    match store.get(key(name), cancel).await {
        Ok(object) => Ok(Some(object)),
        Err(error) if error.kind == Kind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}

fn key(name: &host::Id) -> Key<'_> {
    Key::new(KIND, name.as_str())
}

fn lost(host: &host::Id, incarnation: u64, version: Version) -> Lost {
    let host = host.clone();
    Lost {
        host,
        incarnation,
        version,
    }
}

/// Returns the version of an object that declares this incarnation or a later one lost.
fn declared(object: Option<&Object>, incarnation: u64) -> Option<Version> {
    let object = object?;
    let found = object.value.get("incarnation")?.as_u64()?;
    (found >= incarnation).then_some(object.version)
}

async fn latest_incarnation(
    store: &dyn Api,
    name: &host::Id,
    cancel: &CancellationToken,
) -> Result<u64, Error> {
    let mut latest = None;
    for object in store.list(SHARDS, cancel).await?.items {
        let trio = object.decode::<Record>()?.replica_set;
        let peers = [trio.leader, trio.first, trio.second];
        for peer in peers.into_iter().filter(|peer| peer.host == *name) {
            latest = latest.max(Some(peer.incarnation));
        }
    }
    latest.ok_or_else(|| Error::Absent {
        what: "shard that counts on host",
        name: name.to_string(),
        command: "status",
    })
}

async fn refuse_living(
    store: &dyn Api,
    api: &dyn HostApi,
    name: &host::Id,
    incarnation: u64,
    cancel: &CancellationToken,
) -> Result<(), Error> {
    let entries = list::read(store, cancel).await?;
    let Some(entry) = entries.iter().find(|entry| entry.id == *name) else {
        return Ok(());
    };
    match api.status(entry.admin_addr).await {
        Ok(status) if status.host == name.as_str() && status.incarnation <= incarnation => {
            Err(Error::NotLost {
                host: status.host,
                incarnation: status.incarnation,
            })
        }
        _ => Ok(()),
    }
}
