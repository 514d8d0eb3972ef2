//! Command-line entry point of the `lab` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    tarragon_lab::cli::main(&args)
}
