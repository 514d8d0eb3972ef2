//! Command lines of the experiments, checked apart from the work.

use std::path::PathBuf;

use getopts::{Matches, Options};

use crate::deployment::Deployment;
use crate::error::{Error, Result};
use crate::faults::provoke;
use crate::probe;

/// Hosts of a run when none are named.
const HOSTS: usize = 12;
/// Fewest hosts, so that a trio has room in three failure domains.
const HOSTS_MIN: usize = 3;
/// Most hosts, so that a run stays under a hundred processes.
const HOSTS_MAX: usize = 18;
/// Length of a run when none is named, in seconds.
const SECONDS: u64 = 30;
/// Names of the faults that can be seeded into the routers.
pub const SEEDED: [&str; 3] = [
    "no-regrant-wait",
    "blind-second-write",
    "resend-after-first-byte",
];

/// What `lab run` does.
#[derive(Clone, Debug, PartialEq)]
pub struct Run {
    /// Deployment.
    pub deployment: Deployment,
    /// Length of the load, in seconds.
    pub seconds: u64,
    /// Seed of load and faults.
    pub seed: u64,
    /// Where faults come from.
    pub faults: Faults,
    /// Number of hosts.
    pub hosts: usize,
    /// Policy that the routers are told to use.
    pub policy: Option<String>,
    /// Rate of the load.
    pub load: Load,
    /// Directory for the run's files.
    pub report: Option<PathBuf>,
    /// Fault seeded into the routers.
    pub seeded_fault: Option<String>,
    /// Number of probed keys.
    pub probes: usize,
    /// Whether the files stay when no report directory is named.
    pub keep: bool,
}

/// Where the faults of a run come from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Faults {
    /// Random schedule from the seed.
    Random,
    /// No faults.
    None,
    /// Schedule that provokes a seeded fault.
    Provoke(String),
    /// Fault file.
    File(PathBuf),
}

/// Rate of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Load {
    /// Requests per second.
    Rate(f64),
    /// Factor of the ordinary rate.
    Factor(f64),
}

/// What `lab sweep` does.
#[derive(Clone, Debug, PartialEq)]
pub struct Sweep {
    /// Each run, but for its seed.
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
    options.optopt("", "seeded-fault", &SEEDED.join(", "), "NAME");
    options.optflag("", "keep", "keep the run's files");
    options
}

/// Returns the help text of `lab run` and `lab sweep`.
#[must_use]
pub fn usage(brief: &str) -> String {
    options().usage(brief)
}

/// Parses the arguments of `lab run`; `None` when help is asked for.
///
/// ```
/// let args = ["--deployment", "atlas", "--seconds", "5"].map(str::to_owned);
/// let run = tarragon_lab::options::run(&args).unwrap().unwrap();
/// assert_eq!(run.deployment.name, "atlas");
/// ```
///
/// # Errors
///
/// Tells what is wrong with the command line.
pub fn run(args: &[String]) -> Result<Option<Run>> {
    let matches = matches(args)?;
    if matches.opt_present("help") {
        return Ok(None);
    }
    if matches.opt_present("seeds") {
        return usage_error("--seeds belongs to lab sweep");
    }
    checked(&matches).map(Some)
}

/// Parses the arguments of `lab sweep`; `None` when help is asked for.
///
/// # Errors
///
/// Tells what is wrong with the command line.
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
    let run = checked(&matches)?;
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

fn checked(matches: &Matches) -> Result<Run> {
    let name = matches
        .opt_str("deployment")
        .unwrap_or_else(|| "indus".to_owned());
    let Some(deployment) = Deployment::parse(&name) else {
        return usage_error(format!("--deployment must be indus or atlas, not {name}"));
    };
    let hosts = number(matches, "hosts", HOSTS)?;
    if !(HOSTS_MIN..=HOSTS_MAX).contains(&hosts) {
        return usage_error(format!(
            "--hosts must be {HOSTS_MIN} to {HOSTS_MAX}, not {hosts}"
        ));
    }
    let seconds = number(matches, "seconds", SECONDS)?;
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
        seeded_fault: seeded(matches)?,
        probes: number(matches, "probes", probe::KEYS)?,
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
        let needs_work = seeded.is_some_and(|name| name != "blind-second-write");
        return Ok(Load::Factor(if needs_work {
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

fn seeded(matches: &Matches) -> Result<Option<String>> {
    let name = matches.opt_str("seeded-fault");
    match name {
        Some(name) if !SEEDED.contains(&name.as_str()) => usage_error(format!(
            "--seeded-fault must be one of {}, not {name}",
            SEEDED.join(", ")
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

fn usage_error<T>(what: impl Into<String>) -> Result<T> {
    Err(Error::Usage(what.into()))
}
