//! The processes of a run.

pub mod child;
pub mod port;
