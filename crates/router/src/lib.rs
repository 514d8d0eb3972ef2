//! The router process that runs on every entry host.
//!
//! The decisions are made by [`tarragon_node::node::Node`]; this crate carries them out. The
//! [`kernel`] starts one thread for each duty; duties register themselves and talk through bounded
//! channels only.

pub mod admin;
pub mod backend;
pub mod cli;
pub mod clock;
pub mod connections;
pub mod control;
pub mod error;
pub mod front;
pub mod invariants;
pub mod keeper;
pub mod kernel;
pub mod metrics;
pub mod peer;
pub mod seeded_fault;
pub mod server;
pub mod shared;
pub mod signals;
pub mod tally;
pub mod view;
pub mod wire;
