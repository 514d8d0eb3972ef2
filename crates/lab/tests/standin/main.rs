//! The stand-ins as real processes.

#[macro_use]
mod support;

mod backend;
mod grants;
mod links;
mod store;
