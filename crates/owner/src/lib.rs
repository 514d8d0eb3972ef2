//! Decides which backend server holds which keys.
//!
//! Backend servers hold keys by grants that carry a fence number and run out. One process a
//! service, the granter, sends them. A new holder, and a new fence number, stand in a plan in the
//! store before any grant says so; renewals of the plan's grants need no store. A key is granted
//! to its next holder only once its former holder cannot hold it any more: it released the key,
//! its process is gone, or the last grant that anyone may have sent it has run out.
//!
//! The crate performs no I/O and reads no clock.

pub mod balance;
pub mod granter;
mod held;
pub mod loads;
pub mod plan;
pub mod speeds;
