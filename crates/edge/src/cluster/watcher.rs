//! Watches of the store, and their pauses.

use std::rc::Rc;
use std::time::Duration;

use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Change, Version};

use super::{Cache, FIRST_START_WAIT, RELAY_CHECK_INTERVAL, Subject};
use crate::state::State;

/// Time between two checks for backend servers whose missing entries did not come back.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks whether the platform evacuates zones.
const IN_FORCE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Follows the catalog, the entries and the evacuations until the process ends.
pub async fn follow(state: Rc<State>, cluster: Rc<Cache>, api: Rc<dyn Api>) {
    if state.settings.first_start {
        let until = state.now() + FIRST_START_WAIT;
        cluster.relay_valid_until.set(until);
        cluster.evacuations_valid_until.set(until);
    }
    let catalog = follow_subject(&state, &cluster, &*api, Subject::Catalog);
    let entries = follow_subject(&state, &cluster, &*api, Subject::Entries);
    let evacuations = follow_subject(&state, &cluster, &*api, Subject::Evacuations);
    let expiry = drop_missing_servers(&state, &cluster);
    tokio::join!(catalog, entries, evacuations, expiry);
}

/// Returns whether the platform evacuates zones, and tells the copy.
fn check_in_force(state: &State, cluster: &Cache) -> bool {
    let in_force = state.bounds.get().evacuation.is_some();
    cluster.evacuations_in_force.set(in_force);
    in_force
}

/// Drops backend servers whose missing entries did not come back in time.
async fn drop_missing_servers(state: &State, cluster: &Cache) {
    while !state.stop.is_cancelled() {
        tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        cluster.outages.borrow_mut().tick(state.now());
        let gone = state.fleet.borrow_mut().remove_expired(state.now());
        for id in gone {
            state.mark_server_gone(&id, 0);
        }
    }
}

async fn follow_subject(state: &State, cluster: &Cache, api: &dyn Api, subject: Subject) {
    let kind = match subject {
        Subject::Catalog => state.platform.catalog_key().kind,
        Subject::Entries => state.platform.entries_kind(),
        Subject::Evacuations => state.platform.evacuations_kind(),
    };
    let mut position: Option<Version> = None;
    let mut failures: u32 = 0;
    while !state.stop.is_cancelled() {
        if subject == Subject::Evacuations && !check_in_force(state, cluster) {
            position = None;
            tokio::time::sleep(IN_FORCE_CHECK_INTERVAL).await;
            continue;
        }
        if state.now() < cluster.relayed_until(subject) {
            position = position.max(cluster.relayed_revision(state, subject));
            tokio::time::sleep(RELAY_CHECK_INTERVAL).await;
            continue;
        }
        let began = state.now();
        cluster.begin_call(state, subject);
        let wait = position.map_or(Duration::ZERO, |_| cluster.watch_time());
        let result = match position {
            None => list(state, cluster, api, subject, kind).await,
            Some(after) => watch(state, cluster, api, subject, kind, after, wait).await,
        };
        match result {
            Ok(next) => {
                position = Some(next);
                failures = 0;
                let took = state.now().since(began);
                let gap = cluster.watch_gap(state.host_count.get());
                tokio::time::sleep(gap.saturating_sub(took)).await;
            }
            Err(error) if error.kind == Kind::TooOld => {
                log::info!("event=history-gone subject={subject:?}");
                position = None;
            }
            Err(error) => {
                cluster.note_failure(state, subject, wait, &error);
                let jitter = rand::random::<f64>() * 0.5 + 0.75;
                pause(state, cluster, subject, failures, jitter).await;
                failures += 1;
            }
        }
    }
}

/// Pauses after a failed call that followed `failures` others.
///
/// The pause ends early when the granter's copy is recent again, and is that of a host on its own
/// once the granter is silent.
async fn pause(state: &State, cluster: &Cache, subject: Subject, failures: u32, jitter: f64) {
    let began = state.now();
    loop {
        let now = state.now();
        let (first, longest) = cluster.backoff_bounds(state.host_count.get(), now);
        let pause = (first * 2_u32.saturating_pow(failures.min(10))).min(longest);
        let left = pause.mul_f64(jitter).saturating_sub(now.since(began));
        let relayed = now < cluster.relayed_until(subject);
        if left.is_zero() || relayed || state.stop.is_cancelled() {
            return;
        }
        tokio::time::sleep(left.min(RELAY_CHECK_INTERVAL)).await;
    }
}

async fn list(
    state: &State,
    cluster: &Cache,
    api: &dyn Api,
    subject: Subject,
    kind: &str,
) -> Result<Version, Error> {
    let times = cluster.call_times(state, subject);
    let list = api.list(kind, &state.stop).await?;
    cluster.update_lag(state);
    cluster.note_response(state, subject, Duration::ZERO);
    let revision = list.revision;
    match subject {
        Subject::Catalog => {
            for object in list.items {
                cluster.apply_catalog(state, object);
            }
        }
        Subject::Entries => {
            cluster.note_era(state, revision);
            let grace = cluster.removal_grace(state);
            cluster.replace_entries(state, list, grace);
        }
        Subject::Evacuations => cluster.replace_evacuations(state, list, times),
    }
    Ok(revision)
}

async fn watch(
    state: &State,
    cluster: &Cache,
    api: &dyn Api,
    subject: Subject,
    kind: &str,
    after: Version,
    wait: Duration,
) -> Result<Version, Error> {
    let times = cluster.call_times(state, subject);
    let changes = api.watch(kind, after, wait, &state.stop).await?;
    cluster.update_lag(state);
    cluster.note_response(state, subject, wait);
    let revision = changes.revision;
    if subject == Subject::Evacuations {
        cluster.change_evacuations(state, changes, wait, times);
        return Ok(revision);
    }
    for change in changes.changes {
        match subject {
            Subject::Catalog if !change.deleted => cluster.apply_catalog(state, change.object),
            Subject::Catalog | Subject::Evacuations => {}
            Subject::Entries => apply_entry_change(state, cluster, change),
        }
    }
    if subject == Subject::Entries {
        let reached = cluster.entries_revision.get().max(revision);
        cluster.entries_revision.set(reached);
    }
    Ok(revision)
}

fn apply_entry_change(state: &State, cluster: &Cache, change: Change) {
    if !change.deleted {
        cluster.apply_entry(state, change.object);
        return;
    }
    let grace = cluster.removal_grace(state);
    let revision = change.object.version.0;
    cluster.remove_entry(state, &change.object.name, revision, grace);
}
