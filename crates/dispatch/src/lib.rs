//! Decisions about a single request: its route, its backend server, and whether it may be retried.
//!
//! The crate performs no I/O and reads no clock, so that tests can replay any sequence of events.

pub mod admission;
pub mod budget;
pub mod catalog;
pub mod denial;
pub mod evacuation;
pub mod fleet;
pub mod homes;
pub mod inflight;
pub mod poison;
pub mod table;
pub mod warmup;
