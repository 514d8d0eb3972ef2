//! Changes that race, whose answers are lost, and that do not fit.

mod common;

use std::time::Duration;

use common::{Fault, Store};
use tarragon_model::config::{Backend, Config, Place, PresetName};
use tarragon_store::object::Version;
use tarragonctl::change::{self, Accepted, Plan};
use tarragonctl::command::Mark;
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

fn choose_peak(store: &Store, retry: bool) -> Result<Accepted, Error> {
    apply(store, &Edit::ChoosePreset(PresetName::Peak), retry)
}

fn apply(store: &Store, edit: &Edit, retry: bool) -> Result<Accepted, Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let until = Instant::now() + Duration::from_millis(50);
    let plan = Plan { retry, until };
    runtime.block_on(change::apply(store, edit, plan, &CancellationToken::new()))
}

#[test]
fn a_change_is_written_once_with_a_fresh_token() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    let accepted = choose_peak(&store, false).expect("accepted");
    assert_eq!((accepted.version, accepted.written), (Version(2), true));
    assert_eq!(store.config(), accepted.config);
    assert_ne!(store.config().token, "other");
    let again = choose_peak(&store, false).expect("already so");
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
fn the_loser_of_a_race_is_told_the_winner() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    store.fail_next(Fault::Overtaken(config(PresetName::Maintenance)));
    let error = choose_peak(&store, false).expect_err("a lost race");
    let Error::RaceLost { winner, base } = &error else {
        panic!("{error}")
    };
    assert_eq!((*winner, *base), (Version(2), Version(1)));
    assert!(
        error.to_string().contains("version 2 is in place"),
        "{error}"
    );
    assert_eq!(error.code(), 4);
    assert_eq!(store.config().preset, PresetName::Maintenance);
}

#[test]
fn a_retry_keeps_the_winner_and_the_loser() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    let mut winner = config(PresetName::Ordinary);
    winner.places.push(place("hub"));
    store.fail_next(Fault::Overtaken(winner));
    choose_peak(&store, true).expect("accepted");
    assert_eq!(store.config().preset, PresetName::Peak);
    assert_eq!(store.config().places, [place("hub")]);
}

#[test]
fn a_retry_ends_when_the_change_no_longer_fits() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    let mut winner = config(PresetName::Ordinary);
    winner.places.push(Place {
        region: "punjab".to_owned(),
        ..place("hub")
    });
    store.fail_next(Fault::Overtaken(winner.clone()));
    let error = apply(&store, &Edit::AddPlace(place("hub")), true).expect_err("no fit");
    assert!(matches!(error, Error::Edit(_)), "{error}");
    assert_eq!(store.config(), winner);
}

#[test]
fn an_equal_change_of_another_operator_is_success() {
    let store = Store::with_config(&config(PresetName::Ordinary));
    store.fail_next(Fault::Overtaken(config(PresetName::Peak)));
    let accepted = choose_peak(&store, false).expect("already so");
    assert_eq!((accepted.version, accepted.written), (Version(2), false));
}

/// Names a case of a lost answer and expects the result of the only write.
macro_rules! lost {
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

lost! {
    lost_after_the_effect: Fault::LostAfter => Ok(Accepted { written: true, .. }),
    lost_before_the_effect: Fault::LostBefore => Err(Error::FateUnknown { base: Version(1), .. }),
    lost_and_overtaken: Fault::LostAndOvertaken(config(PresetName::Maintenance))
        => Err(Error::RaceLost { winner: Version(2), .. }),
    lost_and_replaced: Fault::LostThenReplaced(config(PresetName::Maintenance))
        => Err(Error::RaceLost { winner: Version(3), .. }),
    lost_and_already_so: Fault::LostThenReplaced(config(PresetName::Peak))
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

/// Names a case of an edit that is refused with a text.
macro_rules! refused {
    ($($name:ident: $edit:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let error = $edit.apply(&with_service()).expect_err("a refusal");
            assert!(error.to_string().contains($expected), "{error}");
        }
    )*};
}

refused! {
    no_such_service: Edit::RemoveService("x".into()) => "no service \"x\"";
    place_in_use: Edit::RemovePlace("hub".to_owned()) => "there is no place \"hub\"";
    no_such_place: Edit::RemovePlace("x".to_owned()) => "place list";
    no_such_backend: Edit::MarkBackend("balance".into(), "x".into(), Mark::Drain) => "backend list";
    backend_in_service: Edit::MarkBackend("balance".into(), "b0".into(), Mark::Remove) => "drain it";
    used_address: Edit::AddBackend("balance".into(), backend(1)) => "is used more than once";
    other_groups: {
        let mut service = with_service().services.remove(0);
        service.groups = 9;
        Edit::ChangeService(service)
    } => "groups cannot change";
    create_over_another: {
        let mut service = with_service().services.remove(0);
        service.slots = 9;
        Edit::CreateService(service)
    } => "exists already";
}

#[test]
fn backend_servers_come_and_go() {
    let add = Edit::AddBackend("balance".into(), backend(3));
    let config = add.apply(&with_service()).expect("added");
    assert_eq!(config.services[0].backends.len(), 3);
    assert!(add.is_present(&config));
    let remove = Edit::MarkBackend("balance".into(), "b1".into(), Mark::Remove);
    let config = remove.apply(&config).expect("removed");
    assert_eq!(config.services[0].backends.len(), 2);
    assert!(remove.is_present(&config));
    let lost = Edit::MarkBackend("balance".into(), "b0".into(), Mark::Lost);
    assert!(lost.apply(&config).expect("lost").services[0].backends[0].lost);
}
