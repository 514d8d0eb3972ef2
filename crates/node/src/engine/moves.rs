//! Moves of key ownership between backend servers.

use tarragon_model::key;
use tarragon_policy::backend::State as BackendState;
use tarragon_policy::placement::{self, Backend, Move, Subject, View};
use tarragon_timeline::event::{Kind, Name};

use super::backends::index;
use super::{Effect, Engine, Log};
use crate::health::Availability;
use crate::input::Now;
use crate::output::Output;
use crate::state::{Entry, NO_OWNER};

/// Time between two plans.
const PLAN_INTERVAL: std::time::Duration = std::time::Duration::from_millis(250);
/// Maximum number of rounds of proposed moves that one plan carries out.
const MAX_PLAN_ROUNDS: usize = 256;

impl Engine {
    /// Assigns the groups of a new shard to their first owners.
    pub(super) fn assign_initial_owners(&mut self, now: Now, log: &mut Log<'_>) {
        if !self.service.keyed || !log.state().owners.is_empty() {
            return;
        }
        let groups: Vec<key::Group> = self.service.groups_of(self.shard.index).collect();
        let backends: Vec<Backend> = (0..self.health.len())
            .map(|position| self.backend_for_plan(now, position))
            .collect();
        if backends.is_empty() {
            return;
        }
        let owners = self.planner.initial(&groups, &backends);
        let at = log.append(now.at, Entry::Owners(owners.clone()));
        self.effects.push_back((at, Effect::Owners(owners)));
    }

    /// Starts the moves that the planner proposes.
    pub(super) fn plan_moves(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        if !self.service.keyed || now.at < self.next_plan || log.state().owners.is_empty() {
            return;
        }
        self.next_plan = now.at + PLAN_INTERVAL;
        for _ in 0..MAX_PLAN_ROUNDS {
            let moves = self.propose(now, log);
            let allowed: Vec<&Move> = moves
                .iter()
                .filter(|proposed| self.may_move(now, proposed))
                .collect();
            if allowed.is_empty() {
                return;
            }
            for proposed in allowed {
                self.start_move(now, *proposed, out, log);
            }
        }
    }

    /// Asks the planner for moves.
    fn propose(&mut self, now: Now, log: &Log<'_>) -> placement::Moves {
        let backends: Vec<Backend> = (0..self.health.len())
            .map(|position| self.backend_for_plan(now, position))
            .collect();
        let groups = self.service.groups;
        let overrides: Vec<placement::Override> = log
            .state()
            .overrides
            .iter()
            .map(|(key, owner)| placement::Override {
                key: *key,
                group: key.group(groups),
                owner: *owner,
            })
            .collect();
        let view = View {
            first_group: key::Group(self.first_group),
            owners: &log.state().owners,
            overrides: &overrides,
            backends: &backends,
            rebalance: self.preset.rebalance,
        };
        self.planner.plan(now.at, &view)
    }

    /// Describes a backend server to the planner. While earlier work may still run on it, it is
    /// reported as suspect, so that it keeps its keys.
    fn backend_for_plan(&self, now: Now, position: usize) -> Backend {
        let health = &self.health[position];
        let state = match health.availability() {
            Availability::Live => BackendState::Live,
            _ if !health.has_prior_work_ended(now.at) => BackendState::Suspect,
            Availability::Leaving => BackendState::Leaving,
            Availability::Lost => BackendState::Lost,
        };
        Backend {
            speed: self.scheduler.capacity(index(position)),
            state,
        }
    }

    /// Returns whether a move may start: it is not pending and no earlier work blocks its source.
    fn may_move(&self, now: Now, proposed: &Move) -> bool {
        let pending = match proposed.subject {
            Subject::Group(group) => self.moving.contains(&group.0),
            Subject::Key(key) => self.moving_keys.contains(&key),
        };
        let clear = self
            .health
            .get(usize::from(proposed.from))
            .is_none_or(|from| from.has_prior_work_ended(now.at));
        !pending && clear && proposed.from != proposed.to
    }

