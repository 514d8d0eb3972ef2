//! Leadership of a shard: leases, standbys and succession, free of I/O and clocks.
//!
//! One [`member::Member`] stands for one shard on one router process. Its caller hands it
//! messages, the time and the fate of writes to the store, and carries out the
//! [`output::Output`]s. At most one of a shard's members may act at any time, and an entry that
//! was reported as committed is held by every later reign that begins with `complete: true`.
//!
//! The protocol is described in `docs/design/0001-ownership.md`. Everything here is in memory
//! only: a process that restarts is another [`tarragon_model::host::Peer`] and so in no trio.

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
