//! Ledger of dispatched requests, and quarantine of requests that crash backend servers.
//!
//! Both are plain data that change only by applying entries, so that the leader of a shard can
//! replicate them to its standbys. They perform no I/O and read no clock.

pub mod identifier;
pub mod ledger;
pub mod quarantine;

mod rows;
