//! Interface to the platform: its header names and encodings. It holds no routing decisions.

use http::header::HeaderName;
use serde_json::Value;
use tarragon_dispatch::catalog::Catalog;
use tarragon_dispatch::fleet::{Entry, Load};
use tarragon_owner::granter::Command;
use tarragon_store::dialect::{Dialect, Request};
use tarragon_store::object::Key;

/// Names of the HTTP headers exchanged between callers, routers and backend servers.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of the request, set by its caller.
    pub request_id: HeaderName,
    /// Time for which the sender still waits, in milliseconds.
    pub deadline: HeaderName,
    /// Identifier of the only backend server that may run the request.
    pub expected_server: HeaderName,
    /// Identifier of the backend server that responds, in a response that denies being another one.
    pub server: HeaderName,
    /// Present when the backend server states that it did not run the request.
    pub not_run: HeaderName,
    /// Present when the backend server confirms that it ran the request.
    pub receipt: HeaderName,
    /// Current load of the backend server.
    pub load: HeaderName,
    /// Key of the request, a 16-bit number.
    pub key: HeaderName,
    /// State that the former holder of a key passes on to the next one.
    pub handover: HeaderName,
}

/// Encodes the router's commands for the platform, and parses the platform's objects.
pub trait Platform {
    /// Returns the platform's header names.
    fn headers(&self) -> &Headers;
    /// Returns the encoding of calls to the store.
    fn dialect(&self) -> Box<dyn Dialect>;
    /// Returns the store key of the catalog object.
    fn catalog_key(&self) -> Key<'static>;
    /// Returns the store kind of the entries in which backend servers describe themselves.
    fn entries_kind(&self) -> &'static str;
    /// Returns the store kind of the objects that are named after the zones to be evacuated.
    fn evacuations_kind(&self) -> &'static str;
    /// Parses the catalog.
    ///
    /// # Errors
    ///
    /// Describes what is invalid. The caller keeps the last valid catalog in force.
    fn parse_catalog(&self, value: &Value) -> Result<Catalog, String>;
    /// Parses the entry that the backend server `id` writes about itself.
    ///
    /// # Errors
    ///
    /// Describes what is invalid. Such an entry adds no backend server.
    fn parse_entry(&self, id: &str, value: &Value) -> Result<Entry, String>;
    /// Encodes a command to a backend server; `grant_ms` is the grant duration in milliseconds.
    fn encode_command(&self, command: &Command, grant_ms: u128) -> Request;
    /// Parses the load header of a response; `None` if it is invalid.
    fn parse_load(&self, text: &str) -> Option<Load>;
}
