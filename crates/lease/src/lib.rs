//! Leader leases, replication and failover of a shard, without I/O or clocks.
//!
//! One [`member::Member`] is the state machine of one shard on one router process. The code that
//! drives it (the driver) passes in messages, the time and the outcomes of writes to the store, and
//! executes the [`output::Output`]s. At most one of a shard's members may act at any time, and an
//! entry that was reported as committed is held in every later term that starts with
//! `complete: true`.
//!
//! The protocol is described in `docs/design/0001-ownership.md`. All state is in memory only: a
//! process that restarts is a different [`tarragon_model::host::Peer`], so it is in no replica set.

pub mod member;
pub mod message;
pub mod output;
pub mod proposal;
pub mod seeded_fault;
pub mod state;
pub mod timing;

mod context;
mod follower;
mod leader;
mod log;
mod renewal;
mod standby;

pub use member::{Member, Role};
pub use message::Message;
pub use output::Output;
pub use state::{Replica, State};
