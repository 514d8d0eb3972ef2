//! Client of the platform's object API.
//!
//! The store alone decides conflicts between hosts, yet its responses can be late, stale or lost.
//! This crate distinguishes what each kind of failure implies: [`error::Kind`] says whether a write
//! was provably not executed, and [`update::Writer`] resolves a write whose response was lost.
//! [`api::Api`] is the trait that tests implement with a store in memory.

pub mod api;
pub mod client;
pub mod dialect;
pub mod era;
pub mod error;
pub mod object;
pub mod update;
