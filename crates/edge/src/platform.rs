//! Border to the platform: its names and encodings, and nothing that is decided.

use http::header::HeaderName;
use serde_json::Value;
use tarragon_dispatch::catalog::Catalog;
use tarragon_dispatch::fleet::{Entry, Load};
use tarragon_owner::granter::Command;
use tarragon_store::dialect::{Dialect, Request};
use tarragon_store::object::Key;

/// Names of the headers that carry what routers and backend servers tell one another.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier of the request, chosen by its caller.
    pub request_id: HeaderName,
    /// Time that the sender still waits, in milliseconds.
    pub deadline: HeaderName,
    /// Backend server that alone may run the request.
    pub expected_server: HeaderName,
    /// Present when the backend server did not run the request.
    pub not_run: HeaderName,
    /// Receipt of the backend server that ran the request.
    pub receipt: HeaderName,
    /// Load of the backend server.
    pub load: HeaderName,
    /// Key of the request.
    pub key: HeaderName,
    /// What a former holder hands over to the next.
    pub handover: HeaderName,
}

/// Spells what the product decides, and reads what the platform says.
pub trait Platform {
    /// Returns the names of the headers.
    fn headers(&self) -> &Headers;
    /// Returns the spelling of the store's calls.
    fn dialect(&self) -> Box<dyn Dialect>;
    /// Returns which object holds the catalog.
    fn catalog_key(&self) -> Key<'static>;
    /// Returns the kind of the objects that backend servers say of themselves.
    fn entries_kind(&self) -> &'static str;
    /// Reads the catalog.
    ///
    /// # Errors
    ///
    /// What cannot be read; the last good catalog stays in force.
    fn parse_catalog(&self, value: &Value) -> Result<Catalog, String>;
    /// Reads what a backend server says of itself.
    ///
    /// # Errors
    ///
    /// What cannot be read; the entry names no backend server.
    fn parse_entry(&self, id: &str, value: &Value) -> Result<Entry, String>;
    /// Spells an order to a backend server; `grant_ms` is how long a grant holds.
    fn encode_command(&self, order: &Command, grant_ms: u128) -> Request;
    /// Reads the load that came with an answer.
    fn parse_load(&self, text: &str) -> Option<Load>;
}
