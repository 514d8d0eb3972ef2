//! End-to-end fault-injection runs and capacity experiments with real processes.
//!
//! A run starts stand-ins for the store and the backend servers, the fault proxy and one router
//! process for each host on loopback. It generates load, injects faults and checks the guarantees
//! against the backend servers' record files and the responses that the callers got.

pub mod capacity;
pub mod cli;
pub mod client;
pub mod clock;
pub mod demo;
pub mod deployment;
pub mod error;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod observe;
pub mod options;
pub mod platform;
pub mod probe;
pub mod report;
pub mod run;
mod standin;
pub mod sweep;
pub mod system;
pub mod trace;
pub mod verdict;
