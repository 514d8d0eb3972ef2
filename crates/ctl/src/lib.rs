//! Command-line tool for the operators of tarragonthread.
//!
//! Operators change a single object in the store, the configuration, and query the state of the
//! hosts. Commands run without a terminal: [`args`] parses arguments into a validated
//! [`command`], [`run`] executes it through the traits [`tarragon_store::api::Api`] and
//! [`host::Api`], and [`cli`] connects both to the process's arguments and standard output.

pub mod args;
pub mod change;
pub mod cli;
pub mod command;
pub mod edit;
pub mod error;
pub mod explain;
pub mod follow;
pub mod host;
pub mod host_list;
pub mod http;
pub mod lost_host;
pub mod output;
pub mod rollout;
pub mod run;
pub mod status;
pub mod usage;
