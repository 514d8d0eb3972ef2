//! Conditional updates of objects in the store.

use std::net::SocketAddr;

use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::client::{CALL_LIMIT, Client};
use crate::error::{Error, Result};

/// Version of an object that must not exist.
pub const ABSENT: u64 = 0;

/// Client of the store that stands next to it, so that no link fault strikes it.
#[derive(Clone)]
pub struct Store {
    client: Client,
    addr: SocketAddr,
}

/// Object and its version.
#[derive(Clone, Debug, Deserialize)]
pub struct Object {
    /// Version.
    pub version: u64,
    /// Value.
    pub value: Value,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

/// What became of a conditional update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// Written as this version.
    Accepted(u64),
    /// Refused, since the object has this version.
    Conflict(u64),
}

impl Store {
    /// Creates a client of the store at an address.
    #[must_use]
    pub fn new(client: Client, addr: SocketAddr) -> Self {
        Self { client, addr }
    }

    /// Reads an object; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let path = format!("/v1/objects/{kind}/{name}");
        let call = self
            .client
            .call(Method::GET, self.addr, &path, Vec::new().into(), CALL_LIMIT);
        let answer = call.await?;
        match answer.status {
            200 => Ok(Some(self.parse(&answer.body)?)),
            404 => Ok(None),
            status => Err(self.failure("get", status)),
        }
    }

    /// Writes an object if it has the version.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; the fate of the write is then unknown.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        if_version: u64,
        value: &T,
    ) -> Result<Write> {
        let path = format!("/v1/objects/{kind}/{name}?if_version={if_version}");
        let body = serde_json::to_vec(value).unwrap_or_default();
        let call = self
            .client
            .call(Method::PUT, self.addr, &path, body.into(), CALL_LIMIT);
        let answer = call.await?;
        match answer.status {
            200 => Ok(Write::Accepted(
                self.parse::<Version>(&answer.body)?.version,
            )),
            409 => Ok(Write::Conflict(
                self.parse::<Version>(&answer.body)?.version,
            )),
            status => Err(self.failure("put", status)),
        }
    }

    /// Deletes an object if it has the version.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn delete(&self, kind: &str, name: &str, if_version: u64) -> Result<()> {
        let path = format!("/v1/objects/{kind}/{name}?if_version={if_version}");
        let call = self.client.call(
            Method::DELETE,
            self.addr,
            &path,
            Vec::new().into(),
            CALL_LIMIT,
        );
        let answer = call.await?;
        match answer.status {
            200 | 404 | 409 => Ok(()),
            status => Err(self.failure("delete", status)),
        }
    }

    fn parse<T: serde::de::DeserializeOwned>(&self, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| Error::Http {
            step: "parse-object",
            peer: self.addr.to_string(),
            cause: error.to_string(),
        })
    }

    fn failure(&self, step: &'static str, status: u16) -> Error {
        Error::Http {
            step,
            peer: self.addr.to_string(),
            cause: format!("status {status}"),
        }
    }
}
