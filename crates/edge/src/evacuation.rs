//! Evacuated zones at one host: updates, readiness, and the last check before a request is written.

use std::cell::RefCell;
use std::rc::Rc;

use tarragon_dispatch::evacuation::Set;
use tarragon_dispatch::fleet::{Fleet, Pick};
use tarragon_model::time::Instant;

use crate::clock::Clock;
use crate::state::State;

/// Applies a set of zones, unless a later one is known or the platform evacuates no zones.
///
/// `known_at` is when the previous set was last confirmed; the keyed requests of zones that the set
/// adds end a part of the bound after it.
pub fn apply(state: &State, set: &Set, known_at: Instant) {
    let now = state.now();
    let mut fleet = state.fleet.borrow_mut();
    if !fleet.evacuation().is_in_force() {
        return;
    }
    let first = fleet.evacuation().revision().is_none();
    let change = fleet.evacuation_mut().apply(set, known_at, now);
    if first {
        log::info!(
            "event=evacuations-known revision={} zones={}",
            set.revision,
            set.zones.len()
        );
        state.metrics.record_evacuated_zones(0);
    }
    if change.is_empty() {
        return;
    }
    for zone in &change.begun {
        let known_ms = now.since(known_at).as_millis();
        log::info!(
            "event=evacuation zone={zone} state=begun revision={} confirmed_before_ms={known_ms}",
            set.revision
        );
        if !fleet.knows_zone(zone) {
            log::warn!(
                "event=evacuation-zone-unknown zone={zone} revision={} handled_as=no-effect",
                set.revision
            );
        }
    }
    for zone in &change.withdrawn {
        log::info!(
            "event=evacuation zone={zone} state=withdrawn revision={}",
            set.revision
        );
    }
    state.metrics.count_state_change("evacuation");
    let zones = fleet.evacuation().names().count();
    state.metrics.record_evacuated_zones(zones);
    drop(fleet);
    state.fleet_changed.notify_waiters();
    state.keys_changed.notify_waiters();
}

/// Returns whether the evacuated zones are known, or the platform evacuated none when the process
/// started. Until then the host reports that it is not ready, and refuses requests.
#[must_use]
pub fn is_known(state: &State) -> bool {
    state.settings.bounds.evacuation.is_none()
        || state.fleet.borrow().evacuation().revision().is_some()
}

/// Decides whether a request may still be written to the backend server chosen for it, however long
/// it has waited for a connection and for the connection's task.
pub struct Check {
    fleet: Rc<RefCell<Fleet>>,
    clock: Clock,
    server: String,
    keyed: bool,
}

impl Check {
    /// Returns the check of a request to a backend server; `None` if the platform evacuates no zones.
    #[must_use]
    pub fn new(state: &State, pick: &Pick) -> Option<Self> {
        let fleet = state.fleet.borrow();
        if !fleet.evacuation().is_in_force() {
            return None;
        }
        let service = &fleet.get(&pick.id)?.entry.service;
        let catalog = state.catalog();
        Some(Self {
            keyed: catalog.service(service).is_some_and(|known| known.keyed),
            fleet: Rc::clone(&state.fleet),
            clock: state.clock,
            server: pick.id.clone(),
        })
    }

    /// Returns whether the request may be written now.
    #[must_use]
    pub fn allows(&self) -> bool {
        let fleet = self.fleet.borrow();
        fleet
            .get(&self.server)
            .is_none_or(|server| fleet.may_receive(server, self.keyed, self.clock.now()))
    }
}
