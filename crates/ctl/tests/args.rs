//! Parsing of valid and invalid command lines.

use std::time::Duration;

use tarragon_timeline::event::Kind;
use tarragonctl::args::{self, DEFAULT_TIMEOUT};
use tarragonctl::command::{BackendAction, Change, Command, Invocation, Options, Show};
use tarragonctl::usage;

fn parse(line: &str) -> Result<Invocation, args::Error> {
    let args: Vec<&str> = line.split_whitespace().collect();
    args::parse(&args, Some("127.0.0.1:7900"))
}

fn parse_command(line: &str) -> (Command, Options) {
    match parse(line) {
        Ok(Invocation::Run(command, options)) => (command, options),
        other => panic!("{line}: {other:?}"),
    }
}

/// Defines a test: the arguments parse into a command that matches the pattern.
macro_rules! valid {
    ($($name:ident: $line:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            let (command, _) = parse_command($line);
            assert!(matches!(command, $expected), "{command:?}");
        }
    )*};
}

valid! {
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
        => Command::Change(Change::ChangeBackend(_, _, BackendAction::Drain)),
    backend_undrain: "backend undrain s b"
        => Command::Change(Change::ChangeBackend(_, _, BackendAction::Undrain)),
    backend_lost: "backend lost s b" => Command::Change(Change::ChangeBackend(_, _, BackendAction::Lost)),
    backend_remove: "backend remove s b"
        => Command::Change(Change::ChangeBackend(_, _, BackendAction::Remove)),
    preset_show: "preset show" => Command::Show(Show::Presets),
    preset_choose: "preset choose peak" => Command::Change(Change::ChoosePreset(_)),
    config_show: "config show" => Command::Show(Show::Config),
    config_apply: "config apply f" => Command::Change(Change::Apply(_)),
    host_list: "host list" => Command::ListHosts,
    host_lost: "host lost h1" => Command::DeclareHostLost(_),
    status: "status" => Command::Status,
    owner: "owner s k" => Command::Owner(_),
    explain: "explain s k" => Command::Explain(_),
    timeline: "timeline --shard s.0 --kind owner-moved --follow" => Command::Timeline { follow: true, .. },
}

/// Defines a test: the arguments are rejected with an error that contains the text and refers to
/// `--help`.
macro_rules! invalid {
    ($($name:ident: $line:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = parse($line).expect_err("invalid arguments").to_string();
            assert!(error.contains($expected), "{error}");
            assert!(error.contains("--help"), "{error}");
        }
    )*};
}

invalid! {
    empty: "" => "no command given";
    unknown_command: "service burn s" => "no such command: service burn s";
    unknown_verb: "backend burn s b" => "no such command: backend burn s b";
    missing_argument: "owner s" => "no such command: owner s";
    unknown_option: "status --loud" => "loud";
    unknown_preset: "preset choose calm" => "no such preset: calm";
    unknown_kind: "timeline --kind party" => "no such kind of event: party";
    invalid_shard: "backend add s b 10.0.0.1:80 hub x" => "is not a shard number";
    invalid_address: "backend add s b here hub 0" => "is not an IP address with a port";
    invalid_store: "status --store here" => "is not an IP address with a port";
    zero_timeout: "status --timeout 0" => "above zero";
    negative_timeout: "status --timeout=-1" => "above zero";
    filter_without_timeline: "status --key k" => "--key is an option of timeline only";
    follow_without_timeline: "status --follow" => "--follow is an option of timeline only";
}

#[test]
fn options_have_defaults() {
    let (_, options) = parse_command("status");
    assert_eq!(
        (options.timeout, options.json, options.retry),
        (DEFAULT_TIMEOUT, false, false)
    );
    let (_, options) = parse_command("--json --retry --timeout 0.5 --store 10.0.0.1:1 status");
    assert_eq!(
        (options.timeout, options.json, options.retry),
        (Duration::from_millis(500), true, true)
    );
    assert_eq!(options.store.to_string(), "10.0.0.1:1");
}

#[test]
fn the_store_address_is_required() {
    let error = args::parse(&["status"], None)
        .expect_err("no store")
        .to_string();
    assert!(error.contains("TARRAGON_STORE"), "{error}");
    let check = ["config", "check", "f"];
    assert!(matches!(
        args::parse(&check, None),
        Ok(Invocation::CheckConfig(_))
    ));
}

#[test]
fn a_filter_combines_every_criterion() {
    let line = "timeline --key k --host h1 --request r --shard s.0 --kind owner-held";
    let (Command::Timeline { filter, follow }, _) = parse_command(line) else {
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
