//! Declares a host lost, which assures the other hosts that its process will not act again.

use serde_json::json;
use tarragon_model::host;
use tarragon_model::record::Record;
use tarragon_store::api::Api;
use tarragon_store::error::{Error as StoreError, Kind};
use tarragon_store::object::{Key, Object, Version};
use tokio_util::sync::CancellationToken;

use crate::error::Error;
use crate::host::Api as HostApi;
use crate::host_list;

/// Kind of the store objects that declare hosts lost.
pub const KIND: &str = "lost-hosts";
/// Kind of the store objects that hold the records of shards.
const RECORD_KIND: &str = "shards";

/// Declaration that a host is lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// Name of the host.
    pub host: host::Id,
    /// Latest incarnation that is declared lost.
    pub incarnation: u64,
    /// Version of the store object that declares it.
    pub version: Version,
}

/// Declares a host lost, up to the latest incarnation that the records of the shards name.
///
/// # Errors
///
/// Fails when the process still responds, no record names the host, another operator's write came
/// first and does not cover the incarnation, or the store does not respond.
pub async fn declare(
    store: &dyn Api,
    hosts: &dyn HostApi,
    name: &host::Id,
    cancel: &CancellationToken,
) -> Result<Declaration, Error> {
    let incarnation = latest_incarnation(store, name, cancel).await?;
    check_not_running(store, hosts, name, incarnation, cancel).await?;
    let found = find(store, name, cancel).await?;
    if let Some(version) = covering_version(found.as_ref(), incarnation) {
        return Ok(declaration(name, incarnation, version));
    }
    let base = found.map_or(Version::ABSENT, |object| object.version);
    let value = json!({ "host": name, "incarnation": incarnation });
    match store.put(key(name), base, &value, cancel).await {
        Ok(version) => Ok(declaration(name, incarnation, version)),
        Err(error) => resolve(store, name, incarnation, error, cancel).await,
    }
}

/// Looks for a sufficient declaration, by any operator, after a failed write; else returns `error`.
async fn resolve(
    store: &dyn Api,
    name: &host::Id,
    incarnation: u64,
    error: StoreError,
    cancel: &CancellationToken,
) -> Result<Declaration, Error> {
    let found = find(store, name, cancel).await.unwrap_or_default();
    let version = covering_version(found.as_ref(), incarnation).ok_or(error)?;
    Ok(declaration(name, incarnation, version))
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

fn declaration(host: &host::Id, incarnation: u64, version: Version) -> Declaration {
    let host = host.clone();
    Declaration {
        host,
        incarnation,
        version,
    }
}

/// Returns the version of `object` if it declares this incarnation or a later one lost.
fn covering_version(object: Option<&Object>, incarnation: u64) -> Option<Version> {
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
    for object in store.list(RECORD_KIND, cancel).await?.items {
        let replica_set = object.decode::<Record>()?.replica_set;
        let peers = [replica_set.leader, replica_set.first, replica_set.second];
        for peer in peers.into_iter().filter(|peer| peer.host == *name) {
            latest = latest.max(Some(peer.incarnation));
        }
    }
    latest.ok_or_else(|| Error::NotFound {
        what: "shard with a replica on host",
        name: name.to_string(),
        command: "status",
    })
}

async fn check_not_running(
    store: &dyn Api,
    api: &dyn HostApi,
    name: &host::Id,
    incarnation: u64,
    cancel: &CancellationToken,
) -> Result<(), Error> {
    let entries = host_list::read(store, cancel).await?;
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
