//! Conditional updates of objects in the store.

use std::net::SocketAddr;

use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::client::{CALL_LIMIT, Client};
use crate::error::{Error, Result};

/// Version that a conditional update expects of an object that does not exist.
pub const ABSENT: u64 = 0;

/// Store client that connects directly to the store, so that link faults do not affect it.
#[derive(Clone)]
pub struct Store {
    client: Client,
    addr: SocketAddr,
}

/// Stored object with its version.
#[derive(Clone, Debug, Deserialize)]
pub struct Object {
    /// Version, which each update increases.
    pub version: u64,
    /// JSON value.
    pub value: Value,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

/// Outcome of a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Written as this version.
    Accepted(u64),
    /// Rejected because the object has this version.
    Conflict(u64),
}

impl Store {
    /// Creates a client of the store at the address.
    #[must_use]
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Reads an object; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the request fails or the status is unexpected.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = format!("/v1/objects/{kind}/{name}");
        let call = self
            .client
            .call(Method::GET, self.addr, &path, Vec::new().into(), CALL_LIMIT);
        let response = call.await?;
        match response.status {
            200 => Ok(Some(self.parse(&response.body)?)),
            404 => Ok(None),
            status => Err(self.status_error("get", status)),
        }
    }

    /// Writes an object if its current version is `if_version`.
    ///
    /// # Errors
    ///
    /// Fails when the request fails or the status is unexpected; the outcome of the write is then
    /// unknown.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        if_version: u64,
        value: &T,
    ) -> Result<WriteOutcome> {
        let path = format!("/v1/objects/{kind}/{name}?if_version={if_version}");
        let body = serde_json::to_vec(value).unwrap_or_default();
        let call = self
            .client
            .call(Method::PUT, self.addr, &path, body.into(), CALL_LIMIT);
        let response = call.await?;
        match response.status {
            200 => Ok(WriteOutcome::Accepted(
                self.parse::<Version>(&response.body)?.version,
            )),
            409 => Ok(WriteOutcome::Conflict(
                self.parse::<Version>(&response.body)?.version,
            )),
            status => Err(self.status_error("put", status)),
        }
    }

    /// Deletes an object if its current version is `if_version`; a missing object or another
    /// version is no error.
    ///
    /// # Errors
    ///
    /// Fails when the request fails or the status is unexpected.
    pub async fn delete(&self, kind: &str, name: &str, if_version: u64) -> Result<()> {
        let path = format!("/v1/objects/{kind}/{name}?if_version={if_version}");
        let call = self.client.call(
            Method::DELETE,
            self.addr,
            &path,
            Vec::new().into(),
            CALL_LIMIT,
        );
        let response = call.await?;
        match response.status {
            200 | 404 | 409 => Ok(()),
            status => Err(self.status_error("delete", status)),
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| Error::Http {
            step: "parse-object",
            peer: self.addr.to_string(),
            cause: error.to_string(),
        })
    }

    fn status_error(&self, step: &'static str, status: u16) -> Error {
        Error::Http {
            step,
            peer: self.addr.to_string(),
            cause: format!("status {status}"),
        }
    }
}
