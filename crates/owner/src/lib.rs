//! Decides which backend server holds which keys.
//!
//! Backend servers hold keys through grants that carry a fencing token and expire. One process per
//! service, the granter, sends them. A new holder and its fencing token are written to a plan in
//! the store before any grant names them; renewals of the plan's grants do not need the store. A
//! key is granted to its next holder only when the previous holder can no longer hold it: it has
//! released the key, its process has ended, or the last grant that anyone may have sent to it has
//! expired.
//!
//! The crate performs no I/O and reads no clock.

pub mod balance;
pub mod granter;
pub mod loads;
pub mod plan;
mod sent_grants;
pub mod speeds;
mod surge;
pub mod votes;
