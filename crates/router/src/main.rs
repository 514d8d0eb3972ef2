//! Entry point of the router binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    tarragon_router::cli::run(&args)
}
