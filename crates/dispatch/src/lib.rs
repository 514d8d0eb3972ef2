//! Decisions about one request: its route, its backend server, whether it may be sent once more.
//!
//! The crate performs no I/O and reads no clock, so that tests can play any order of events.

pub mod budget;
pub mod catalog;
pub mod fleet;
pub mod poison;
pub mod table;
