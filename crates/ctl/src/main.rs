//! Entry point of the `tarragonctl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args_os().skip(1).collect();
    tarragonctl::cli::run(&args)
}
