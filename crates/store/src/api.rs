//! Interface between the users of the store and its implementations.

use std::time::Duration;

use futures::future::BoxFuture;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

use crate::error::Error;
use crate::object::{Changes, Era, Key, List, Object, Version};

/// Future of a store response, which borrows the call's arguments.
pub type ResponseFuture<'a, T> = BoxFuture<'a, Result<T, Error>>;

/// Calls of the platform's object API.
///
/// Each call returns soon after `stop` is cancelled. A write that is cancelled after it was sent
/// fails with [`Kind::Uncertain`](crate::error::Kind::Uncertain).
pub trait Api: Send + Sync {
    /// Reads one object; the result may be stale.
    fn get<'a>(&'a self, key: Key<'a>, stop: &'a CancellationToken) -> ResponseFuture<'a, Object>;

    /// Reads all objects of a kind; the result may be stale.
    fn list<'a>(&'a self, kind: &'a str, stop: &'a CancellationToken) -> ResponseFuture<'a, List>;

    /// Writes an object if it has the version `expected`, and returns its new version.
    ///
    /// [`Version::ABSENT`] requires that the object does not exist.
    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version>;

    /// Deletes an object if it has the version `expected`.
    fn delete<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, ()>;

    /// Waits up to `wait` for changes of a kind after the revision `after`.
    ///
    /// Returns an empty set of changes if none occur in that time.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes>;

    /// Returns the latest era that the store has told; see [`Version`].
    fn era(&self) -> Era {
        Era::UNKNOWN
    }
}
