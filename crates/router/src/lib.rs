//! Router process that runs on each host and sends requests to the backend servers that own their
//! keys.
//!
//! [`tarragon_node::node::Node`] makes the decisions; this crate performs the I/O. The [`control`]
//! thread owns the node, and [`duty`] starts one more thread per registered [`duty::Duty`]. Threads
//! exchange messages over bounded channels only.

pub mod admin;
pub mod backend;
pub mod cli;
pub mod clock;
pub mod connections;
pub mod control;
pub mod duty;
pub mod error;
pub mod front;
pub mod invariants;
pub mod metrics;
pub mod peer;
pub mod refusals;
pub mod seeded_fault;
pub mod server;
pub mod shared;
pub mod signals;
pub mod store;
pub mod view;
pub mod wire;
