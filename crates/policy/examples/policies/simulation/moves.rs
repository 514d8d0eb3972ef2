//! Planning and execution of ownership moves, as by the leader of a shard.

use std::cmp::Reverse;

use tarragon_model::key::Group;
use tarragon_policy::placement::{self, Move, Override, Subject, View};
use tarragon_policy::scheduler::Request;

use super::{Event, Handoff, PLAN_INTERVAL, Simulation};

impl Simulation {
    pub(super) fn plan(&mut self) {
        self.events
            .push(Reverse((self.now + PLAN_INTERVAL, Event::Plan)));
        if !self.spec.keyed {
            return;
        }
        let backends: Vec<placement::Backend> = (0..)
            .zip(&self.states)
            .map(|(index, state)| placement::Backend {
                speed: self.scheduler.capacity(index),
                state: *state,
            })
            .collect();
        let view = View {
            first_group: Group(0),
            owners: &self.owners,
            overrides: &self.overrides,
            backends: &backends,
            rebalance: true,
        };
        for change in self.planner.plan(self.now, &view) {
            self.begin_move(change);
        }
    }

    fn begin_move(&mut self, change: Move) {
        if self
            .moving
            .iter()
            .any(|moving| moving.change.subject == change.subject)
        {
            return;
        }
        self.outcome.moves.push((self.now, change));
        let withdrawn = match change.subject {
            Subject::Group(group) => self.scheduler.withdraw_group(self.now, group),
            Subject::Key(key) => self.scheduler.withdraw_key(self.now, key),
        };
        let held = Vec::new();
        self.moving.push(Handoff { change, held });
        for request in withdrawn {
            self.submit_to_owner(request);
        }
    }

    /// Completes the moves without running requests.
    pub(super) fn finish_moves(&mut self) {
        let scheduler = &self.scheduler;
        let (finished, moving): (Vec<Handoff>, Vec<Handoff>) = std::mem::take(&mut self.moving)
            .into_iter()
            .partition(|moving| match moving.change.subject {
                Subject::Group(group) => scheduler.group_runs_on(group, moving.change.from) == 0,
                Subject::Key(key) => scheduler.key_runs(key) == 0,
            });
        self.moving = moving;
        for finished_move in finished {
            self.apply(&finished_move.change);
            for request in finished_move.held {
                self.submit_to_owner(request);
            }
        }
    }

    fn apply(&mut self, change: &Move) {
        match change.subject {
            Subject::Group(group) => self.owners[group.0 as usize] = change.to,
            Subject::Key(key) => {
                let group = key.group(self.spec.groups);
                self.overrides.retain(|entry| entry.key != key);
                if self.owners[group.0 as usize] != change.to {
                    self.overrides.push(Override {
                        key,
                        group,
                        owner: change.to,
                    });
                }
            }
        }
    }
}

/// Returns whether a request must wait for a move.
///
/// A key with an override does not move with its group.
pub(super) fn is_held_by(subject: &Subject, request: &Request, has_override: bool) -> bool {
    match subject {
        Subject::Group(moved) => *moved == request.group && !has_override,
        Subject::Key(moved) => *moved == request.key,
    }
}
