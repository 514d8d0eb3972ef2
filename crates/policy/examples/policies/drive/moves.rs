//! Plans and moves of ownership, as the leader of a shard would carry them out.

use std::cmp::Reverse;

use tarragon_model::key::Group;
use tarragon_policy::placement::{self, Move, Override, Subject, View};
use tarragon_policy::scheduler::Request;

use super::{Drive, Event, Moving, PLAN_INTERVAL};

impl Drive {
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
        self.moving.push(Moving { change, held });
        for request in withdrawn {
            self.offer(request);
        }
    }

    /// Completes the moves of which nothing runs any more.
    pub(super) fn finish_moves(&mut self) {
        let scheduler = &self.scheduler;
        let (finished, moving): (Vec<Moving>, Vec<Moving>) = std::mem::take(&mut self.moving)
            .into_iter()
            .partition(|moving| match moving.change.subject {
                Subject::Group(group) => scheduler.running_of_at(group, moving.change.from) == 0,
                Subject::Key(key) => scheduler.running_of_key(key) == 0,
            });
        self.moving = moving;
        for done in finished {
            self.apply(&done.change);
            for request in done.held {
                self.offer(request);
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

/// Tells whether a move holds a request whose key may have an owner of its own.
pub(super) fn concerns(subject: &Subject, request: &Request, own: bool) -> bool {
    match subject {
        Subject::Group(moved) => *moved == request.group && !own,
        Subject::Key(moved) => *moved == request.key,
    }
}
