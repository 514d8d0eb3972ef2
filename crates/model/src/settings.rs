//! Settings of one process, read from a JSON file with comments.
//!
//! A mistake in a settings file is the operator's first contact with the program, so every error
//! names the file, the line, the column, what is wrong there and what to do about it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fmt, io};

use serde::{Deserialize, Serialize};

use crate::config::{self, Config};
use crate::document::Document;
use crate::host;
use crate::problem::{Problem, Report};

/// Length of the shortest fleet key that is accepted, in bytes.
pub const MIN_KEY_BYTES: usize = 32;
/// Smallest limit for the header section of a request, in bytes.
pub const MIN_HEADER_BYTES: usize = 1_024;

/// Why a file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{}: cannot read the file: {source}; check its path and permissions", path.display())]
    Read {
        /// File that was to be read.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The fleet key is too short.
    #[error(
        "{}: the fleet key has {bytes} bytes; write at least {MIN_KEY_BYTES} random bytes to the file",
        path.display()
    )]
    ShortKey {
        /// File that holds the key.
        path: PathBuf,
        /// Length of the key, in bytes.
        bytes: usize,
    },
    /// The content of the file is wrong.
    #[error("{}", Lines(.0))]
    Invalid(Vec<Diagnostic>),
}

/// One mistake in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// File that holds the mistake.
    pub path: PathBuf,
    /// Line of the mistake, from one.
    pub line: usize,
    /// Column of the mistake in characters, from one.
    pub column: usize,
    /// What is wrong.
    pub message: String,
    /// What to do.
    pub advice: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        write!(f, "{path}:{}:{}: {}", self.line, self.column, self.message)?;
        write!(f, "; {}", self.advice)
    }
}

/// Writes one fault on each line.
struct Lines<'a>(&'a [Diagnostic]);

impl fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, diagnostic) in self.0.iter().enumerate() {
            if position > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{diagnostic}")?;
        }
        Ok(())
    }
}

/// Settings of the router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Router {
    /// Name of the host.
    pub host: host::Id,
    /// Region in which the host stands.
    pub region: String,
    /// Failure domain in which the host stands.
    pub failure_domain: String,
    /// Address for requests of callers.
    pub caller_addr: SocketAddr,
    /// Address for the control connections of other routers.
    pub peer_addr: SocketAddr,
    /// Address for requests that other routers forward.
    pub forward_addr: SocketAddr,
    /// Address of the operators' port.
    pub admin_addr: SocketAddr,
    /// Address of the platform's object API.
    pub store_addr: SocketAddr,
    /// File that holds the key shared by all hosts; a relative path starts at the settings file.
    pub fleet_key_file: PathBuf,
    /// Addresses to dial in place of others, as a network address translator would.
    #[serde(default)]
    pub dial: BTreeMap<SocketAddr, SocketAddr>,
    /// Limits on resources.
    #[serde(default)]
    pub limits: Limits,
}

impl Router {
    /// Reads the fleet key.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or holds fewer than [`MIN_KEY_BYTES`] bytes.
    pub fn fleet_key(&self) -> Result<Vec<u8>, Error> {
        let path = &self.fleet_key_file;
        let key = std::fs::read(path).map_err(|source| Error::Read {
            path: path.clone(),
            source,
        })?;
        if key.len() < MIN_KEY_BYTES {
            return Err(Error::ShortKey {
                path: path.clone(),
                bytes: key.len(),
            });
        }
        Ok(key)
    }

    /// Returns the address to dial in order to reach `addr`.
    #[must_use]
    pub fn dial_addr(&self, addr: SocketAddr) -> SocketAddr {
        self.dial.get(&addr).copied().unwrap_or(addr)
    }

