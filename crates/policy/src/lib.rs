//! Decisions about load: placement, admission, queueing and retries.
//!
//! One process leads a shard and is the only sender to the shard's backend servers. So every
//! decision here is a function of what one process has seen, and counting needs no protocol. The
//! crate performs no I/O and reads no clock: callers pass the time in, which lets tests and
//! experiments run in virtual time.
//!
//! Behaviour that varies sits behind traits ([`admission::Policy`], [`choice::Policy`],
//! [`placement::Planner`]). Implementations register themselves by name, so that a baseline and
//! the policy in use run in the same kernel.

pub mod admission;
pub mod backend;
pub mod budget;
pub mod choice;
pub mod duration;
pub mod placement;
pub mod scheduler;
pub mod speed;

mod window;
