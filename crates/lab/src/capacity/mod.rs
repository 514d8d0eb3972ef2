//! Capacity experiments: how the cost of the control plane grows with the size of the system.
//!
//! Each experiment drives the state machines of the router within one process, in virtual time and
//! with messages in the wire format, at several sizes. A line or a power law is fitted to the
//! points and extrapolated to a reference size, usually that of the planned system.

pub mod cluster;
pub mod experiment;
pub mod fit;
pub mod fixture;
pub mod meter;
pub mod options;
mod plot;
pub mod report;
pub mod series;

use crate::error::Result;
use options::Options;

/// Runs every experiment, writes tables and plots, and prints the summary.
///
/// # Errors
///
/// Fails when a file cannot be written or a message cannot be encoded.
pub fn run(options: &Options) -> Result<()> {
    let mut all = Vec::new();
    for experiment in experiment::all() {
        println!("measuring {}", experiment.name());
        all.extend(experiment.run(options.effort)?);
    }
    report::write(&options.out, &all)?;
    print!("{}", report::summary(&all));
    Ok(())
}
