//! The platform's host list, and calls to many hosts at a time.

use futures::future::BoxFuture;
use futures::{StreamExt, stream};
use tarragon_model::host::Entry;
use tarragon_store::api::Api;
use tarragon_store::error::Error;
use tarragon_store::object::Object;
use tokio_util::sync::CancellationToken;

use crate::http;

/// Kind of the store objects that list hosts.
pub const KIND: &str = "hosts";
/// Calls that are open at a time.
const CALLS: usize = 64;

/// Reads the platform's list of hosts, ordered by name.
///
/// # Errors
///
/// Fails when the store does not answer or an entry cannot be read.
pub async fn read(store: &dyn Api, cancel: &CancellationToken) -> Result<Vec<Entry>, Error> {
    let list = store.list(KIND, cancel).await?;
    let entries = list.items.iter().map(Object::decode::<Entry>);
    let mut hosts: Vec<_> = entries.collect::<Result<_, _>>()?;
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(hosts)
}

/// Asks every host the same and returns the answers in the order of the hosts.
pub async fn ask<'a, T: 'a>(
    hosts: &'a [Entry],
    call: impl Fn(&'a Entry) -> BoxFuture<'a, Result<T, http::Error>>,
) -> Vec<(&'a Entry, Result<T, http::Error>)> {
    let calls = hosts.iter().map(|host| {
        let answer = call(host);
        async move { (host, answer.await) }
    });
    stream::iter(calls).buffered(CALLS).collect().await
}
