//! Command-line options of `lab run` and `lab sweep`.

use std::path::PathBuf;

use getopts::{Matches, Options};

use crate::deployment::Deployment;
use crate::error::{Error, Result};
use crate::faults::provoke;
use crate::probe;

/// Default number of hosts.
const DEFAULT_HOSTS: usize = 12;
/// Minimum number of hosts: a replica set is spread over three failure domains.
const MIN_HOSTS: usize = 3;
/// Maximum number of hosts; keeps a run below a hundred processes.
const MAX_HOSTS: usize = 18;
/// Default duration of the load, in seconds.
const DEFAULT_SECONDS: u64 = 30;
/// Faults that can be seeded into the routers, by name.
pub const SEEDED_FAULTS: [&str; 3] = [
    "no-regrant-wait",
    "blind-second-write",
    "resend-after-first-byte",
];

/// Options of `lab run`.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Deployment to run.
    pub deployment: Deployment,
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Seed of the load and of random faults.
    pub seed: u64,
    /// Source of the fault schedule.
    pub faults: Faults,
    /// Number of hosts.
    pub hosts: usize,
    /// Name of the policy passed to the routers.
    pub policy: Option<String>,
    /// Rate of requests.
    pub load: Load,
    /// Directory that receives the files of the run.
    pub report: Option<PathBuf>,
    /// Fault to seed into the routers.
    pub seeded_fault: Option<String>,
    /// Number of probed keys.
    pub probes: usize,
    /// Whether the files are kept after a clean run without a report directory.
    pub keep: bool,
}

/// Source of the fault schedule of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Faults {
    /// Random schedule, determined by the seed.
    Random,
    /// No faults.
    None,
    /// Schedule that exposes the named seeded fault.
    Provoke(String),
    /// Schedule read from a fault file.
    File(PathBuf),
}

/// Rate of requests, absolute or relative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// Requests per second.
    Rate(f64),
    /// Multiple of the base rate.
    Factor(f64),
}

/// Options of `lab sweep`.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    /// Options of each run, except its seed.
    pub run: Run,
    /// First seed.
    pub from: u64,
    /// Last seed.
    pub to: u64,
}

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "show this help");
    options.optopt("", "deployment", "indus (default) or atlas", "NAME");
    options.optopt("", "seconds", "length of the load (default 30)", "N");
    options.optopt("", "seed", "seed of load and faults (default 1)", "N");
    options.optopt("", "seeds", "first and last seed of a sweep", "A..B");
    options.optopt(
        "",
        "faults",
        "fault file; `none`; default: random, or made for the seeded fault",
        "FILE",
    );
    options.optopt("", "hosts", "number of hosts (default 12)", "N");
    options.optopt("", "policy", "policy of the routers", "NAME");
    options.optopt(
        "",
        "load",
        "requests per second, or a factor such as 2x",
        "RATE",
    );
    options.optopt("", "probes", "number of probed keys (default 96)", "N");
    options.optopt("", "report", "directory for the run's files", "DIR");
    options.optopt("", "seeded-fault", &SEEDED_FAULTS.join(", "), "NAME");
    options.optflag("", "keep", "keep the run's files");
    options
}

/// Returns the help text of `lab run` and `lab sweep`.
#[must_use]
pub fn usage(brief: &str) -> String {
    options().usage(brief)
}

/// Parses the arguments of `lab run`; `None` when help is requested.
///
/// ```
/// let args = ["--deployment", "atlas", "--seconds", "5"].map(str::to_owned);
/// let run = tarragon_lab::options::run(&args).unwrap().unwrap();
/// assert_eq!(run.deployment.name, "atlas");
/// ```
///
/// # Errors
///
/// Returns [`Error::Usage`] for the first invalid argument.
pub fn run(args: &[String]) -> Result<Option<Run>> {
    let matches = matches(args)?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    if matches.opt_present("seeds") {
        return usage_error("--seeds belongs to lab sweep");
    }
    run_options(&matches).map(Some)
}

