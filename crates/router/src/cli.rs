//! Command line of the router.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use getopts::{Matches, Options};
use tarragon_model::host::Peer;
use tarragon_model::settings;
use tarragon_node::policies::Policies;
use tokio::sync::{mpsc, watch};

use crate::clock::unix_micros;
use crate::control;
use crate::duty;
use crate::error::Error;
use crate::seeded_fault::SeededFault;
use crate::shared::{Parts, Shared};
use crate::view::View;

/// Exit code if the router fails while running.
const EXIT_FAILED: u8 = 1;
/// Exit code if the command line or the settings are invalid.
const EXIT_USAGE: u8 = 2;
/// Maximum number of commands queued for the control thread.
const CONTROL_CAPACITY: usize = 65_536;

/// Action requested on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Print the help text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings and exit.
    Check(PathBuf),
    /// Run the router.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// Policies that the node uses.
        policies: Policies,
        /// Fault to seed, for experiments.
        seeded_fault: SeededFault,
    },
}

/// Runs the router with the command-line arguments that follow the program name.
#[must_use]
pub fn run(args: &[String]) -> ExitCode {
    match parse(args).and_then(|action| execute(&action)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tarragon-router: {error}");
            ExitCode::from(if error.is_input() {
                EXIT_USAGE
            } else {
                EXIT_FAILED
            })
        }
    }
}

/// Parses the command line.
///
/// # Errors
///
/// [`Error::Usage`] on an unknown option, argument, policy or seeded fault, and if `--settings` is
/// missing.
///
/// ```
/// use tarragon_router::cli::{Action, parse};
///
/// let args = ["--settings".to_owned(), "router.jsonc".to_owned(), "--check".to_owned()];
/// assert_eq!(parse(&args).unwrap(), Action::Check("router.jsonc".into()));
/// ```
pub fn parse(args: &[String]) -> Result<Action, Error> {
    let matches = options()
        .parse(args)
        .map_err(|error| Error::Usage(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Action::Help);
    }
    if matches.opt_present("version") {
        return Ok(Action::Version);
    }
    if let Some(extra) = matches.free.first() {
        return Err(Error::Usage(format!("unexpected argument {extra:?}")));
    }
    let missing = || Error::Usage("--settings FILE is required".to_owned());
    let settings = matches
        .opt_str("settings")
        .map(PathBuf::from)
        .ok_or_else(missing)?;
    if matches.opt_present("check") {
        return Ok(Action::Check(settings));
    }
    let name = matches
        .opt_str("seeded-fault")
        .unwrap_or_else(|| "none".to_owned());
    let unknown = || Error::Usage(format!("unknown seeded fault {name:?}"));
    let seeded_fault = SeededFault::parse(&name).ok_or_else(unknown)?;
    let policies = policies(&matches)?;
    Ok(Action::Run {
        settings,
        policies,
        seeded_fault,
    })
}

fn policies(matches: &Matches) -> Result<Policies, Error> {
    let Some(name) = matches.opt_str("policy") else {
        return Ok(Policies::default());
    };
    let unknown = || Error::Usage(format!("no policy named {name:?} is registered"));
    Policies::named(&name).ok_or_else(unknown)
}

/// Returns the text that `--help` prints.
#[must_use]
pub fn help() -> String {
    let brief = "Usage: tarragon-router --settings FILE [--check]\n\n\
        Routes callers' requests to the backend servers that own their keys.\n\n\
        Exit codes: 0 ended as asked, 1 failed while running, 2 bad command line or settings.\n\
        Signals: TERM and INT hand the shards over, let requests end and stop; HUP is ignored, \
        since configuration comes from the store.";
    options().usage(brief)
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file, JSON with comments", "FILE");
    options.optopt(
        "",
        "policy",
        "use a registered policy by name, or `baseline` (experiments only)",
        "NAME",
    );
    options.optflag("", "check", "check the settings and end");
    options.optopt(
        "",
        "seeded-fault",
        "break a rule on purpose (experiments only)",
        "NAME",
    );
    options.optflag("h", "help", "print this text");
    options.optflag("V", "version", "print the version");
    options
}

fn execute(action: &Action) -> Result<(), Error> {
    match action {
        Action::Help => println!("{}", help()),
        Action::Version => println!("tarragon-router {}", env!("CARGO_PKG_VERSION")),
        Action::Check(path) => {
            settings::load(path)?.fleet_key()?;
            println!("{}: the settings are fine", path.display());
        }
        Action::Run {
            settings,
            policies,
            seeded_fault,
        } => serve(settings::load(settings)?, policies.clone(), *seeded_fault)?,
    }
    Ok(())
}

fn serve(
    settings: settings::Router,
    policies: Policies,
    seeded_fault: SeededFault,
) -> Result<(), Error> {
    let env = env_logger::Env::new().filter_or("TARRAGON_LOG", "warn");
    let _ = env_logger::Builder::from_env(env).try_init();
    let fleet_key = settings.fleet_key()?;
    let me = Peer::new(settings.host.clone(), unix_micros() / 1_000);
    let (commands, inbox) = mpsc::channel(CONTROL_CAPACITY);
    let (publish, view) = watch::channel(Arc::new(View::default()));
    let shared = Shared::new(Parts {
        settings,
        fleet_key,
        me,
        control: commands,
        view,
        policies,
        seeded_fault,
    });
    let control = control::spawn(shared.clone(), inbox, publish)?;
    let duties = duty::start(&shared)?;
    for duty in duties {
        let _ = duty.join();
    }
    shared.stop.cancel();
    let _ = control.join();
    Ok(())
}
