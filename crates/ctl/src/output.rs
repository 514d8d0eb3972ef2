//! Formats results as text and as JSON.

use std::fmt::Write as _;

use serde::Serialize;
use serde_json::{Value, json};
use tarragon_model::config::{Backend, Config, Preset, PresetName, Service};
use tarragon_model::host::{Entry, State};
use tarragon_model::service;

use crate::change::{Accepted, Current};
use crate::error::NOT_IN_FORCE;
use crate::host::Explanation;
use crate::lost_host::Declaration;
use crate::rollout::Progress;
use crate::status::{Fleet, Host};

/// Result of a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Text, with a final newline.
    pub text: String,
    /// The same result as JSON.
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

    fn from_json(json: impl Serialize) -> Self {
        let json = serde_json::to_value(json).unwrap_or(Value::Null);
        let text = format!("{json:#}\n");
        Self {
            text,
            json,
            code: 0,
        }
    }
}

/// Returns the name of a preset as configuration files write it.
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
    Output::from_json(json!({ "version": current.version, "config": current.config }))
}

/// Shows one service.
#[must_use]
pub fn service(service: &Service) -> Output {
    Output::from_json(service)
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

/// Shows the presets and marks the one in force.
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

/// Reports that a change is accepted, before it is in force.
#[must_use]
pub fn accepted(change: &Accepted) -> String {
    if change.written {
        format!("accepted as version {}\n", change.version)
    } else {
        format!("already so in version {}\n", change.version)
    }
}

/// Reports whether an accepted change is in force, and where it is not yet.
#[must_use]
pub fn rollout(change: &Accepted, progress: &Progress) -> Output {
    let mut text = String::new();
    if progress.is_complete() {
        let _ = writeln!(text, "in force everywhere: version {}", change.version);
    } else {
        let _ = writeln!(text, "not yet seen in force everywhere; still missing:");
        write_names(&mut text, "shards", &progress.lagging_shards);
        write_names(
            &mut text,
            "hosts with an older version",
            &progress.lagging_hosts,
        );
        write_names(
            &mut text,
            "hosts that do not answer",
            &progress.unreachable_hosts,
        );
    }
    let json = json!({
        "version": change.version,
        "written": change.written,
        "in_force": progress.is_complete(),
        "missing": progress,
    });
    let code = if progress.is_complete() {
        0
    } else {
        NOT_IN_FORCE
    };
    Output {
        code,
        ..Output::new(text, json)
    }
}

fn write_names(text: &mut String, what: &str, names: &[String]) {
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
            list_state_text(entry.state),
            entry.region,
            entry.failure_domain,
            entry.admin_addr
        );
    }
    Output::new(text, entries)
}

fn list_state_text(state: State) -> &'static str {
    match state {
        State::Live => "live",
        State::Leaving => "leaving",
    }
}

/// Reports that a host is declared lost.
#[must_use]
pub fn lost_host(declaration: &Declaration) -> Output {
    let text = format!(
        "{} is declared lost up to incarnation {}\n",
        declaration.host, declaration.incarnation
    );
    let json = json!({
        "host": declaration.host,
        "incarnation": declaration.incarnation,
        "version": declaration.version,
    });
    Output::new(text, json)
}

/// Shows the owner of a key, and the reasons for it if `with_reasons` is set.
#[must_use]
pub fn owner(explanation: &Explanation, with_reasons: bool) -> Output {
    let or_dash = |label: &Option<crate::host::Label>| {
        label
            .as_ref()
            .map_or_else(|| "-".to_owned(), |label| label.0.clone())
    };
    let mut text = format!(
        "owner={} shard={} group={} leader={}\n",
        or_dash(&explanation.owner),
        or_dash(&explanation.shard),
        or_dash(&explanation.group),
        or_dash(&explanation.leader)
    );
    for reason in explanation.reasons.iter().filter(|_| with_reasons) {
        let _ = writeln!(text, "  {reason}");
    }
    Output::new(text, explanation)
}

/// Shows a summary of the fleet.
#[must_use]
pub fn fleet(fleet: &Fleet) -> Output {
    let mut text = format!("config version={} preset={}\n", fleet.version, fleet.preset);
    for host in &fleet.hosts {
        host_line(&mut text, host);
        for shard in &host.led_shards {
            let running: u64 = shard.backends.iter().map(|backend| backend.running).sum();
            let queued: u64 = shard.backends.iter().map(|backend| backend.queued).sum();
            let _ = writeln!(
                text,
                "  leads {} fence={} running={running} queued={queued}",
                shard.shard.0, shard.fence.0
            );
        }
    }
    write_names(
        &mut text,
        "shards without a leader",
        &fleet.leaderless_shards,
    );
    write_names(
        &mut text,
        "shards with an older version",
        &fleet.rollout.lagging_shards,
    );
    write_names(
        &mut text,
        "hosts that do not answer",
        &fleet.rollout.unreachable_hosts,
    );
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
        list_state_text(host.listed),
        host.failure_domain
    );
}
