//! A sequence of runs with consecutive seeds.

use tokio_util::sync::CancellationToken;

use crate::error::Result;
use crate::options::{Run, Sweep};
use crate::run;

/// Runs each seed in turn, prints the summary of each run and a total, and returns whether all
/// guarantees held.
///
/// # Errors
///
/// Fails when a run cannot be carried out.
pub async fn sweep(options: &Sweep, stop: &CancellationToken) -> Result<bool> {
    let (mut runs, mut clean, mut longest_ms, mut served) = (0, 0, 0, 0);
    for seed in options.from..=options.to {
        let one = Run {
            seed,
            ..options.run.clone()
        };
        let report = run::run(&one, stop).await?;
        if let Some(first) = report.breaches.first() {
            println!("seed={seed} first {first}");
        }
        println!("{}", report.summary);
        runs += 1;
        clean += u64::from(report.breaches.is_empty());
        longest_ms = longest_ms.max(report.summary.unavailable_ms_max);
        served += report.summary.served;
    }
    println!("total runs={runs} clean={clean} served={served} unavailable_ms_max={longest_ms}");
    Ok(clean == runs)
}
