//! How calls of the object API are spelled, apart from how they are carried.
//!
//! [`Client`](crate::client::Client) sends what a dialect writes and hands back what it reads, so
//! that a platform with names of its own needs no client of its own.

use bytes::Bytes;
use http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::object::{Changes, Key, List, Object, Version};

/// A call as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Method of the call.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body, empty for reads.
    pub body: Bytes,
}

impl Request {
    /// A call that only reads.
    #[must_use]
    pub fn read(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }
}

/// Part of a list, as one answer carries it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Objects of this part and the revision that it shows.
    pub list: List,
    /// Whether more objects follow the last of this part.
    pub more: bool,
}

/// Spelling of the calls and answers of one platform.
///
/// The readers return why an answer cannot be read.
pub trait Dialect: Send + Sync {
    /// Spells the reading of one object.
    fn get(&self, key: Key<'_>) -> Request;
    /// Spells the reading of a kind, going on behind the object named `after`.
    fn list(&self, kind: &str, after: Option<&str>) -> Request;
    /// Spells a conditional write; [`Version::ABSENT`] creates.
    fn put(&self, key: Key<'_>, expected: Version, value: &Value) -> Request;
    /// Spells a conditional deletion.
    fn delete(&self, key: Key<'_>, expected: Version) -> Request;
    /// Spells the waiting for changes, `wait_ms` milliseconds at most.
    fn watch(&self, kind: &str, after: Version, wait_ms: u128) -> Request;

    /// Reads an answer that carries one object.
    ///
    /// # Errors
    ///
    /// What is wrong with the body.
    fn object(&self, kind: &str, body: &[u8]) -> Result<Object, String>;
    /// Reads an answer that carries part of a list.
    ///
    /// # Errors
    ///
    /// What is wrong with the body.
    fn page(&self, kind: &str, body: &[u8]) -> Result<Page, String>;
    /// Reads an answer that carries changes.
    ///
    /// # Errors
    ///
    /// What is wrong with the body.
    fn changes(&self, kind: &str, body: &[u8]) -> Result<Changes, String>;
    /// Reads the version in the answer to a write, or in the refusal of one.
    ///
    /// # Errors
    ///
    /// What is wrong with the body.
    fn version(&self, body: &[u8]) -> Result<Version, String>;
}

/// Spelling of this project's own interface.
#[derive(Clone, Copy, Debug, Default)]
pub struct Native;

impl Dialect for Native {
    fn get(&self, key: Key<'_>) -> Request {
        Request::read(format!("/v1/objects/{key}"))
    }

    fn list(&self, kind: &str, _after: Option<&str>) -> Request {
        Request::read(format!("/v1/objects/{kind}"))
    }

    fn put(&self, key: Key<'_>, expected: Version, value: &Value) -> Request {
        Request {
            method: Method::PUT,
            path: format!("/v1/objects/{key}?if_version={expected}"),
            body: Bytes::from(value.to_string()),
        }
    }

    fn delete(&self, key: Key<'_>, expected: Version) -> Request {
        Request {
            method: Method::DELETE,
            path: format!("/v1/objects/{key}?if_version={expected}"),
            body: Bytes::new(),
        }
    }

    fn watch(&self, kind: &str, after: Version, wait_ms: u128) -> Request {
        Request::read(format!(
            "/v1/watch/{kind}?after={after}&timeout_ms={wait_ms}"
        ))
    }

    fn object(&self, _kind: &str, body: &[u8]) -> Result<Object, String> {
        decode(body)
    }

    fn page(&self, _kind: &str, body: &[u8]) -> Result<Page, String> {
        decode(body).map(|list| Page { list, more: false })
    }

    fn changes(&self, _kind: &str, body: &[u8]) -> Result<Changes, String> {
        decode(body)
    }

    fn version(&self, body: &[u8]) -> Result<Version, String> {
        decode::<Written>(body).map(|written| written.version)
    }
}

#[derive(Deserialize)]
struct Written {
    version: Version,
}

/// Reads JSON.
///
/// # Errors
///
/// Why the body is not a `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
