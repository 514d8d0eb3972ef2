//! Arguments, good and bad.

use std::time::Duration;

use tarragon_timeline::event::Kind;
use tarragonctl::args::{self, DEFAULT_TIMEOUT};
use tarragonctl::command::{Change, Command, Invocation, Mark, Options, Show};
use tarragonctl::usage;

fn parse(line: &str) -> Result<Invocation, args::Error> {
    let args: Vec<&str> = line.split_whitespace().collect();
    args::parse(&args, Some("127.0.0.1:7900"))
}

fn work(line: &str) -> (Command, Options) {
    match parse(line) {
        Ok(Invocation::Work(command, options)) => (command, options),
        other => panic!("{line}: {other:?}"),
    }
}

/// Names a case of arguments that make a command.
macro_rules! good {
    ($($name:ident: $line:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            let (command, _) = work($line);
            assert!(matches!(command, $expected), "{command:?}");
        }
    )*};
}

good! {
    service_list: "service list" => Command::Show(Show::Services),
    service_create: "service create f" => Command::Change(Change::CreateService(_)),
    service_change: "service change f" => Command::Change(Change::ChangeService(_)),
    service_remove: "service remove s" => Command::Change(Change::RemoveService(_)),
    place_list: "place list" => Command::Show(Show::Places),
    place_add: "place add hub sindh" => Command::Change(Change::AddPlace(_)),
    place_remove: "place remove hub" => Command::Change(Change::RemovePlace(_)),
    backend_list: "backend list" => Command::Show(Show::Backends(None)),
    backend_list_one: "backend list s" => Command::Show(Show::Backends(Some(_))),
    backend_add: "backend add s b 10.0.0.1:80 hub 3" => Command::Change(Change::AddBackend(..)),
    backend_drain: "backend drain s b"
        => Command::Change(Change::MarkBackend(_, _, Mark::Drain)),
    backend_undrain: "backend undrain s b"
        => Command::Change(Change::MarkBackend(_, _, Mark::Undrain)),
    backend_lost: "backend lost s b" => Command::Change(Change::MarkBackend(_, _, Mark::Lost)),
    backend_remove: "backend remove s b"
        => Command::Change(Change::MarkBackend(_, _, Mark::Remove)),
    preset_show: "preset show" => Command::Show(Show::Presets),
    preset_choose: "preset choose peak" => Command::Change(Change::ChoosePreset(_)),
    config_show: "config show" => Command::Show(Show::Config),
    config_apply: "config apply f" => Command::Change(Change::Apply(_)),
    host_list: "host list" => Command::ListHosts,
    host_lost: "host lost h1" => Command::LostHost(_),
    status: "status" => Command::Status,
    owner: "owner s k" => Command::Owner(_),
    explain: "explain s k" => Command::Explain(_),
    timeline: "timeline --shard s.0 --kind owner-moved --follow" => Command::Timeline { follow: true, .. },
}

/// Names a case of arguments that make none, and a text of the error.
macro_rules! bad {
    ($($name:ident: $line:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = parse($line).expect_err("bad arguments").to_string();
            assert!(error.contains($expected), "{error}");
            assert!(error.contains("--help"), "{error}");
        }
    )*};
}

bad! {
    nothing: "" => "no command";
    unknown_command: "service burn s" => "no such command: service burn s";
    unknown_verb: "backend burn s b" => "no such command: backend burn s b";
    missing_word: "owner s" => "no such command: owner s";
    unknown_option: "status --loud" => "loud";
    unknown_preset: "preset choose calm" => "no such preset: calm";
    unknown_kind: "timeline --kind party" => "no such kind of event: party";
    bad_shard: "backend add s b 10.0.0.1:80 hub x" => "no number of a shard";
    bad_address: "backend add s b here hub 0" => "no IP address with a port";
    bad_store: "status --store here" => "no IP address with a port";
    bad_timeout: "status --timeout 0" => "above zero";
    negative_timeout: "status --timeout=-1" => "above zero";
    filter_elsewhere: "status --key k" => "--key goes with timeline only";
    follow_elsewhere: "status --follow" => "--follow goes with timeline only";
}

#[test]
fn options_have_defaults() {
    let (_, options) = work("status");
    assert_eq!(
        (options.timeout, options.json, options.retry),
        (DEFAULT_TIMEOUT, false, false)
    );
    let (_, options) = work("--json --retry --timeout 0.5 --store 10.0.0.1:1 status");
    assert_eq!(
        (options.timeout, options.json, options.retry),
        (Duration::from_millis(500), true, true)
    );
    assert_eq!(options.store.to_string(), "10.0.0.1:1");
}

#[test]
fn a_store_is_needed() {
    let error = args::parse(&["status"], None)
        .expect_err("no store")
        .to_string();
    assert!(error.contains("TARRAGON_STORE"), "{error}");
    let check = ["config", "check", "f"];
    assert!(matches!(
        args::parse(&check, None),
        Ok(Invocation::CheckFile(_))
    ));
}

#[test]
fn a_filter_takes_every_criterion() {
    let line = "timeline --key k --host h1 --request r --shard s.0 --kind owner-held";
    let (Command::Timeline { filter, follow }, _) = work(line) else {
        panic!()
    };
    assert!(!follow);
    assert_eq!(filter.key.as_deref(), Some("k"));
    assert_eq!(filter.host, Some("h1".into()));
    assert_eq!(filter.request.as_deref(), Some("r"));
    assert_eq!(filter.shard.as_deref(), Some("s.0"));
    assert_eq!(filter.kind, Some(Kind::OwnerPending));
}

#[test]
fn the_page_of_commands_shows_the_help() {
    let page = include_str!("../../../docs/operators/commands.md");
    assert!(
        page.contains(usage::TEXT),
        "docs/operators/commands.md must show --help as it is"
    );
}
