//! Validation of the configuration, so that routers never receive one that they cannot apply.

use std::collections::HashSet;
use std::hash::Hash;

use super::{Backend, Class, Config, Preset, Service};
use crate::problem::{Problem, Report};

/// Maximum number of key groups of a service.
pub const MAX_GROUPS: u32 = 1 << 20;

/// Checks a configuration without regard to the version that it replaces.
///
/// ```
/// use tarragon_model::config::{self, Config};
///
/// assert!(config::check(&Config::default()).is_ok());
/// ```
///
/// # Errors
///
/// Returns every problem found.
pub fn check(config: &Config) -> Result<(), Vec<Problem>> {
    collect(|report| {
        places(config, &mut report.field("places"));
        services(config, &mut report.field("services"));
        presets(config, &mut report.field("presets"));
    })
}

/// Checks a service on its own; the failure domains that it refers to are not checked.
///
/// # Errors
///
/// Returns every problem found.
pub fn check_service(service: &Service) -> Result<(), Vec<Problem>> {
    collect(|report| one_service(service, report))
}

/// Checks that `new` may replace `old`.
///
/// Owners are recorded by group and shard, so the settings that determine groups and shards cannot
/// change while a service of that name exists.
///
/// # Errors
///
/// Returns every change that is not allowed.
pub fn check_change(old: &Config, new: &Config) -> Result<(), Vec<Problem>> {
    collect(|report| {
        let mut report = report.field("services");
        for (index, service) in new.services.iter().enumerate() {
            if let Some(before) = old.service(service.name.as_str()) {
                service_change(before, service, &mut report.index(index));
            }
        }
    })
}