    fn addresses(&self) -> [(&'static str, SocketAddr); 5] {
        [
            ("caller_addr", self.caller_addr),
            ("peer_addr", self.peer_addr),
            ("forward_addr", self.forward_addr),
            ("admin_addr", self.admin_addr),
            ("store_addr", self.store_addr),
        ]
    }

    fn check(&self) -> Vec<Problem> {
        let mut problems = Vec::new();
        let mut report = Report::new(&mut problems);
        report.field("host").require_name(self.host.as_str());
        report.field("region").require_name(&self.region);
        report
            .field("failure_domain")
            .require_name(&self.failure_domain);
        self.check_addresses(&mut report);
        self.limits.check(&mut report.field("limits"));
        self.check_key(&mut report.field("fleet_key_file"));
        problems
    }

    fn check_addresses(&self, report: &mut Report<'_>) {
        let addresses = self.addresses();
        for (position, (field, addr)) in addresses.iter().enumerate() {
            let earlier = &addresses[..position];
            let Some((other, _)) = earlier.iter().find(|(_, other)| other == addr) else {
                continue;
            };
            let message = format!("{addr} is also the {other}");
            report
                .field(field)
                .require(false, message, "give each address a port of its own");
        }
    }

    fn check_key(&self, report: &mut Report<'_>) {
        if let Err(error) = self.fleet_key() {
            let advice = "name a readable file with the key that all hosts share";
            report.require(false, error.to_string(), advice);
        }
    }
}

/// Limits on the resources that one router uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections of callers that are open at a time.
    pub connections: usize,
    /// Size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Longest pause within a body, in milliseconds.
    pub body_idle_ms: u64,
    /// Longest pause within an answer during a shutdown, in milliseconds.
    pub shutdown_idle_ms: u64,
    /// Events kept in memory.
    pub events: usize,
}

impl Limits {
    /// Returns the longest pause within a body.
    #[must_use]
    pub fn body_idle(&self) -> Duration {
        Duration::from_millis(self.body_idle_ms)
    }

    /// Returns the longest pause within an answer during a shutdown.
    #[must_use]
    pub fn shutdown_idle(&self) -> Duration {
        Duration::from_millis(self.shutdown_idle_ms)
    }

    fn check(&self, report: &mut Report<'_>) {
        let positive = [
            ("connections", self.connections > 0),
            ("body_idle_ms", self.body_idle_ms > 0),
            ("shutdown_idle_ms", self.shutdown_idle_ms > 0),
            ("events", self.events > 0),
        ];
        for (field, holds) in positive {
            report
                .field(field)
                .require(holds, "the limit is zero", "use 1 or more");
        }
        report.field("header_bytes").require(
            self.header_bytes >= MIN_HEADER_BYTES,
            format!("{} bytes hold no usual header", self.header_bytes),
            &format!("use {MIN_HEADER_BYTES} or more"),
        );
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 16_384,
            body_idle_ms: 30_000,
            shutdown_idle_ms: 20_000,
            events: 65_536,
        }
    }
}

/// Reads and checks the settings of a router.
///
/// ```
/// use tarragon_model::settings;
///
/// let error = settings::load("no-such-file.jsonc".as_ref()).unwrap_err();
/// assert!(error.to_string().starts_with("no-such-file.jsonc: cannot read the file"));
/// ```
///
/// # Errors
///
/// Fails when the file cannot be read, is no JSON with comments, or fails a check.
pub fn load(path: &Path) -> Result<Router, Error> {
    let document = Document::read(path)?;
    let mut router: Router = document.parse()?;
    let directory = path.parent().unwrap_or(Path::new(""));
    router.fleet_key_file = directory.join(&router.fleet_key_file);
    let problems = router.check();
    if problems.is_empty() {
        Ok(router)
    } else {
        Err(document.error(&problems))
    }
}

/// Reads and checks a configuration that operators wrote by hand.
///
/// # Errors
///
/// Fails when the file cannot be read, is no JSON with comments, or fails [`config::check`].
pub fn load_config(path: &Path) -> Result<Config, Error> {
    load_checked(path, config::check)
}

/// Reads and checks one service that an operator wrote by hand.
///
/// The places that the service names are checked when the service joins a configuration.
///
/// # Errors
///
/// Fails when the file cannot be read, is no JSON with comments, or the service alone is wrong.
pub fn load_service(path: &Path) -> Result<config::Service, Error> {
    load_checked(path, config::check_service)
}

fn load_checked<T: serde::de::DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&T) -> Result<(), Vec<Problem>>,
) -> Result<T, Error> {
    let document = Document::read(path)?;
    let value = document.parse()?;
    check(&value).map_err(|problems| document.error(&problems))?;
    Ok(value)
}