/// Parses the arguments of `lab sweep`; `None` when help is requested.
///
/// # Errors
///
/// Returns [`Error::Usage`] for the first invalid argument.
pub fn sweep(args: &[String]) -> Result<Option<Sweep>> {
    let matches = matches(args)?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    let text = matches
        .opt_str("seeds")
        .unwrap_or_else(|| "1..3".to_owned());
    let range = text.split_once("..").and_then(|(from, to)| {
        let range = (from.parse().ok()?, to.parse().ok()?);
        (range.0 <= range.1).then_some(range)
    });
    let Some((from, to)) = range else {
        return usage_error(format!("--seeds must be A..B with A up to B, not {text}"));
    };
    let run = run_options(&matches)?;
    Ok(Some(Sweep { run, from, to }))
}

fn matches(args: &[String]) -> Result<Matches> {
    let matches = options().parse(args);
    let matches = matches.map_err(|error| Error::Usage(error.to_string()))?;
    if let Some(extra) = matches.free.first() {
        return usage_error(format!("unexpected argument {extra}"));
    }
    Ok(matches)
}

fn run_options(matches: &Matches) -> Result<Run> {
    let name = matches
        .opt_str("deployment")
        .unwrap_or_else(|| "indus".to_owned());
    let Some(deployment) = Deployment::parse(&name) else {
        return usage_error(format!("--deployment must be indus or atlas, not {name}"));
    };
    let hosts = number(matches, "hosts", DEFAULT_HOSTS)?;
    if !(MIN_HOSTS..=MAX_HOSTS).contains(&hosts) {
        return usage_error(format!(
            "--hosts must be {MIN_HOSTS} to {MAX_HOSTS}, not {hosts}"
        ));
    }
    let seconds = number(matches, "seconds", DEFAULT_SECONDS)?;
    if seconds == 0 {
        return usage_error("--seconds must be at least 1");
    }
    Ok(Run {
        deployment,
        seconds,
        seed: number(matches, "seed", 1)?,
        faults: faults(matches),
        hosts,
        policy: matches.opt_str("policy"),
        load: load(matches)?,
        report: matches.opt_str("report").map(PathBuf::from),
        seeded_fault: seeded_fault(matches)?,
        probes: number(matches, "probes", probe::DEFAULT_KEYS)?,
        keep: matches.opt_present("keep"),
    })
}

fn faults(matches: &Matches) -> Faults {
    match matches.opt_str("faults").as_deref() {
        None => match matches.opt_str("seeded-fault") {
            Some(name) => Faults::Provoke(name),
            None => Faults::Random,
        },
        Some("none") => Faults::None,
        Some(path) => Faults::File(PathBuf::from(path)),
    }
}

fn load(matches: &Matches) -> Result<Load> {
    let Some(text) = matches.opt_str("load") else {
        let seeded = matches.opt_str("seeded-fault");
        let needs_load = seeded.is_some_and(|name| name != "blind-second-write");
        return Ok(Load::Factor(if needs_load {
            provoke::LOAD_FACTOR
        } else {
            1.0
        }));
    };
    let factor = text.strip_suffix('x');
    let value = factor.unwrap_or(&text).parse::<f64>().ok();
    let value = value.filter(|value| value.is_finite() && *value > 0.0);
    match (value, factor) {
        (Some(value), Some(_)) => Ok(Load::Factor(value)),
        (Some(value), None) => Ok(Load::Rate(value)),
        (None, _) => usage_error(format!("--load must be a rate or a factor, not {text}")),
    }
}

fn seeded_fault(matches: &Matches) -> Result<Option<String>> {
    let name = matches.opt_str("seeded-fault");
    match name {
        Some(name) if !SEEDED_FAULTS.contains(&name.as_str()) => usage_error(format!(
            "--seeded-fault must be one of {}, not {name}",
            SEEDED_FAULTS.join(", ")
        )),
        name => Ok(name),
    }
}

fn number<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    let parsed = text.parse();
    parsed.map_err(|_| Error::Usage(format!("--{name} must be a whole number, not {text}")))
}

fn usage_error<T>(message: impl Into<String>) -> Result<T> {
    Err(Error::Usage(message.into()))
}
