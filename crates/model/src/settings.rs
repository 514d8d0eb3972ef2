//! Settings of one process, read from a JSON file with comments.
//!
//! Mistakes in a settings file are often the first errors that an operator meets, so every error
//! gives the file, the line, the column, the problem and how to fix it.

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

/// Minimum length of the fleet key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;
/// Minimum of [`Limits::header_bytes`], in bytes.
pub const MIN_HEADER_BYTES: usize = 1_024;

/// Why a file could not be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file could not be read.
    #[error("{}: cannot read the file: {source}; check its path and permissions", path.display())]
    Read {
        /// File that could not be read.
        path: PathBuf,
        /// Error reported by the operating system.
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
    /// The content of the file is invalid.
    #[error("{}", Lines(.0))]
    Invalid(Vec<Diagnostic>),
}

/// One mistake in a file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// File that contains the mistake.
    pub path: PathBuf,
    /// Line of the mistake, from one.
    pub line: usize,
    /// Column of the mistake in characters, from one.
    pub column: usize,
    /// Description of the mistake.
    pub message: String,
    /// Advice on how to fix it.
    pub advice: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        write!(f, "{path}:{}:{}: {}", self.line, self.column, self.message)?;
        write!(f, "; {}", self.advice)
    }
}

/// Formats one diagnostic per line.
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
    /// Region of the host.
    pub region: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address that accepts requests of callers.
    pub caller_addr: SocketAddr,
    /// Address that accepts control connections of other routers.
    pub peer_addr: SocketAddr,
    /// Address that accepts requests forwarded by other routers.
    pub forward_addr: SocketAddr,
    /// Address of the admin endpoint for operators.
    pub admin_addr: SocketAddr,
    /// Address of the platform's object API.
    pub store_addr: SocketAddr,
    /// File that contains the key shared by all hosts; a relative path is resolved against the
    /// directory of the settings file.
    pub fleet_key_file: PathBuf,
    /// Maps addresses to the addresses to dial instead, like network address translation.
    #[serde(default)]
    pub dial: BTreeMap<SocketAddr, SocketAddr>,
    /// Resource limits.
    #[serde(default)]
    pub limits: Limits,
}

impl Router {
    /// Reads the fleet key.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or has fewer than [`MIN_KEY_BYTES`] bytes.
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

    /// Returns the address to dial to reach `addr`, as mapped by [`Router::dial`].
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

/// Resource limits of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Longest pause while a body is transferred, in milliseconds.
    pub body_idle_ms: u64,
    /// Longest pause while a response is transferred during a shutdown, in milliseconds.
    pub shutdown_idle_ms: u64,
    /// Maximum number of events kept in memory.
    pub events: usize,
}

impl Limits {
    /// Returns [`Limits::body_idle_ms`] as a duration.
    #[must_use]
    pub fn body_idle(&self) -> Duration {
        Duration::from_millis(self.body_idle_ms)
    }

    /// Returns [`Limits::shutdown_idle_ms`] as a duration.
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
            format!(
                "{} bytes are too few for the header section",
                self.header_bytes
            ),
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

/// Reads and validates the settings of a router.
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
/// Fails when the file cannot be read, is not JSON with comments, or fails validation.
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

/// Reads and validates a configuration file written by operators.
///
/// # Errors
///
/// Fails when the file cannot be read, is not JSON with comments, or fails [`config::check`].
pub fn load_config(path: &Path) -> Result<Config, Error> {
    load_checked(path, config::check)
}

/// Reads and validates a file with one service, written by operators.
///
/// The failure domains that the service refers to are checked when it is added to a configuration.
///
/// # Errors
///
/// Fails when the file cannot be read, is not JSON with comments, or fails
/// [`config::check_service`].
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
