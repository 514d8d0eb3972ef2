//! The processes of a run.

pub mod child;
pub mod layout;
pub mod port;
