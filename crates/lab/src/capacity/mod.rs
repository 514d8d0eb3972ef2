//! Slopes of the cost of control, measured in one process on the real decisions.
//!
//! Each experiment drives the machines that the router runs, with virtual time and with messages
//! encoded as on the wire, at several sizes. A straight line or a power of the size is fitted to
//! the points and read at the size that the system is planned for.

pub mod experiment;
pub mod fit;
pub mod fixture;
pub mod mesh;
pub mod meter;
pub mod options;
mod plot;
pub mod report;
pub mod series;

use crate::error::Result;
use options::Options;

/// Runs every experiment and writes its tables and plots.
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
