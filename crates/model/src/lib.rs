//! Identifiers, configuration and settings shared by every tarragonthread program.
//!
//! The crate contains plain data types and their validation. It performs no I/O apart from reading
//! files of settings or configuration, so that every other crate can depend on it.

pub mod backend;
pub mod config;
pub mod fence;
pub mod host;
pub mod key;
pub mod outcome;
pub mod problem;
pub mod record;
pub mod service;
pub mod settings;
pub mod shard;
pub mod time;

mod document;
mod name;
