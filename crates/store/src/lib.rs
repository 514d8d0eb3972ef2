//! Client of the platform's object API.
//!
//! The store is the only arbiter between hosts, yet its answers can be late, stale or lost. This
//! crate keeps apart what a caller may conclude from each kind of failure: [`error::Kind`] says
//! whether a write was provably not executed, and [`update::Writer`] settles a write whose answer
//! was lost. [`api::Api`] is the border behind which tests put a store of their own.

pub mod api;
pub mod client;
pub mod dialect;
pub mod error;
pub mod object;
pub mod update;
