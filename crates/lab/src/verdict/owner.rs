//! Each key must have at most one owner at a time, and assignments must not be lost.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::smallvec;
use tarragon_model::config::Config;

use super::Breach;
use crate::trace::{Assignment, Change, Execution, Move, Stage};

/// Finds keys whose requests ran on two backend servers at the same time.
///
/// Only keyed services count. A backend server that checks fences may start a request that it then
/// refuses to commit, so only its committed executions count.
#[must_use]
pub fn wrong_owner(executions: &[Execution], config: &Config) -> Vec<Breach> {
    let mut by_key: BTreeMap<(&str, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in executions
        .iter()
        .filter(|execution| is_relevant(execution, config))
    {
        let id = (execution.service.as_str(), execution.key.as_str());
        by_key.entry(id).or_default().push(execution);
    }
    let mut breaches = Vec::new();
    for executions in by_key.values_mut() {
        executions.sort_by_key(|execution| execution.start_us);
        find_overlaps(executions, &mut breaches);
    }
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn is_relevant(execution: &Execution, config: &Config) -> bool {
    config.service(&execution.service).is_some_and(|service| {
        service.keyed && (!service.checks_fences || execution.stage == Stage::Committed)
    })
}

/// Compares each execution with the latest-ending earlier one of every other backend server.
fn find_overlaps(executions: &[&Execution], breaches: &mut Vec<Breach>) {
    let mut latest: BTreeMap<&str, &Execution> = BTreeMap::new();
    for execution in executions {
        let other = latest.values().find(|other| {
            other.backend != execution.backend && other.end_or_max() > execution.start_us
        });
        if let Some(other) = other {
            breaches.push(overlap(other, execution));
        }
        let last = latest.entry(&execution.backend).or_insert(execution);
        if execution.end_or_max() > last.end_or_max() {
            *last = execution;
        }
    }
}

fn overlap(first: &Execution, second: &Execution) -> Breach {
    Breach {
        at_us: second.start_us,
        check: "wrong_owner",
        key: format!("{}/{}", second.service, second.key),
        parties: smallvec![first.backend.clone(), second.backend.clone()],
        evidence: smallvec![first.evidence(), second.evidence()],
    }
}

/// Finds key groups whose owner reverted to an earlier owner without a move.
///
/// Assignments are ordered by fence and, within a fence, by the time at which the acting leader was
/// asked.
#[must_use]
pub fn lost_assignments(assignments: &[Assignment], moves: &[Move]) -> Vec<Breach> {
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
        find_reverts(states, &moves, &mut breaches);
    }
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn find_reverts(states: &[&Assignment], moves: &[&Move], breaches: &mut Vec<Breach>) {
    let mut earlier: BTreeMap<u32, BTreeSet<&str>> = BTreeMap::new();
    for pair in states.windows(2) {
        let [before, after] = pair else { continue };
        for (group, owner) in &after.owners {
            let Some(previous) = before
                .owners
                .get(group)
                .filter(|previous| *previous != owner)
            else {
                continue;
            };
            let seen = earlier.entry(*group).or_default();
            seen.insert(previous);
            if seen.contains(owner.as_str()) && !moved(moves, *group, owner) {
                breaches.push(revert(before, after, *group, previous, owner));
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

fn revert(
    before: &Assignment,
    after: &Assignment,
    group: u32,
    previous: &str,
    new: &str,
) -> Breach {
    let line = |state: &Assignment, owner: &str| {
        format!(
            "host={} fence={} read_us={} group={group} owner={owner}",
            state.host, state.fence, state.read_us
        )
    };
    Breach {
        at_us: after.read_us,
        check: "lost_assignments",
        key: format!("{}#{group}", after.shard),
        parties: smallvec![before.host.clone(), after.host.clone()],
        evidence: smallvec![line(before, previous), line(after, new)],
    }
}

/// Finds records in the store that overwrote a later record.
///
/// The epoch of a shard never decreases, its replica set changes with the epoch only, and within an
/// epoch the records are ordered by fence and index.
#[must_use]
pub fn overwritten(changes: &[Change]) -> Vec<Breach> {
    let mut by_shard: BTreeMap<&str, Vec<&Change>> = BTreeMap::new();
    for change in changes {
        by_shard.entry(&change.shard).or_default().push(change);
    }
    let mut breaches = Vec::new();
    for changes in by_shard.values_mut() {
        changes.sort_by_key(|change| change.version);
        let pairs = changes.windows(2).filter(|pair| is_stale(pair[0], pair[1]));
        breaches.extend(pairs.map(|pair| overwrite(pair[0], pair[1])));
    }
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn is_stale(before: &Change, after: &Change) -> bool {
    let (previous, new) = (&before.record, &after.record);
    let order = |change: &Change| (change.record.fence, change.record.index);
    let other_replica_set = previous.epoch == new.epoch && previous.replica_set != new.replica_set;
    new.epoch < previous.epoch || other_replica_set || order(after) < order(before)
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
        check: "lost_assignments",
        key: after.shard.clone(),
        parties: smallvec![
            before.record.replica_set.leader.host.to_string(),
            after.record.replica_set.leader.host.to_string()
        ],
        evidence: smallvec![line(before), line(after)],
    }
}
