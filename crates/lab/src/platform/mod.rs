//! Platform and operators of a run: store objects, the lagging host list, preset changes.

pub mod list;
pub mod object;
pub mod operator;
