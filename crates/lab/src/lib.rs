//! Experiments on whole systems of real processes.
//!
//! A run starts the platform's stand-ins, the backend servers, the fault proxy and one router
//! process for each host on loopback, puts load on them, injects faults and judges the promises
//! from the backend servers' records and the callers' log.

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
