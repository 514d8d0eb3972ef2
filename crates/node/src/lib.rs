//! Decisions of one router process as a state machine, free of I/O and clocks.
//!
//! [`Node`](node::Node) is handed everything that happens as an [`Input`](input::Input) together
//! with the time, and answers with [`Output`](output::Output)s that the process carries out. The
//! same machine therefore runs in the router and in tests that play millions of interleavings.

pub mod directory;
pub mod engine;
pub mod flight;
pub mod health;
pub mod input;
pub mod member;
pub mod message;
pub mod node;
pub mod occupancy;
pub mod output;
pub mod persist;
pub mod policies;
pub mod slot;
pub mod state;
pub mod trio;
