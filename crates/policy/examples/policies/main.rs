//! Simulates the load of a shard in virtual time and compares each policy with its baseline.
//!
//! ```text
//! cargo run --release -p tarragon-policy --example policies -- --seed N [--only EXPERIMENT]
//! ```
//!
//! Prints one figure per line as `key=value` pairs, with its target if it has one.

mod experiments;
mod load;
mod measure;
mod report;
mod simulation;
mod spec;

use std::process::ExitCode;

/// Command line.
struct Options {
    seed: u64,
    only: Option<String>,
}

fn main() -> ExitCode {
    let Some(options) = options(std::env::args().skip(1)) else {
        eprintln!("usage: policies --seed N [--only EXPERIMENT]");
        return ExitCode::from(2);
    };
    for (name, run) in experiments::ALL {
        if options.only.as_deref().is_none_or(|only| only == *name) {
            run(options.seed);
        }
    }
    ExitCode::SUCCESS
}

fn options(mut args: impl Iterator<Item = String>) -> Option<Options> {
    let mut options = Options {
        seed: 1,
        only: None,
    };
    while let Some(arg) = args.next() {
        match arg.as_str() {
            "--seed" => options.seed = args.next()?.parse().ok()?,
            "--only" => options.only = Some(args.next()?),
            _ => return None,
        }
    }
    Some(options)
}
