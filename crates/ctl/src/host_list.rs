//! The platform's host list, and concurrent calls to its hosts.

use futures::future::BoxFuture;
use futures::{StreamExt, stream};
use tarragon_model::host::Entry;
use tarragon_store::api::Api;
use tarragon_store::error::Error;
use tarragon_store::object::Object;
use tokio_util::sync::CancellationToken;

use crate::http;

/// Kind of the store objects that describe hosts.
pub const KIND: &str = "hosts";
/// Maximum number of calls in progress at a time.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Reads the platform's list of hosts, ordered by name.
///
/// # Errors
///
/// Fails when the store does not respond or an entry cannot be decoded.
pub async fn read(store: &dyn Api, cancel: &CancellationToken) -> Result<Vec<Entry>, Error> {
    let list = store.list(KIND, cancel).await?;
    let entries = list.items.iter().map(Object::decode::<Entry>);
    let mut hosts: Vec<_> = entries.collect::<Result<_, _>>()?;
    hosts.sort_by(|a, b| a.id.cmp(&b.id));
    Ok(hosts)
}

/// Makes the same call to every host and returns the responses in the order of `hosts`.
pub async fn call_all<'a, T: 'a>(
    hosts: &'a [Entry],
    call: impl Fn(&'a Entry) -> BoxFuture<'a, Result<T, http::Error>>,
) -> Vec<(&'a Entry, Result<T, http::Error>)> {
    let calls = hosts.iter().map(|host| {
        let response = call(host);
        async move { (host, response.await) }
    });
    stream::iter(calls)
        .buffered(MAX_CONCURRENT_CALLS)
        .collect()
        .await
}
