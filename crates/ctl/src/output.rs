//! Results for people and for scripts.

use std::fmt::Write as _;

use serde::Serialize;
use serde_json::{Value, json};
use tarragon_model::config::{Backend, Config, Preset, PresetName, Service};
use tarragon_model::host::{Entry, State};
use tarragon_model::service;

use crate::change::{Accepted, Current};
use crate::error::NOT_IN_FORCE;
use crate::force::Reach;
use crate::host::Explanation;
use crate::lost::Lost;
use crate::status::{Fleet, Host};

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Text for people, with a final line feed.
    pub text: String,
    /// The same for scripts.
    pub json: Value,
    /// Exit code.
    pub code: u8,
}

impl Output {
    fn new(text: String, json: impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or(Value::Null);
        Self {
            text,
            json,
            code: 0,
        }
    }

    fn of_json(json: impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or(Value::Null);
        let text = format!("{json:#}\n");
        Self {
            text,
            json,
            code: 0,
        }
    }
}

/// Returns the text of a preset's name.
#[must_use]
pub fn preset_text(name: PresetName) -> &'static str {
    match name {
        PresetName::Ordinary => "ordinary",
        PresetName::Peak => "peak",
        PresetName::Maintenance => "maintenance",
    }
}

/// Shows the whole configuration.
#[must_use]
pub fn config(current: &Current) -> Output {
    Output::of_json(json!({ "version": current.version, "config": current.config }))
}

/// Shows one service.
#[must_use]
pub fn service(service: &Service) -> Output {
    Output::of_json(service)
}

/// Lists the services.
#[must_use]
pub fn services(config: &Config) -> Output {
    let mut text = String::new();
    for service in &config.services {
        let keyed = if service.keyed { "keyed" } else { "unkeyed" };
        let _ = writeln!(
            text,
            "{:<20} {keyed:<8} shards={} backends={}",
            service.name.as_str(),
            service.shards.len(),
            service.backends.len()
        );
    }
    let names: Vec<_> = config
        .services
        .iter()
        .map(|service| &service.name)
        .collect();
    Output::new(text, names)
}

/// Lists the places.
#[must_use]
pub fn places(config: &Config) -> Output {
    let mut text = String::new();
    for place in &config.places {
        let _ = writeln!(text, "{:<20} region={}", place.name, place.region);
    }
    Output::new(text, &config.places)
}

/// Lists the backend servers of one service or of all.
#[must_use]
pub fn backends(config: &Config, only: Option<&service::Id>) -> Output {
    let mut text = String::new();
    let mut list = Vec::new();
    for service in &config.services {
        if only.is_some_and(|only| *only != service.name) {
            continue;
        }
        for backend in &service.backends {
            backend_line(&mut text, service, backend);
            list.push(json!({ "service": service.name, "backend": backend }));
        }
    }
    Output::new(text, list)
}

fn backend_line(text: &mut String, service: &Service, backend: &Backend) {
    let state = match backend {
        Backend { lost: true, .. } => "lost",
        Backend { draining: true, .. } => "draining",
        _ => "in-service",
    };
    let _ = writeln!(
        text,
        "{:<20} {:<20} {state:<10} shard={} addr={} place={}",
        service.name.as_str(),
        backend.id.as_str(),
        backend.shard,
        backend.addr,
        backend.place
    );
}

/// Shows the presets.
#[must_use]
pub fn presets(config: &Config) -> Output {
    let presets = &config.presets;
    let all = [
        (PresetName::Ordinary, &presets.ordinary),
        (PresetName::Peak, &presets.peak),
        (PresetName::Maintenance, &presets.maintenance),
    ];
    let mut text = String::new();
    for (name, preset) in all {
        let chosen = if name == config.preset { '*' } else { ' ' };
        preset_line(&mut text, chosen, name, preset);
    }
    Output::new(text, json!({ "chosen": config.preset, "presets": presets }))
}

fn preset_line(text: &mut String, chosen: char, name: PresetName, preset: &Preset) {
    let _ = writeln!(
        text,
        "{chosen} {:<12} slots_percent={} wait_percent={} retry_percent={} rebalance={} \
         min_weight={}",
        preset_text(name),
        preset.slots_percent,
        preset.wait_percent,
        preset.retry_percent,
        preset.rebalance,
        preset.min_weight
    );
}

