//! Changes of the configuration: conflicts, lost responses, and changes that do not apply.

mod common;

use std::time::Duration;

use common::{Fault, Store};
use tarragon_model::config::{Backend, Config, Place, PresetName};
use tarragon_store::object::Version;
use tarragonctl::change::{self, Accepted, RetryPolicy};
use tarragonctl::command::BackendAction;
use tarragonctl::edit::Edit;
use tarragonctl::error::Error;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

fn config(preset: PresetName) -> Config {
    Config {
        token: "other".to_owned(),
        preset,
        ..Config::default()
    }
}

fn place(name: &str) -> Place {
    Place {
        name: name.to_owned(),
        region: "sindh".to_owned(),
    }
}

fn choose_peak(store: &Store, retry_conflicts: bool) -> Result<Accepted, Error> {
    apply(
        store,
        &Edit::ChoosePreset(PresetName::Peak),
        retry_conflicts,
    )
}

fn apply(store: &Store, edit: &Edit, retry_conflicts: bool) -> Result<Accepted, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let deadline = Instant::now() + Duration::from_millis(50);
    let policy = RetryPolicy {
        retry_conflicts,
        deadline,
    };
    runtime.block_on(change::apply(
        store,
        edit,
        policy,
        &CancellationToken::new(),
    ))
}

#[test]
fn a_change_is_written_once_with_a_fresh_token() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    let accepted = choose_peak(&store, false).expect("accepted");
    assert_eq!((accepted.version, accepted.written), (Version(2), true));
    assert_eq!(store.config(), accepted.config);
    assert_ne!(store.config().token, "other");
    let again = choose_peak(&store, false).expect("already present");
    assert_eq!((again.version, again.written), (Version(2), false));
    assert_eq!(store.puts(), 1);
}

#[test]
fn the_first_change_creates_the_object() {
    let store = Store::default();
    assert!(choose_peak(&store, false).expect("accepted").written);
    assert_eq!(store.config().preset, PresetName::Peak);
}

#[test]
fn a_conflict_reports_the_current_version() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    store.fail_next(Fault::ConcurrentWrite(config(PresetName::Maintenance)));
    let error = choose_peak(&store, false).expect_err("a conflict");
    let Error::Conflict { current, base } = &error else {
        panic!("{error}")
    };
    assert_eq!((*current, *base), (Version(2), Version(1)));
    assert!(
        error.to_string().contains("version 2 is in place"),
        "{error}"
    );
    assert_eq!(error.code(), 4);
    assert_eq!(store.config().preset, PresetName::Maintenance);
}

#[test]
fn a_retry_keeps_both_changes() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    let mut winner = config(PresetName::Ordinary);
    winner.places.push(place("hub"));
    store.fail_next(Fault::ConcurrentWrite(winner));
    choose_peak(&store, true).expect("accepted");
    assert_eq!(store.config().preset, PresetName::Peak);
    assert_eq!(store.config().places, [place("hub")]);
}

#[test]
fn a_retry_stops_when_the_change_no_longer_applies() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    let mut winner = config(PresetName::Ordinary);
    winner.places.push(Place {
        region: "punjab".to_owned(),
        ..place("hub")
    });
    store.fail_next(Fault::ConcurrentWrite(winner.clone()));
    let error = apply(&store, &Edit::AddPlace(place("hub")), true).expect_err("a rejection");
    assert!(matches!(error, Error::Edit(_)), "{error}");
    assert_eq!(store.config(), winner);
}

#[test]
fn the_same_change_by_another_operator_counts_as_success() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    store.fail_next(Fault::ConcurrentWrite(config(PresetName::Peak)));
    let accepted = choose_peak(&store, false).expect("already present");
    assert_eq!((accepted.version, accepted.written), (Version(2), false));
}

