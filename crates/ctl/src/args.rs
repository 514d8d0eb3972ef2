//! Parses command-line arguments into a validated command.

use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use getopts::Matches;
use tarragon_model::config::{Backend, Place, PresetName};
use tarragon_timeline::event::Kind;
use tarragon_timeline::merge::Filter;

use crate::command::{BackendAction, Change, Command, Invocation, KeyQuery, Options, Show};

/// Default of `--timeout`.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable that is read when `--store` is not given.
pub const STORE_VARIABLE: &str = "TARRAGON_STORE";

/// Options of `timeline` that filter events.
const FILTER_OPTIONS: [&str; 5] = ["key", "host", "request", "shard", "kind"];

/// Invalid command line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}; see tarragonctl --help")]
pub struct Error(String);

impl Error {
    fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

/// Parses arguments, without the program's name.
///
/// `store` is the value of [`STORE_VARIABLE`].
///
/// ```
/// use tarragonctl::args;
/// use tarragonctl::command::{Command, Invocation};
///
/// let args = ["--store", "127.0.0.1:7900", "status"];
/// let Ok(Invocation::Run(command, options)) = args::parse(&args, None) else { panic!() };
/// assert_eq!(command, Command::Status);
/// assert_eq!(options.store.port(), 7900);
/// ```
///
/// # Errors
///
/// Fails with the first argument that is invalid or missing.
pub fn parse<A: AsRef<OsStr>>(args: &[A], store: Option<&str>) -> Result<Invocation, Error> {
    let matches = option_spec()
        .parse(args)
        .map_err(|error| Error::new(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Invocation::Help);
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Version);
    }
    if let Some(path) = config_check_path(&matches) {
        return Ok(Invocation::CheckConfig(path));
    }
    let command = command(&matches)?;
    check_timeline_options(&matches, &command)?;
    let options = options(&matches, store)?;
    Ok(Invocation::Run(command, options))
}

fn option_spec() -> getopts::Options {
    let mut option_spec = getopts::Options::new();
    option_spec.optflag("h", "help", "");
    option_spec.optflag("V", "version", "");
    option_spec.optflag("", "json", "");
    option_spec.optflag("", "retry", "");
    option_spec.optflag("", "follow", "");
    option_spec.optopt("", "store", "", "");
    option_spec.optopt("", "timeout", "", "");
    for name in FILTER_OPTIONS {
        option_spec.optopt("", name, "", "");
    }
    option_spec
}

fn config_check_path(matches: &Matches) -> Option<PathBuf> {
    match &matches.free[..] {
        [object, verb, file] if object == "config" && verb == "check" => Some(PathBuf::from(file)),
        _ => None,
    }
}

fn options(matches: &Matches, store: Option<&str>) -> Result<Options, Error> {
    let store_option = matches.opt_str("store");
    let Some(store) = store_option.as_deref().or(store) else {
        let text = format!("no store: give --store ADDR or set {STORE_VARIABLE}");
        return Err(Error::new(text));
    };
    Ok(Options {
        store: address(store)?,
        json: matches.opt_present("json"),
        timeout: timeout(matches)?,
        retry: matches.opt_present("retry"),
    })
}

fn timeout(matches: &Matches) -> Result<Duration, Error> {
    let Some(text) = matches.opt_str("timeout") else {
        return Ok(DEFAULT_TIMEOUT);
    };
    text.parse()
        .ok()
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
        .filter(|timeout| !timeout.is_zero())
        .ok_or_else(|| Error::new(format!("\"{text}\" is not a number of seconds above zero")))
}

fn check_timeline_options(matches: &Matches, command: &Command) -> Result<(), Error> {
    let for_timeline = FILTER_OPTIONS.iter().chain(&["follow"]);
    let mut present = for_timeline.filter(|name| matches.opt_present(name));
    match (present.next(), command) {
        (None, _) | (_, Command::Timeline { .. }) => Ok(()),
        (Some(name), _) => Err(Error::new(format!(
            "--{name} is an option of timeline only"
        ))),
    }
}

