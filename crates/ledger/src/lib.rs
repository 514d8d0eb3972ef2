//! Memory of dispatched requests and of requests that crash backend servers.
//!
//! Both memories are plain data that change by entries only, so that the leader of a shard can
//! replicate them to its standbys. They perform no I/O and read no clock.

pub mod identifier;
pub mod ledger;
pub mod quarantine;

mod rows;