fn collect(check: impl FnOnce(&mut Report<'_>)) -> Result<(), Vec<Problem>> {
    let mut problems = Vec::new();
    check(&mut Report::new(&mut problems));
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

fn places(config: &Config, report: &mut Report<'_>) {
    let mut names = HashSet::new();
    for (index, place) in config.places.iter().enumerate() {
        let mut report = report.index(index);
        report.field("region").require_name(&place.region);
        let mut name = report.field("name");
        name.require_name(&place.name);
        unique(&mut names, place.name.as_str(), &mut name);
    }
}

fn services(config: &Config, report: &mut Report<'_>) {
    let mut names = HashSet::new();
    let mut addresses = HashSet::new();
    for (index, service) in config.services.iter().enumerate() {
        let mut report = report.index(index);
        unique(&mut names, service.name.as_str(), &mut report.field("name"));
        one_service(service, &mut report);
        for (index, backend) in service.backends.iter().enumerate() {
            let mut report = report.field("backends");
            let mut report = report.index(index);
            known_place(config, backend, &mut report.field("place"));
            unique(&mut addresses, backend.addr, &mut report.field("addr"));
        }
    }
}

fn known_place(config: &Config, backend: &Backend, report: &mut Report<'_>) {
    let known = config
        .places
        .iter()
        .any(|place| place.name == backend.place);
    report.require(
        known,
        format!("there is no place \"{}\"", backend.place),
        "add the place or name one that exists",
    );
}

fn one_service(service: &Service, report: &mut Report<'_>) {
    report.field("name").require_name(service.name.as_str());
    groups(service, &mut report.field("groups"));
    shards(service, &mut report.field("shards"));
    backends(service, &mut report.field("backends"));
    let counts = [
        ("slots", u32::from(service.slots)),
        ("connections", u32::from(service.connections)),
        ("deadline_ms", service.deadline_ms),
    ];
    for (field, count) in counts {
        report
            .field(field)
            .require(count > 0, "the value is zero", "use 1 or more");
    }
    classes(service, &mut report.field("classes"));
}

fn groups(service: &Service, report: &mut Report<'_>) {
    let count = service.groups;
    report.require(
        (1..=MAX_GROUPS).contains(&count),
        format!("{count} groups are out of range"),
        &format!("use 1 to {MAX_GROUPS}"),
    );
    report.require(
        u64::from(count) >= service.shards.len() as u64,
        format!("{count} groups are not enough for the shards"),
        "use at least one group for each shard",
    );
}

fn shards(service: &Service, report: &mut Report<'_>) {
    let count = service.shards.len();
    report.require(
        (1..=usize::from(u16::MAX)).contains(&count),
        format!("{count} shards are out of range"),
        "use 1 to 65535 shards",
    );
    let total: u64 = service
        .shards
        .iter()
        .map(|shard| u64::from(shard.weight))
        .sum();
    let mut start = 0;
    for (index, shard) in service.shards.iter().enumerate() {
        let end = start + u64::from(shard.weight);
        let mut report = report.index(index);
        report.require(
            has_group(service.groups, total, start, end),
            "the weight leaves the shard without a group",
            "raise the weight or the number of groups",
        );
        let served = service
            .backends
            .iter()
            .any(|backend| usize::from(backend.shard) == index);
        report.require(
            served,
            format!("shard {index} has no backend server"),
            "add a backend server with this shard or remove the shard",
        );
        start = end;
    }
}

/// Returns whether [`Service::shard_of`] assigns any group to the shard whose cumulative weights
/// range from `start` up to `end`, out of `total`.
fn has_group(groups: u32, total: u64, start: u64, end: u64) -> bool {
    if total == 0 || groups == 0 {
        return false;
    }
    let groups = u128::from(groups);
    let total = u128::from(total);
    let first = (u128::from(start) * groups).div_ceil(total);
    first < groups && first * total / groups < u128::from(end)
}

fn backends(service: &Service, report: &mut Report<'_>) {
    let mut names = HashSet::new();
    for (index, backend) in service.backends.iter().enumerate() {
        let mut report = report.index(index);
        let mut id = report.field("id");
        id.require_name(backend.id.as_str());
        unique(&mut names, backend.id.as_str(), &mut id);
        report.field("shard").require(
            usize::from(backend.shard) < service.shards.len(),
            format!("there is no shard {}", backend.shard),
            "shards are counted from zero; name one that exists",
        );
    }
}

fn classes(service: &Service, report: &mut Report<'_>) {
    let mut names = HashSet::new();
    let last = service.classes.len().saturating_sub(1);
    for (index, class) in service.classes.iter().enumerate() {
        let mut report = report.index(index);
        let mut name = report.field("name");
        name.require_name(&class.name);
        unique(&mut names, class.name.as_str(), &mut name);
        one_class(service, class, &mut report);
        report.field("prefix").require(
            index != last || class.prefix.is_empty(),
            "the last class must match every request",
            "remove the prefix of the last class or add a class without one",
        );
    }
}

fn one_class(service: &Service, class: &Class, report: &mut Report<'_>) {
    report.field("max_slots").require(
        (1..=service.slots).contains(&class.max_slots),
        format!("{} slots are out of range", class.max_slots),
        "use 1 up to the slots of the service",
    );
}

fn presets(config: &Config, report: &mut Report<'_>) {
    let presets = &config.presets;
    preset(&presets.ordinary, &mut report.field("ordinary"));
    preset(&presets.peak, &mut report.field("peak"));
    preset(&presets.maintenance, &mut report.field("maintenance"));
}

fn preset(preset: &Preset, report: &mut Report<'_>) {
    report.field("slots_percent").require(
        (1..=100).contains(&preset.slots_percent),
        format!("{} percent are out of range", preset.slots_percent),
        "use 1 to 100",
    );
    let shares = [
        ("wait_percent", preset.wait_percent),
        ("retry_percent", preset.retry_percent),
    ];
    for (field, percent) in shares {
        report.field(field).require(
            percent <= 100,
            format!("{percent} percent are out of range"),
            "use 0 to 100",
        );
    }
}

fn service_change(old: &Service, new: &Service, report: &mut Report<'_>) {
    let advice = "create a service with another name and move the callers to it";
    let fixed = [
        ("groups", old.groups == new.groups),
        ("shards", old.shards == new.shards),
        ("keyed", old.keyed == new.keyed),
    ];
    for (field, same) in fixed {
        let message = format!("{field} cannot change while service {} exists", new.name);
        report.field(field).require(same, message, advice);
    }
    let mut report = report.field("backends");
    for (index, backend) in new.backends.iter().enumerate() {
        let before = old.backends.iter().find(|before| before.id == backend.id);
        let same = before.is_none_or(|before| before.shard == backend.shard);
        report.index(index).field("shard").require(
            same,
            format!("backend server {} cannot change its shard", backend.id),
            "remove it, and add it under another name",
        );
    }
}

fn unique<T: Hash + Eq + std::fmt::Display>(
    seen: &mut HashSet<T>,
    value: T,
    report: &mut Report<'_>,
) {
    let message = format!("\"{value}\" is used more than once");
    report.require(
        seen.insert(value),
        message,
        "use a different value for each",
    );
}
