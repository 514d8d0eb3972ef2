//! Encoding of object API calls as HTTP requests, separate from their transport.
//!
//! [`Client`](crate::client::Client) sends the requests that a dialect encodes and passes it the
//! responses to decode, so that a platform with other paths and field names needs no other client.

use bytes::Bytes;
use http::{HeaderMap, Method};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::object::{Changes, Era, Key, List, Object, Version};

/// HTTP request of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// HTTP method.
    pub method: Method,
    /// Path and query string.
    pub path: String,
    /// Body, empty for reads.
    pub body: Bytes,
}

impl Request {
    /// Creates a `GET` request.
    #[must_use]
    pub fn read(path: String) -> Self {
        Self {
            method: Method::GET,
            path,
            body: Bytes::new(),
        }
    }
}

/// Part of a list, as carried by one response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Objects of this page and the revision that they were read at.
    pub list: List,
    /// Name after which the next page begins, if more objects follow.
    pub next: Option<String>,
}

/// Encoding of the requests and responses of one platform.
///
/// The decoding functions fail with a description of what is wrong with the body. Versions that a
/// dialect encodes and decodes are revisions as the store counts them; the client adds the era.
pub trait Dialect: Send + Sync {
    /// Encodes the read of one object.
    fn get(&self, key: Key<'_>) -> Request;
    /// Encodes the read of all objects of a kind, continuing after the object named `after`.
    fn list(&self, kind: &str, after: Option<&str>) -> Request;
    /// Encodes a conditional write; [`Version::ABSENT`] creates the object.
    fn put(&self, key: Key<'_>, expected: Version, value: &Value) -> Request;
    /// Encodes a conditional deletion.
    fn delete(&self, key: Key<'_>, expected: Version) -> Request;
    /// Encodes a watch that waits up to `wait_ms` milliseconds.
    fn watch(&self, kind: &str, after: Version, wait_ms: u128) -> Request;

    /// Decodes a response with one object.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the body.
    fn object(&self, kind: &str, body: &[u8]) -> Result<Object, String>;
    /// Decodes a response with one page of a list.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the body.
    fn page(&self, kind: &str, body: &[u8]) -> Result<Page, String>;
    /// Decodes a response with changes.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the body.
    fn changes(&self, kind: &str, body: &[u8]) -> Result<Changes, String>;
    /// Decodes the version in the response to a write, or in its rejection with a conflict.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the body.
    fn version(&self, body: &[u8]) -> Result<Version, String>;
    /// Decodes the era in the headers of a response; `None` if the store does not tell it.
    ///
    /// # Errors
    ///
    /// A description of what is wrong with the header.
    fn era(&self, _headers: &HeaderMap) -> Result<Option<Era>, String> {
        Ok(None)
    }
}

/// Encoding of this project's own object API.
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
        decode(body).map(|list| Page { list, next: None })
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

/// Decodes a JSON body.
///
/// # Errors
///
/// A description of why the body is not a `T`.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}
