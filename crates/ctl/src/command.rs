//! Parsed commands, validated as far as the arguments alone allow.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use tarragon_model::config::{Backend, Place, PresetName};
use tarragon_model::{backend, host, service};
use tarragon_timeline::merge::Filter;

/// Result of parsing the command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Invocation {
    /// Print the usage.
    Help,
    /// Print the version.
    Version,
    /// Check a configuration file, which needs no store.
    CheckConfig(PathBuf),
    /// Run a command.
    Run(Command, Options),
}

/// Options that every command takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Address of the platform's object API.
    pub store: SocketAddr,
    /// Print JSON.
    pub json: bool,
    /// Maximum time to wait for a change to take effect.
    pub timeout: Duration,
    /// Retry a change after a conflict if it still applies.
    pub retry: bool,
}

/// One command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Read from the configuration.
    Show(Show),
    /// Change the configuration.
    Change(Change),
    /// List the hosts.
    ListHosts,
    /// Declare a host lost.
    DeclareHostLost(host::Id),
    /// Show a summary of the fleet.
    Status,
    /// Show the owner of a key.
    Owner(KeyQuery),
    /// Show the owner of a key and the reasons for it.
    Explain(KeyQuery),
    /// Show the events of all hosts.
    Timeline {
        /// Selects events.
        filter: Filter,
        /// Wait for more events.
        follow: bool,
    },
}

/// Part of the configuration to show.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Show {
    /// The whole configuration.
    Config,
    /// The names of the services.
    Services,
    /// One service.
    Service(service::Id),
    /// The places.
    Places,
    /// The backend servers of one service or of all.
    Backends(Option<service::Id>),
    /// The presets.
    Presets,
}

/// Change of the configuration; its files are read only when the command runs.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Create the service in a file.
    CreateService(PathBuf),
    /// Replace the service of that name by the one in a file.
    ChangeService(PathBuf),
    /// Remove a service.
    RemoveService(service::Id),
    /// Add a place.
    AddPlace(Place),
    /// Remove a place.
    RemovePlace(String),
    /// Add a backend server.
    AddBackend(service::Id, Backend),
    /// Drain, undrain, declare lost or remove a backend server.
    ChangeBackend(service::Id, backend::Id, BackendAction),
    /// Choose the preset in force.
    ChoosePreset(PresetName),
    /// Replace the configuration by the one in a file.
    Apply(PathBuf),
}

/// Change of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendAction {
    /// Take it out of service.
    Drain,
    /// Take it back into service.
    Undrain,
    /// Declare its process gone for good.
    Lost,
    /// Remove it.
    Remove,
}

/// Key of a service to look up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyQuery {
    /// Service that holds the key.
    pub service: service::Id,
    /// Key as callers write it.
    pub key: String,
}
