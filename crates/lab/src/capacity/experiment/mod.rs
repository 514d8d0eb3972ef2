//! Experiments, each of which measures a few related series.

mod config;
mod hosts;
mod known_shards;
mod ledger;
mod memory;
mod owners;
mod policy;
mod requests;
mod shards;
mod storm;

use super::options::Effort;
use super::series::Series;
use crate::error::Result;

/// Hosts of the planned system.
const HOSTS: f64 = 16_000.0;

/// Shards of the planned system, one led by each host.
const SHARDS: f64 = 16_000.0;

/// Experiment that measures a few related series.
pub trait Experiment {
    /// Returns the name shown while the experiment runs.
    fn name(&self) -> &'static str;

    /// Runs the measurements and returns the series.
    ///
    /// # Errors
    ///
    /// Fails when a message cannot be encoded or decoded.
    fn run(&self, effort: Effort) -> Result<Vec<Series>>;
}

/// Returns all experiments in the order in which they run. The one that measures resident memory
/// comes first, since memory freed by the others would hide its costs.
#[must_use]
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(memory::Memory),
        Box::new(ledger::Ledger),
        Box::new(hosts::Hosts),
        Box::new(known_shards::KnownShards),
        Box::new(shards::Shards),
        Box::new(requests::Requests),
        Box::new(storm::Storm),
        Box::new(owners::Owners),
        Box::new(policy::Policy),
        Box::new(config::Config),
    ]
}