    /// Replicates a move; it takes effect once a standby holds it.
    fn start_move(&mut self, now: Now, proposed: Move, out: &mut Vec<Output>, log: &mut Log<'_>) {
        let draft = self.event(Kind::MoveStarted);
        let draft = match proposed.subject {
            Subject::Group(group) => draft.with(Name::Group, group.0),
            Subject::Key(key) => draft.with(Name::Key, key.0),
        };
        let name = |backend: u16| self.backend_name(backend);
        let draft = draft
            .with(Name::From, name(proposed.from))
            .with(Name::To, name(proposed.to));
        out.push(Output::Event(draft));
        let (entry, effect) = match proposed.subject {
            Subject::Group(group) => {
                self.moving.insert(group.0);
                let position = group.0.wrapping_sub(self.first_group);
                let backend = proposed.to;
                (
                    Entry::Owner { position, backend },
                    Effect::Owner { position, backend },
                )
            }
            Subject::Key(key) => {
                self.moving_keys.insert(key);
                let group = key.group(self.service.groups);
                let position = group.0.wrapping_sub(self.first_group) as usize;
                let follows = log.state().owners.get(position) == Some(&proposed.to);
                let backend = (!follows).then_some(proposed.to);
                (
                    Entry::Override { key, backend },
                    Effect::Override { key, backend },
                )
            }
        };
        let at = log.append(now.at, entry);
        self.effects.push_back((at, effect));
    }

    /// Applies the replicated owner of a group and holds the group's queued requests.
    pub(super) fn owner_took_effect(
        &mut self,
        now: Now,
        position: u32,
        backend: u16,
        out: &mut Vec<Output>,
    ) {
        let group = key::Group(self.first_group + position);
        self.moving.remove(&group.0);
        let Some(owner) = self.owners.get_mut(position as usize) else {
            return;
        };
        let from = std::mem::replace(owner, backend);
        self.dirty = true;
        let draft = self
            .event(Kind::OwnerMoved)
            .with(Name::Group, group.0)
            .with(Name::From, self.backend_name(from))
            .with(Name::To, self.backend_name(backend));
        out.push(Output::Event(draft));
        let waiting = self.scheduler.withdraw_group(now.at, group);
        self.hold_all(waiting.iter().map(|request| request.id));
    }

    /// Applies the replicated owner of a key and holds the key's queued requests.
    pub(super) fn override_took_effect(
        &mut self,
        now: Now,
        key: key::Hash,
        backend: Option<u16>,
        out: &mut Vec<Output>,
    ) {
        self.moving_keys.remove(&key);
        let group = key.group(self.service.groups);
        let from = self.owner_of(group, key);
        match backend {
            Some(backend) => self.overrides.insert(key, backend),
            None => self.overrides.remove(&key),
        };
        self.dirty = true;
        let to = self.owner_of(group, key);
        let draft = self
            .event(Kind::OwnerMoved)
            .with(Name::Key, key.0)
            .with(Name::Group, group.0)
            .with(Name::From, self.backend_name(from))
            .with(Name::To, self.backend_name(to));
        out.push(Output::Event(draft));
        let waiting = self.scheduler.withdraw_key(now.at, key);
        self.hold_all(waiting.iter().map(|request| request.id));
    }

    /// Holds the requests queued for a lost backend server until their keys have a new owner.
    pub(super) fn hold_queued(&mut self, now: Now, backend: u16) {
        let groups: Vec<u32> = (self.first_group..)
            .zip(&self.owners)
            .filter(|(_, owner)| **owner == backend)
            .map(|(group, _)| group)
            .collect();
        for group in groups {
            let waiting = self.scheduler.withdraw_group(now.at, key::Group(group));
            self.hold_all(waiting.iter().map(|request| request.id));
        }
    }

    /// Holds requests that were withdrawn from the scheduler.
    pub(super) fn hold_all(&mut self, ids: impl Iterator<Item = u64>) {
        for id in ids {
            if let Some(request) = self.requests.get_mut(&id) {
                request.phase = crate::request::Phase::Held;
                self.held.push(id);
            }
        }
    }

    /// Returns the name of a backend server for the timeline and operators.
    pub(super) fn backend_name(&self, backend: u16) -> String {
        if backend == NO_OWNER {
            return "nobody".to_owned();
        }
        let health = self.health.get(usize::from(backend));
        health.map_or_else(|| "unknown".to_owned(), |health| health.id.to_string())
    }
}
