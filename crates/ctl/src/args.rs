//! Turns arguments into a checked command.

use std::ffi::OsStr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use getopts::Matches;
use tarragon_model::config::{Backend, Place, PresetName};
use tarragon_timeline::event::Kind;
use tarragon_timeline::merge::Filter;

use crate::command::{Change, Command, Invocation, KeyQuery, Mark, Options, Show};

/// Wait for an effect when no `--timeout` is given.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);
/// Environment variable that stands in for `--store`.
pub const STORE_VARIABLE: &str = "TARRAGON_STORE";

/// Options of `timeline` that choose events.
const FILTERS: [&str; 5] = ["key", "host", "request", "shard", "kind"];

/// Why the arguments make no command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}; see tarragonctl --help")]
pub struct Error(String);

impl Error {
    fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }
}

/// Parses arguments, which do not include the program's name.
///
/// `store` is the value of [`STORE_VARIABLE`].
///
/// ```
/// use tarragonctl::args;
/// use tarragonctl::command::{Command, Invocation};
///
/// let args = ["--store", "127.0.0.1:7900", "status"];
/// let Ok(Invocation::Work(command, options)) = args::parse(&args, None) else { panic!() };
/// assert_eq!(command, Command::Status);
/// assert_eq!(options.store.port(), 7900);
/// ```
///
/// # Errors
///
/// Fails with the first argument that is wrong or missing.
pub fn parse<A: AsRef<OsStr>>(args: &[A], store: Option<&str>) -> Result<Invocation, Error> {
    let matches = grammar()
        .parse(args)
        .map_err(|error| Error::new(error.to_string()))?;
    if matches.opt_present("help") {
        return Ok(Invocation::Help);
    }
    if matches.opt_present("version") {
        return Ok(Invocation::Version);
    }
    if let Some(path) = check_file(&matches) {
        return Ok(Invocation::CheckFile(path));
    }
    let command = command(&matches)?;
    check_together(&matches, &command)?;
    let options = options(&matches, store)?;
    Ok(Invocation::Work(command, options))
}

fn grammar() -> getopts::Options {
    let mut grammar = getopts::Options::new();
    grammar.optflag("h", "help", "");
    grammar.optflag("V", "version", "");
    grammar.optflag("", "json", "");
    grammar.optflag("", "retry", "");
    grammar.optflag("", "follow", "");
    grammar.optopt("", "store", "", "");
    grammar.optopt("", "timeout", "", "");
    for name in FILTERS {
        grammar.optopt("", name, "", "");
    }
    grammar
}

fn check_file(matches: &Matches) -> Option<PathBuf> {
    match &matches.free[..] {
        [object, verb, file] if object == "config" && verb == "check" => Some(PathBuf::from(file)),
        _ => None,
    }
}

fn options(matches: &Matches, store: Option<&str>) -> Result<Options, Error> {
    let given = matches.opt_str("store");
    let Some(store) = given.as_deref().or(store) else {
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
        .ok_or_else(|| Error::new(format!("\"{text}\" is no number of seconds above zero")))
}

fn check_together(matches: &Matches, command: &Command) -> Result<(), Error> {
    let for_timeline = FILTERS.iter().chain(&["follow"]);
    let mut present = for_timeline.filter(|name| matches.opt_present(name));
    match (present.next(), command) {
        (None, _) | (_, Command::Timeline { .. }) => Ok(()),
        (Some(name), _) => Err(Error::new(format!("--{name} goes with timeline only"))),
    }
}

fn command(matches: &Matches) -> Result<Command, Error> {
    let words: Vec<_> = matches.free.iter().map(String::as_str).collect();
    if let Some(command) = object_command(&words)? {
        return Ok(command);
    }
    match words[..] {
        ["host", "list"] => Ok(Command::ListHosts),
        ["host", "lost", name] => Ok(Command::LostHost(name.into())),
        ["status"] => Ok(Command::Status),
        ["owner", service, key] => Ok(Command::Owner(key_query(service, key))),
        ["explain", service, key] => Ok(Command::Explain(key_query(service, key))),
        ["timeline"] => timeline(matches),
        [] => Err(Error::new("no command")),
        _ => Err(Error::new(format!("no such command: {}", words.join(" ")))),
    }
}

/// Parses the commands that read or change the configuration.
fn object_command(words: &[&str]) -> Result<Option<Command>, Error> {
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
        ["backend", verb, service, name] => match mark(verb) {
            Some(mark) => Change::MarkBackend(service.into(), name.into(), mark),
            None => return Ok(None),
        },
        ["preset", "choose", name] => Change::ChoosePreset(preset(name)?),
        ["config", "apply", file] => Change::Apply(PathBuf::from(file)),
        _ => return Ok(None),
    };
    Ok(Some(change))
}

fn mark(verb: &str) -> Option<Mark> {
    match verb {
        "drain" => Some(Mark::Drain),
        "undrain" => Some(Mark::Undrain),
        "lost" => Some(Mark::Lost),
        "remove" => Some(Mark::Remove),
        _ => None,
    }
}

fn backend(name: &str, addr: &str, place: &str, shard: &str) -> Result<Backend, Error> {
    let index = shard
        .parse()
        .map_err(|_| Error::new(format!("\"{shard}\" is no number of a shard")))?;
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
        .map_err(|_| Error::new(format!("\"{text}\" is no IP address with a port")))
}
