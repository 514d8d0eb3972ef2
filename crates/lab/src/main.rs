//! Stand-ins, load and experiments for tarragonthread.
//!
//! One binary, so that an experiment needs a single build to start every process of a fleet. The
//! first argument names the command; each command parses its own arguments.

use std::process::ExitCode;

mod standin;

const USAGE: &str = "usage: lab standin store|backend|links OPTIONS";

fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.split_first() {
        Some((command, rest)) if command == "standin" => standin::command(rest),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(2)
        }
    }
}