/// Tells that a change is accepted, before it is in force.
#[must_use]
pub fn accepted(change: &Accepted) -> String {
    if change.written {
        format!("accepted as version {}\n", change.version)
    } else {
        format!("already so in version {}\n", change.version)
    }
}

/// Tells how far an accepted change has got.
#[must_use]
pub fn reached(change: &Accepted, reach: &Reach) -> Output {
    let mut text = String::new();
    if reach.is_complete() {
        let _ = writeln!(text, "in force everywhere: version {}", change.version);
    } else {
        let _ = writeln!(text, "not yet seen in force everywhere; still missing:");
        missing(&mut text, "shards", &reach.shards);
        missing(&mut text, "hosts with an older version", &reach.hosts);
        missing(&mut text, "hosts that do not answer", &reach.silent);
    }
    let json = json!({
        "version": change.version,
        "written": change.written,
        "in_force": reach.is_complete(),
        "missing": reach,
    });
    let code = if reach.is_complete() { 0 } else { NOT_IN_FORCE };
    Output {
        code,
        ..Output::new(text, json)
    }
}

fn missing(text: &mut String, what: &str, names: &[String]) {
    if !names.is_empty() {
        let _ = writeln!(text, "  {what}: {}", names.join(" "));
    }
}

/// Lists the hosts.
#[must_use]
pub fn hosts(entries: &[Entry]) -> Output {
    let mut text = String::new();
    for entry in entries {
        let _ = writeln!(
            text,
            "{:<12} {:<8} region={} failure_domain={} admin={}",
            entry.id.as_str(),
            listed_text(entry.state),
            entry.region,
            entry.failure_domain,
            entry.admin_addr
        );
    }
    Output::new(text, entries)
}

fn listed_text(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Leaving => "leaving",
    }
}

/// Tells that a host is declared lost.
#[must_use]
pub fn lost(lost: &Lost) -> Output {
    let text = format!(
        "{} is declared lost up to incarnation {}\n",
        lost.host, lost.incarnation
    );
    let json = json!({
        "host": lost.host,
        "incarnation": lost.incarnation,
        "version": lost.version,
    });
    Output::new(text, json)
}

/// Shows the owner of a key, with the reasons if asked for.
#[must_use]
pub fn owner(answer: &Explanation, reasons: bool) -> Output {
    let known = |label: &Option<crate::host::Label>| {
        label
            .as_ref()
            .map_or_else(|| "-".to_owned(), |label| label.0.clone())
    };
    let mut text = format!(
        "owner={} shard={} group={} leader={}\n",
        known(&answer.owner),
        known(&answer.shard),
        known(&answer.group),
        known(&answer.leader)
    );
    for reason in answer.why.iter().filter(|_| reasons) {
        let _ = writeln!(text, "  {reason}");
    }
    Output::new(text, answer)
}

/// Shows the fleet at a glance.
#[must_use]
pub fn fleet(fleet: &Fleet) -> Output {
    let mut text = format!("config version={} preset={}\n", fleet.version, fleet.preset);
    for host in &fleet.hosts {
        host_line(&mut text, host);
        for shard in &host.acting {
            let running: u64 = shard.backends.iter().map(|backend| backend.running).sum();
            let queued: u64 = shard.backends.iter().map(|backend| backend.queued).sum();
            let _ = writeln!(
                text,
                "  leads {} fence={} running={running} queued={queued}",
                shard.shard.0, shard.fence.0
            );
        }
    }
    missing(&mut text, "shards without a leader", &fleet.idle_shards);
    missing(
        &mut text,
        "shards with an older version",
        &fleet.reach.shards,
    );
    missing(&mut text, "hosts that do not answer", &fleet.reach.silent);
    for (name, count) in fleet.invariants.iter().filter(|(_, count)| **count > 0) {
        let _ = writeln!(text, "  BROKEN invariant {name}: {count}");
    }
    Output::new(text, fleet)
}

fn host_line(text: &mut String, host: &Host) {
    let state = match &host.status {
        None => "silent",
        Some(status) if status.draining => "draining",
        Some(_) => "serving",
    };
    let version = host
        .status
        .as_ref()
        .map_or(0, |status| status.config_version);
    let _ = writeln!(
        text,
        "{:<12} {state:<9} listed={} failure_domain={} config={version}",
        host.host,
        listed_text(host.listed),
        host.failure_domain
    );
}