fn command(matches: &Matches) -> Result<Command, Error> {
    let words: Vec<_> = matches.free.iter().map(String::as_str).collect();
    if let Some(command) = config_command(&words)? {
        return Ok(command);
    }
    match words[..] {
        ["host", "list"] => Ok(Command::ListHosts),
        ["host", "lost", name] => Ok(Command::DeclareHostLost(name.into())),
        ["status"] => Ok(Command::Status),
        ["owner", service, key] => Ok(Command::Owner(key_query(service, key))),
        ["explain", service, key] => Ok(Command::Explain(key_query(service, key))),
        ["timeline"] => timeline(matches),
        [] => Err(Error::new("no command given")),
        _ => Err(Error::new(format!("no such command: {}", words.join(" ")))),
    }
}

/// Parses the commands that read or change the configuration; `None` for any other command.
fn config_command(words: &[&str]) -> Result<Option<Command>, Error> {
    let command = match *words {
        ["service", "list"] => Command::Show(Show::Services),
        ["service", "show", name] => Command::Show(Show::Service(name.into())),
        ["place", "list"] => Command::Show(Show::Places),
        ["backend", "list"] => Command::Show(Show::Backends(None)),
        ["backend", "list", service] => Command::Show(Show::Backends(Some(service.into()))),
        ["preset", "show"] => Command::Show(Show::Presets),
        ["config", "show"] => Command::Show(Show::Config),
        _ => return Ok(change(words)?.map(Command::Change)),
    };
    Ok(Some(command))
}

fn change(words: &[&str]) -> Result<Option<Change>, Error> {
    let change = match *words {
        ["service", "create", file] => Change::CreateService(PathBuf::from(file)),
        ["service", "change", file] => Change::ChangeService(PathBuf::from(file)),
        ["service", "remove", name] => Change::RemoveService(name.into()),
        ["place", "add", name, region] => Change::AddPlace(Place {
            name: name.to_owned(),
            region: region.to_owned(),
        }),
        ["place", "remove", name] => Change::RemovePlace(name.to_owned()),
        ["backend", "add", service, name, addr, place, shard] => {
            Change::AddBackend(service.into(), backend(name, addr, place, shard)?)
        }
        ["backend", verb, service, name] => match backend_action(verb) {
            Some(action) => Change::ChangeBackend(service.into(), name.into(), action),
            None => return Ok(None),
        },
        ["preset", "choose", name] => Change::ChoosePreset(preset(name)?),
        ["config", "apply", file] => Change::Apply(PathBuf::from(file)),
        _ => return Ok(None),
    };
    Ok(Some(change))
}

fn backend_action(verb: &str) -> Option<BackendAction> {
    match verb {
        "drain" => Some(BackendAction::Drain),
        "undrain" => Some(BackendAction::Undrain),
        "lost" => Some(BackendAction::Lost),
        "remove" => Some(BackendAction::Remove),
        _ => None,
    }
}

fn backend(name: &str, addr: &str, place: &str, shard: &str) -> Result<Backend, Error> {
    let index = shard
        .parse()
        .map_err(|_| Error::new(format!("\"{shard}\" is not a shard number")))?;
    Ok(Backend {
        id: name.into(),
        addr: address(addr)?,
        place: place.to_owned(),
        shard: index,
        draining: false,
        lost: false,
    })
}

fn preset(name: &str) -> Result<PresetName, Error> {
    match name {
        "ordinary" => Ok(PresetName::Ordinary),
        "peak" => Ok(PresetName::Peak),
        "maintenance" => Ok(PresetName::Maintenance),
        _ => Err(Error::new(format!("no such preset: {name}"))),
    }
}

fn key_query(service: &str, key: &str) -> KeyQuery {
    KeyQuery {
        service: service.into(),
        key: key.to_owned(),
    }
}

fn timeline(matches: &Matches) -> Result<Command, Error> {
    let kind = matches.opt_str("kind").map(|text| {
        Kind::parse(&text).ok_or_else(|| Error::new(format!("no such kind of event: {text}")))
    });
    let filter = Filter {
        key: matches.opt_str("key"),
        host: matches.opt_str("host").map(Into::into),
        request: matches.opt_str("request"),
        shard: matches.opt_str("shard"),
        kind: kind.transpose()?,
    };
    let follow = matches.opt_present("follow");
    Ok(Command::Timeline { filter, follow })
}

fn address(text: &str) -> Result<SocketAddr, Error> {
    text.parse()
        .map_err(|_| Error::new(format!("\"{text}\" is not an IP address with a port")))
}
