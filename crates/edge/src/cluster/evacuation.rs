//! Part of the cluster state that names the zones under evacuation.
//!
//! It exists only where the platform evacuates zones. Hosts of the previous build do not relay it,
//! so a host that hears such a granter watches the store for it.

use std::time::Duration;

use tarragon_dispatch::evacuation::Set;
use tarragon_model::time::Instant;
use tarragon_store::object::{Changes, List, Version};

use super::{Cache, MAX_RELAYED_AGE, Subject};
use crate::evacuation;
use crate::state::State;

impl Cache {
    /// Returns until when the granter's copy replaces this host's own calls about a subject.
    pub(super) fn relayed_until(&self, subject: Subject) -> Instant {
        match subject {
            Subject::Catalog | Subject::Entries => self.relay_valid_until.get(),
            Subject::Evacuations => self.evacuations_valid_until.get(),
        }
    }

    /// Returns the revision that the granter's copy of a subject has brought this host to, if a
    /// watch can continue from there.
    pub(super) fn relayed_revision(&self, state: &State, subject: Subject) -> Option<Version> {
        let revision = match subject {
            Subject::Catalog => return None,
            Subject::Entries => self.entries_revision.get(),
            Subject::Evacuations => Version(state.fleet.borrow().evacuation().revision()?),
        };
        (revision > Version::ABSENT).then_some(revision)
    }

    /// Returns the present time, at which a call about a subject begins, and when the store last
    /// confirmed what is known of the subject.
    pub(super) fn call_times(&self, state: &State, subject: Subject) -> (Instant, Instant) {
        (state.now(), self.confirmed[subject as usize].get())
    }

    /// Returns when the store last confirmed the known set of zones.
    pub(super) fn evacuations_confirmed(&self) -> Instant {
        self.confirmed[Subject::Evacuations as usize].get()
    }

    /// Returns the zones under evacuation for other hosts; `None` if they are not known or the
    /// platform evacuates no zones.
    pub fn evacuations(&self, state: &State) -> Option<Set> {
        state.fleet.borrow().evacuation().set(state.now())
    }

    /// Returns the zones under evacuation if they are later than a revision.
    pub fn evacuations_after(&self, state: &State, revision: Option<u64>) -> Option<Set> {
        let set = self.evacuations(state)?;
        revision
            .is_none_or(|known| known < set.revision)
            .then_some(set)
    }

    /// Applies a set that another host sent.
    pub fn apply_evacuations(&self, state: &State, set: &Set) {
        evacuation::apply(state, set, self.evacuations_confirmed());
    }

    /// Notes that the granter's set, which this host has, was confirmed `age` ago.
    pub fn confirm_relayed_evacuations(&self, age: Duration, now: Instant) {
        let confirmed = &self.confirmed[Subject::Evacuations as usize];
        confirmed.set(confirmed.get().max(now - age));
        self.evacuations_valid_until
            .set(now - age + MAX_RELAYED_AGE);
    }

    /// Applies the list of all evacuations; the call began at `began`, when the set known until then
    /// had been confirmed at `known_at`.
    pub(super) fn replace_evacuations(
        &self,
        state: &State,
        list: List,
        (began, known_at): (Instant, Instant),
    ) {
        let set = Set {
            revision: list.revision.0,
            zones: list.items.into_iter().map(|object| object.name).collect(),
            ..Set::default()
        };
        evacuation::apply(state, &set, known_at);
        self.confirm_evacuations(state, began, known_at);
    }

    /// Applies changes of the evacuations, like [`Cache::replace_evacuations`]; the store waited for
    /// changes for at most `wait`.
    pub(super) fn change_evacuations(
        &self,
        state: &State,
        changes: Changes,
        wait: Duration,
        (began, known_at): (Instant, Instant),
    ) {
        let mut set = self.evacuations(state).unwrap_or_default();
        if !changes.changes.is_empty() && set.revision < changes.revision.0 {
            set.revision = changes.revision.0;
            for change in changes.changes {
                let zone = change.object.name;
                set.zones.retain(|known| *known != zone);
                set.returned.retain(|(known, _)| *known != zone);
                if change.deleted {
                    set.returned.push((zone, 0));
                } else {
                    set.zones.push(zone);
                }
            }
            evacuation::apply(state, &set, known_at);
        }
        self.confirm_evacuations(state, began + wait, known_at);
    }

    /// Notes that the store confirmed the set, at the latest at `latest`: a process that was paused
    /// handles the response long after.
    fn confirm_evacuations(&self, state: &State, latest: Instant, known_at: Instant) {
        let confirmed = latest.min(state.now()).max(known_at);
        self.confirmed[Subject::Evacuations as usize].set(confirmed);
    }
}
