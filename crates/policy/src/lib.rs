//! Load management for one shard: placement, admission, queueing and retries.
//!
//! The leader of a shard is the only sender to the shard's backend servers, so every decision
//! depends only on what one process has observed and counters need no coordination. The crate
//! performs no I/O and reads no clock: callers pass the time in, so tests and experiments can run
//! in virtual time.
//!
//! Interchangeable policies implement the traits [`admission::Policy`], [`choice::Policy`] and
//! [`placement::Planner`] and register themselves by name, so that the default policies and the
//! baselines run on the same scheduler.

pub mod admission;
pub mod backend;
pub mod budget;
pub mod choice;
pub mod duration;
pub mod placement;
pub mod scheduler;
pub mod speed;

mod window;
