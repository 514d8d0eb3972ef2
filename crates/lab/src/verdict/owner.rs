//! One owner for each key, and assignments that last.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::smallvec;
use tarragon_model::config::Config;

use super::Breach;
use crate::trace::{Assignment, Change, Move, Stage, Work};

/// Finds keys for which two backend servers ran work at the same time.
///
/// Only keyed services count. A backend server that checks fences may start work that it then
/// refuses to commit, so only its committed runs count.
#[must_use]
pub fn wrong(works: &[Work], config: &Config) -> Vec<Breach> {
    let mut by_key: BTreeMap<(&str, &str), Vec<&Work>> = BTreeMap::new();
    for work in works.iter().filter(|work| counts(work, config)) {
        let id = (work.service.as_str(), work.key.as_str());
        by_key.entry(id).or_default().push(work);
    }
    let mut breaches = Vec::new();
    for works in by_key.values_mut() {
        works.sort_by_key(|work| work.start_us);
        overlaps(works, &mut breaches);
    }
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn counts(work: &Work, config: &Config) -> bool {
    config.service(&work.service).is_some_and(|service| {
        service.keyed && (!service.checks_fences || work.stage == Stage::Committed)
    })
}

/// Compares each run with the run that ends last on each other backend server.
fn overlaps(works: &[&Work], breaches: &mut Vec<Breach>) {
    let mut latest: BTreeMap<&str, &Work> = BTreeMap::new();
    for work in works {
        let other = latest
            .values()
            .find(|other| other.backend != work.backend && other.end_or_max() > work.start_us);
        if let Some(other) = other {
            breaches.push(overlap(other, work));
        }
        let last = latest.entry(&work.backend).or_insert(work);
        if work.end_or_max() > last.end_or_max() {
            *last = work;
        }
    }
}

fn overlap(first: &Work, second: &Work) -> Breach {
    Breach {
        at_us: second.start_us,
        promise: "wrong_owner",
        key: format!("{}/{}", second.service, second.key),
        parties: smallvec![first.backend.clone(), second.backend.clone()],
        evidence: smallvec![first.evidence(), second.evidence()],
    }
}

/// Finds owners that fell back to an earlier owner of the group without a move.
///
/// The order is that of the fences and, within a fence, of the times at which the acting leader
/// answered.
#[must_use]
pub fn lost(assignments: &[Assignment], moves: &[Move]) -> Vec<Breach> {
    let mut by_shard: BTreeMap<&str, Vec<&Assignment>> = BTreeMap::new();
    for assignment in assignments {
        by_shard
            .entry(&assignment.shard)
            .or_default()
            .push(assignment);
    }
    let mut breaches = Vec::new();
    for (shard, states) in &mut by_shard {
        states.sort_by_key(|state| (state.fence, state.sent_us));
        let moves: Vec<&Move> = moves.iter().filter(|one| one.shard == *shard).collect();
        fallbacks(states, &moves, &mut breaches);
    }
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn fallbacks(states: &[&Assignment], moves: &[&Move], breaches: &mut Vec<Breach>) {
    let mut earlier: BTreeMap<u32, BTreeSet<&str>> = BTreeMap::new();
    for pair in states.windows(2) {
        let [before, after] = pair else { continue };
        for (group, owner) in &after.owners {
            let Some(old) = before.owners.get(group).filter(|old| *old != owner) else {
                continue;
            };
            let seen = earlier.entry(*group).or_default();
            seen.insert(old);
            if seen.contains(owner.as_str()) && !moved(moves, *group, owner) {
                breaches.push(fallback(before, after, *group, old, owner));
            }
        }
    }
}

fn moved(moves: &[&Move], group: u32, owner: &str) -> bool {
    moves.iter().any(|one| {
        one.to == owner
            && one
                .groups
                .is_none_or(|(from, to)| (from..=to).contains(&group))
    })
}

fn fallback(before: &Assignment, after: &Assignment, group: u32, old: &str, new: &str) -> Breach {
    let line = |state: &Assignment, owner: &str| {
        format!(
            "host={} fence={} read_us={} group={group} owner={owner}",
            state.host, state.fence, state.read_us
        )
    };
    Breach {
        at_us: after.read_us,
        promise: "lost_assignments",
        key: format!("{}#{group}", after.shard),
        parties: smallvec![before.host.clone(), after.host.clone()],
        evidence: smallvec![line(before, old), line(after, new)],
    }
}

/// Finds records in the store that replaced a later one.
///
/// A shard's epoch never goes back, its trio changes with the epoch only, and within an epoch the
/// owners go by fence and index.
#[must_use]
pub fn overwritten(changes: &[Change]) -> Vec<Breach> {
    let mut by_shard: BTreeMap<&str, Vec<&Change>> = BTreeMap::new();
    for change in changes {
        by_shard.entry(&change.shard).or_default().push(change);
    }
    let mut breaches = Vec::new();
    for changes in by_shard.values_mut() {
        changes.sort_by_key(|change| change.version);
        let pairs = changes
            .windows(2)
            .filter(|pair| goes_back(pair[0], pair[1]));
        breaches.extend(pairs.map(|pair| overwrite(pair[0], pair[1])));
    }
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn goes_back(before: &Change, after: &Change) -> bool {
    let (old, new) = (&before.record, &after.record);
    let order = |change: &Change| (change.record.fence, change.record.index);
    let other_trio = old.epoch == new.epoch && old.replica_set != new.replica_set;
    new.epoch < old.epoch || other_trio || order(after) < order(before)
}

fn overwrite(before: &Change, after: &Change) -> Breach {
    let line = |change: &Change| {
        let record = &change.record;
        format!(
            "version={} epoch={} fence={} index={} token={} leader={}",
            change.version,
            record.epoch,
            record.fence,
            record.index,
            record.token,
            record.replica_set.leader
        )
    };
    Breach {
        at_us: after.at_us,
        promise: "lost_assignments",
        key: after.shard.clone(),
        parties: smallvec![
            before.record.replica_set.leader.host.to_string(),
            after.record.replica_set.leader.host.to_string()
        ],
        evidence: smallvec![line(before), line(after)],
    }
}
