//! The platform's and the operators' side: objects in the store and the lagging host list.

pub mod list;
pub mod object;
pub mod operator;
