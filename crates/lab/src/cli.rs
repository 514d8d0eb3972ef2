//! Dispatch of the sub-commands of `lab`.

use std::process::ExitCode;

use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::error::{Error, Result};
use crate::faults::Kind;
use crate::{capacity, demo, options, run, sweep};

/// Exit code when a guarantee is broken or a run fails.
const FAILED: u8 = 1;
/// Exit code for an invalid command line or fault file.
const USAGE: u8 = 2;

const HELP: &str = "\
Usage: lab COMMAND [OPTIONS]

Commands:
  run      run a whole system on loopback and judge the promises
  sweep    run for several seeds, one after the other
  capacity measure what control costs at growing sizes (--out DIR, --quick)
  demo     show a small system that survives the loss of a host and a backend server
  standin  run a stand-in: store, backend or links
  router   run a router (tarragon-router)
  ctl      run the operators' command (tarragonctl)

Ask each command for --help.";

/// Runs the sub-command that the first argument names.
#[must_use]
pub fn main(args: &[String]) -> ExitCode {
    let rest = args.get(1..).unwrap_or_default();
    match args.first().map(String::as_str) {
        Some("run") => exit_code(run_command(rest)),
        Some("sweep") => exit_code(sweep_command(rest)),
        Some("capacity") => exit_code(capacity_command(rest)),
        Some("demo") => exit_code(demo_command(rest)),
        Some("standin") => standin_command(rest),
        Some("router") => tarragon_router::cli::run(rest),
        Some("ctl") => tarragonctl::cli::run(rest),
        Some("-h" | "--help" | "help") => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("{HELP}");
            ExitCode::from(USAGE)
        }
    }
}

fn exit_code(result: Result<bool>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FAILED),
        Err(Error::Usage(message)) => {
            eprintln!("lab: {message}");
            ExitCode::from(USAGE)
        }
        Err(error) => {
            eprintln!("lab: {error}");
            ExitCode::from(FAILED)
        }
    }
}

fn run_command(args: &[String]) -> Result<bool> {
    let Some(options) = options::run(args)? else {
        print_help("lab run");
        return Ok(true);
    };
    interruptible(async |stop| {
        let report = run::run(&options, &stop).await?;
        report.print();
        Ok(report.breaches.is_empty())
    })
}

fn sweep_command(args: &[String]) -> Result<bool> {
    let Some(options) = options::sweep(args)? else {
        print_help("lab sweep");
        return Ok(true);
    };
    interruptible(async |stop| sweep::sweep(&options, &stop).await)
}

fn capacity_command(args: &[String]) -> Result<bool> {
    let Some(options) = capacity::options::parse(args)? else {
        println!("{}", capacity::options::usage());
        return Ok(true);
    };
    capacity::run(&options).map(|()| true)
}

fn standin_command(args: &[String]) -> ExitCode {
    let _ = env_logger::try_init();
    crate::standin::command(args)
}

fn demo_command(args: &[String]) -> Result<bool> {
    if !args.is_empty() {
        println!("Usage: lab demo\n\nTakes no options and ends in about 20 seconds.");
        return Ok(true);
    }
    interruptible(async |stop| demo::demo(&stop).await.map(|()| true))
}

fn print_help(command: &str) {
    println!("{}", options::usage(&format!("Usage: {command} [OPTIONS]")));
    println!("Kinds of faults:");
    for (kind, name, _) in Kind::ALL {
        println!("  {name:20} {}", kind.effect());
    }
}

/// Runs `work` on a new runtime; SIGINT and SIGTERM cancel the token that it gets.
fn interruptible<T>(work: impl AsyncFnOnce(CancellationToken) -> Result<T>) -> Result<T> {
    let env = env_logger::Env::new().filter_or("TARRAGON_LOG", "tarragon_lab=info");
    let _ = env_logger::Builder::from_env(env).try_init();
    let runtime = runtime()?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        for kind in [SignalKind::interrupt(), SignalKind::terminate()] {
            let mut signals = signal(kind).map_err(crate::error::io("signals", "self"))?;
            let stop = stop.clone();
            tokio::spawn(async move {
                signals.recv().await;
                stop.cancel();
            });
        }
        work(stop).await
    })
}

fn runtime() -> Result<Runtime> {
    let built = Builder::new_multi_thread().enable_all().build();
    built.map_err(crate::error::io("runtime", "self"))
}
