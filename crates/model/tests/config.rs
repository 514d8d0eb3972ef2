//! Tests of the configuration checks.

use std::fs;
use std::path::Path;

use proptest::prelude::*;
use tarragon_model::config::{self, Config, Problem, Shard};
use tarragon_model::settings;

const TEXT: &str = r#"{
  "places": [{ "name": "karachi-1", "region": "sindh" }],
  "services": [{
    "name": "balance", "keyed": true, "checks_fences": true,
    "groups": 8, "shards": [{ "weight": 1 }, { "weight": 1 }],
    "backends": [
      { "id": "b0", "addr": "127.0.0.1:1", "place": "karachi-1", "shard": 0 },
      { "id": "b1", "addr": "127.0.0.1:2", "place": "karachi-1", "shard": 1 }
    ],
    "slots": 6, "connections": 110, "deadline_ms": 1000,
    "classes": [
      { "name": "long", "prefix": "chart", "weight": 1, "max_slots": 3 },
      { "name": "short", "weight": 2, "max_slots": 6 }
    ]
  }]
}
"#;

fn valid() -> Config {
    serde_json::from_str(TEXT).expect("a configuration")
}

fn texts(result: Result<(), Vec<Problem>>) -> Vec<String> {
    let problems = result.err().unwrap_or_default();
    problems.iter().map(ToString::to_string).collect()
}

/// Defines tests that change a valid configuration and expect exactly one problem, whose text
/// starts with the given path.
macro_rules! refused {
    ($($check:ident $name:ident: $change:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut config = valid();
            let change: fn(&mut Config) = $change;
            change(&mut config);
            let texts = texts(refused!(@$check config));
            assert_eq!(texts.len(), 1, "{texts:?}");
            assert!(texts[0].starts_with($expected), "{texts:?}");
        }
    )*};
    (@alone $config:ident) => { config::check(&$config) };
    (@change $config:ident) => { config::check_change(&valid(), &$config) };
}

refused! {
    alone place_twice: |c| c.places.push(c.places[0].clone()) => "places[1].name: ";
    alone place_unnamed: |c| c.places[0].region.clear() => "places[0].region: ";
    alone service_name: |c| c.services[0].name = "A".into() => "services[0].name: ";
    alone no_groups: |c| c.services[0].groups = config::MAX_GROUPS + 1 => "services[0].groups: ";
    alone no_slots: |c| c.services[0].connections = 0 => "services[0].connections: ";
    alone no_deadline: |c| c.services[0].deadline_ms = 0 => "services[0].deadline_ms: ";
    alone weightless: |c| c.services[0].shards[1].weight = 0 => "services[0].shards[1]: ";
    alone shard_without_backend: |c| { c.services[0].backends.pop(); } => "services[0].shards[1]: ";
    alone no_such_shard: |c| {
        let mut backend = c.services[0].backends[0].clone();
        backend.id = "b2".into();
        backend.addr.set_port(3);
        backend.shard = 2;
        c.services[0].backends.push(backend);
    } => "services[0].backends[2].shard: ";
    alone no_such_place: |c| c.services[0].backends[0].place = "x".into()
        => "services[0].backends[0].place: ";
    alone backend_twice: |c| c.services[0].backends[1].id = "b0".into()
        => "services[0].backends[1].id: ";
    alone address_twice: |c| c.services[0].backends[1].addr.set_port(1)
        => "services[0].backends[1].addr: ";
    alone class_slots: |c| c.services[0].classes[0].max_slots = 7
        => "services[0].classes[0].max_slots: ";
    alone last_class: |c| c.services[0].classes[1].prefix = "x".into()
        => "services[0].classes[1].prefix: ";
    alone no_preset_slots: |c| c.presets.peak.slots_percent = 0 => "presets.peak.slots_percent: ";
    alone retries: |c| c.presets.peak.retry_percent = 101 => "presets.peak.retry_percent: ";
    change groups_change: |c| c.services[0].groups = 9 => "services[0].groups: ";
    change keyed_changes: |c| c.services[0].keyed = false => "services[0].keyed: ";
    change weights_change: |c| c.services[0].shards[0].weight = 2 => "services[0].shards: ";
    change shards_change: |c| { c.services[0].shards.pop(); } => "services[0].shards: ";
    change backend_moves: |c| c.services[0].backends[0].shard = 1
        => "services[0].backends[0].shard: ";
}

#[test]
fn valid_configurations_pass() {
    assert_eq!(config::check(&valid()), Ok(()));
    let mut next = valid();
    next.services[0].backends[0].draining = true;
    next.services[0].slots = 7;
    next.preset = config::PresetName::Peak;
    assert_eq!(config::check_change(&valid(), &next), Ok(()));
}

#[test]
fn a_problem_is_found_in_the_file() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("config.jsonc");
    let text = TEXT.replacen("karachi-1\", \"shard\": 1", "kotri\", \"shard\": 1", 1);
    fs::write(&path, text).expect("a file");
    let error = settings::load_config(&path).expect_err("an unknown place");
    assert!(
        error
            .to_string()
            .contains("config.jsonc:8:53: there is no place \"kotri\""),
        "{error}"
    );
}

proptest! {
    #[test]
    fn accepted_shards_own_groups(groups in 1_u32..200, weights in prop::collection::vec(0_u32..50, 1..9)) {
        let mut config = valid();
        let service = &mut config.services[0];
        service.groups = groups;
        service.shards = weights.iter().map(|&weight| Shard { weight }).collect();
        let backend = service.backends[0].clone();
        service.backends = (0..).zip(&weights).map(|(shard, _)| {
            let mut backend = backend.clone();
            backend.id = format!("b{shard}").as_str().into();
            backend.addr.set_port(shard + 1);
            backend.shard = shard;
            backend
        }).collect();
        let service = &config.services[0];
        let served = service.shard_ids().all(|id| service.groups_of(id.index).next().is_some());
        // If every weight is zero, `shard_of` falls back to shard 0 for all groups. No weight asks
        // for that, so the check rejects the configuration.
        let weighted = weights.iter().any(|weight| *weight > 0);
        prop_assert_eq!(config::check(&config).is_ok(), served && weighted);
    }
}
