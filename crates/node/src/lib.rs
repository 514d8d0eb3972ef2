//! Decisions of one router process as a state machine without I/O and clocks.
//!
//! [`Node`](node::Node) receives everything that happens as an [`Input`](input::Input) together
//! with the time, and returns [`Output`](output::Output)s for the process to carry out. The same
//! state machine therefore runs in the router and in tests that cover millions of interleavings.

pub mod directory;
pub mod engine;
pub mod health;
pub mod input;
pub mod local_shard;
pub mod membership;
pub mod message;
pub mod node;
pub mod occupancy;
pub mod output;
pub mod persist;
pub mod policies;
pub mod replica_set;
pub mod request;
pub mod state;