/// Defines a test: a change whose only write meets the fault ends with the expected result.
macro_rules! faulty_writes {
    ($($name:ident: $fault:expr => $expected:pat,)*) => {$(
        #[test]
        fn $name() {
            let store = Store::with_config(&config(PresetName::Ordinary));
            store.fail_next($fault);
            let result = choose_peak(&store, false);
            assert!(matches!(result, $expected), "{result:?}");
            assert_eq!(store.puts(), 1);
        }
    )*};
}

faulty_writes! {
    response_lost: Fault::ResponseLost => Ok(Accepted { written: true, .. }),
    request_lost: Fault::RequestLost => Err(Error::OutcomeUnknown { base: Version(1), .. }),
    request_lost_after_a_concurrent_write:
        Fault::RequestLostAfterConcurrentWrite(config(PresetName::Maintenance))
        => Err(Error::Conflict { current: Version(2), .. }),
    response_lost_then_overwritten:
        Fault::ResponseLostThenOverwritten(config(PresetName::Maintenance))
        => Err(Error::Conflict { current: Version(3), .. }),
    response_lost_then_same_change_by_another:
        Fault::ResponseLostThenOverwritten(config(PresetName::Peak))
        => Ok(Accepted { written: false, version: Version(3), .. }),
}

fn with_service() -> Config {
    let mut config: Config = serde_json::from_value(serde_json::json!({
        "places": [{ "name": "hub", "region": "sindh" }],
        "services": [{
            "name": "balance", "keyed": true, "checks_fences": true,
            "groups": 8, "shards": [{ "weight": 1 }],
            "backends": [
                { "id": "b0", "addr": "127.0.0.1:1", "place": "hub", "shard": 0 },
                { "id": "b1", "addr": "127.0.0.1:2", "place": "hub", "shard": 0 }
            ],
            "slots": 6, "connections": 110, "deadline_ms": 1000
        }]
    }))
    .expect("a configuration");
    config.services[0].backends[1].draining = true;
    config
}

fn backend(port: u16) -> Backend {
    let mut backend = with_service().services[0].backends[0].clone();
    backend.id = "b2".into();
    backend.addr.set_port(port);
    backend
}

/// Defines a test: the edit is rejected with an error that contains the text.
macro_rules! rejected {
    ($($name:ident: $edit:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = $edit.apply(&with_service()).expect_err("a rejection");
            assert!(error.to_string().contains($expected), "{error}");
        }
    )*};
}

rejected! {
    no_such_service: Edit::RemoveService("x".into()) => "no service \"x\"";
    place_in_use: Edit::RemovePlace("hub".to_owned()) => "there is no place \"hub\"";
    no_such_place: Edit::RemovePlace("x".to_owned()) => "place list";
    no_such_backend: Edit::ChangeBackend("balance".into(), "x".into(), BackendAction::Drain)
        => "backend list";
    backend_in_service: Edit::ChangeBackend("balance".into(), "b0".into(), BackendAction::Remove)
        => "drain it";
    duplicate_address: Edit::AddBackend("balance".into(), backend(1)) => "is used more than once";
    changed_groups: {
        let mut service = with_service().services.remove(0);
        service.groups = 9;
        Edit::ChangeService(service)
    } => "groups cannot change";
    create_existing_service: {
        let mut service = with_service().services.remove(0);
        service.slots = 9;
        Edit::CreateService(service)
    } => "already exists";
}

#[test]
fn backend_servers_are_added_and_removed() {
    let add = Edit::AddBackend("balance".into(), backend(3));
    let config = add.apply(&with_service()).expect("added");
    assert_eq!(config.services[0].backends.len(), 3);
    assert!(add.is_applied(&config));
    let remove = Edit::ChangeBackend("balance".into(), "b1".into(), BackendAction::Remove);
    let config = remove.apply(&config).expect("removed");
    assert_eq!(config.services[0].backends.len(), 2);
    assert!(remove.is_applied(&config));
    let lost = Edit::ChangeBackend("balance".into(), "b0".into(), BackendAction::Lost);
    assert!(lost.apply(&config).expect("lost").services[0].backends[0].lost);
}
