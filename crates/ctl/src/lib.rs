//! The operators' command of tarragonthread.
//!
//! Operators change one object, the configuration, and ask the hosts what they do. The work is
//! kept apart from its command line: [`args`] turns arguments into a checked [`command`],
//! [`run`] does it through the traits [`tarragon_store::api::Api`] and [`host::Api`], and [`cli`]
//! joins the two with a terminal.

pub mod args;
pub mod change;
pub mod cli;
pub mod command;
pub mod edit;
pub mod error;
pub mod explain;
pub mod follow;
pub mod force;
pub mod host;
pub mod http;
pub mod list;
pub mod lost;
pub mod output;
pub mod run;
pub mod status;
pub mod usage;
