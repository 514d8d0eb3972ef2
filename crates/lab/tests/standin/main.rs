//! Tests of the stand-ins, which run as separate processes.

#[macro_use]
mod support;

mod backend;
mod grants;
mod links;
mod store;
