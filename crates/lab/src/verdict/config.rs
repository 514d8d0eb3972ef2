//! Accepted configurations must come into force in time and must not be reverted.

use std::collections::BTreeMap;

use smallvec::smallvec;

use super::Breach;
use crate::trace::{Accepted, Status};

/// Time limit from the acceptance of a configuration until it is in force, in microseconds.
pub const IN_FORCE_US: u64 = 5_000_000;

/// Finds versions that were reverted on a host or shard, or came into force too late.
#[must_use]
pub fn reverts(samples: &[Status], accepted: &[Accepted]) -> Vec<Breach> {
    let mut sorted: Vec<&Status> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.sent_us);
    let mut breaches = host_reverts(&sorted);
    breaches.extend(shard_reverts(&sorted));
    breaches.extend(late(&sorted, accepted));
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

/// Finds incarnations of a host that know an older version than in the sample before.
fn host_reverts(samples: &[&Status]) -> Vec<Breach> {
    let mut known: BTreeMap<(&str, u64), &Status> = BTreeMap::new();
    let mut breaches = Vec::new();
    for sample in samples {
        let id = (sample.host.as_str(), sample.incarnation);
        if let Some(before) = known.insert(id, sample)
            && before.config_version > sample.config_version
        {
            let key = sample.host.clone();
            let versions = [before.config_version, sample.config_version];
            breaches.push(revert(key, before, sample, versions));
        }
    }
    breaches
}

/// Finds shards with an older version in force than a sample that was read before.
fn shard_reverts(samples: &[&Status]) -> Vec<Breach> {
    let mut highest: BTreeMap<&str, Vec<(&Status, u64)>> = BTreeMap::new();
    let mut breaches = Vec::new();
    for sample in samples {
        for (shard, version) in &sample.in_force {
            let seen = highest.entry(shard).or_default();
            let before = seen
                .iter()
                .find(|(before, higher)| higher > version && before.read_us < sample.sent_us);
            if let Some((before, higher)) = before {
                breaches.push(revert(shard.clone(), before, sample, [*higher, *version]));
            }
            if seen.iter().all(|(_, other)| other < version) {
                seen.push((sample, *version));
            }
        }
    }
    breaches
}

fn revert(key: String, before: &Status, after: &Status, versions: [u64; 2]) -> Breach {
    let line = |sample: &Status, version: u64| {
        format!(
            "host={} incarnation={} sent_us={} read_us={} version={version}",
            sample.host, sample.incarnation, sample.sent_us, sample.read_us
        )
    };
    Breach {
        at_us: after.read_us,
        check: "config_reverts",
        key,
        parties: smallvec![before.host.clone(), after.host.clone()],
        evidence: smallvec![line(before, versions[0]), line(after, versions[1])],
    }
}

/// Finds shards at which an accepted version was not in force after its deadline.
fn late(samples: &[&Status], accepted: &[Accepted]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for change in accepted {
        for sample in samples
            .iter()
            .filter(|sample| sample.sent_us > change.due_us)
        {
            let outdated = sample
                .in_force
                .iter()
                .find(|(_, version)| **version < change.version);
            if let Some((shard, version)) = outdated {
                breaches.push(late_breach(change, sample, shard, *version));
                break;
            }
        }
    }
    breaches
}

fn late_breach(change: &Accepted, sample: &Status, shard: &str, version: u64) -> Breach {
    Breach {
        at_us: sample.read_us,
        check: "config_reverts",
        key: shard.to_owned(),
        parties: smallvec![sample.host.clone()],
        evidence: smallvec![format!(
            "accepted={} at_us={} due_us={} in_force={version}",
            change.version, change.at_us, change.due_us
        )],
    }
}

/// Returns each violated internal invariant of a router, with the number of violations.
#[must_use]
pub fn invariants(samples: &[Status]) -> Vec<(u64, Breach)> {
    let mut latest: BTreeMap<(&str, u64, &str), (&Status, u64)> = BTreeMap::new();
    for sample in samples {
        for (name, count) in sample.invariants.iter().filter(|(_, count)| **count > 0) {
            let id = (sample.host.as_str(), sample.incarnation, name.as_str());
            let entry = latest.entry(id).or_insert((sample, *count));
            entry.1 = entry.1.max(*count);
        }
    }
    let breach = |((host, incarnation, name), (first, count)): (_, (&Status, u64))| {
        let line = format!("incarnation={incarnation} count={count}");
        let breach = Breach {
            at_us: first.read_us,
            check: "invariants",
            key: str::to_owned(name),
            parties: smallvec![str::to_owned(host)],
            evidence: smallvec![line],
        };
        (count, breach)
    };
    latest.into_iter().map(breach).collect()
}
