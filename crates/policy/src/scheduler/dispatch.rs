//! Dispatch: which waiting request takes a free slot.

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::queue::Head;
use super::server::Run;
use super::{Action, Scheduler};
use crate::choice;

impl Scheduler {
    /// Refuses what has waited as long as it may.
    pub(super) fn expire(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while let Some((at, id)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.dequeue(id);
            let reason = Reason::Deadline;
            actions.push(Action::Refuse { id, reason });
        }
    }

    /// Starts work of the common queue while a server has a slot for it.
    pub(super) fn start_common(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.common.len() > 0 {
            let free = self.candidates(|server| server.free(now, self.slots) > 0);
            let first = self.common.first(now, |kind| {
                free.iter()
                    .any(|server| self.is_eligible(now, server.backend, kind))
            });
            let Some(head) = first else {
                return;
            };
            let fit: SmallVec<[choice::Candidate; 8]> = free
                .into_iter()
                .filter(|server| self.is_eligible(now, server.backend, head.kind))
                .collect();
            let backend = self.choice.choose(self.key_of(head.id), &fit);
            let owned = self.first_owned(now, backend);
            let next = owned.filter(|owned| owned.claim < head.claim);
            self.start(now, next.unwrap_or(head).id, backend, actions);
        }
    }

    /// Returns the first request that may start in the queue of a backend server.
    pub(super) fn first_owned(&self, now: Instant, backend: u16) -> Option<Head> {
        let server = self.server(backend)?;
        if server.queue.len() == 0 || server.free(now, self.slots) == 0 {
            return None;
        }
        server
            .queue
            .first(now, |kind| self.is_eligible(now, backend, kind))
    }

    /// Starts a waiting request.
    pub(super) fn start(&mut self, now: Instant, id: u64, backend: u16, actions: &mut Vec<Action>) {
        let Some(waiting) = self.dequeue(id) else {
            return;
        };
        self.check_start(backend);
        let request = waiting.request;
        let run = Run {
            id,
            started: now,
            long_from: self.long_from(now, &request, waiting.ticket.kind, backend),
            class: request.class,
            key: request.key,
            group: request.group,
            exclusive: request.exclusive,
            weight: request.weight,
            deadline: request.deadline,
        };
        self.servers[usize::from(backend)].runs.push(run);
        self.running.insert(id, backend);
        self.running_exclusive += usize::from(request.exclusive);
        actions.push(Action::Start { id, backend });
    }

    /// Counts broken invariants before a start.
    fn check_start(&mut self, backend: u16) {
        let server = &self.servers[usize::from(backend)];
        let full = server.runs.len() + server.foreign >= self.hard_slots;
        let stopped = !server.state.takes_work();
        self.violations.slots += u64::from(full);
        self.violations.stopped += u64::from(stopped);
        debug_assert!(!full, "no slot is free on server {backend}");
        debug_assert!(!stopped, "server {backend} takes no work");
    }

    /// Returns the key of a waiting request.
    fn key_of(&self, id: u64) -> key::Hash {
        self.waiting
            .get(&id)
            .map_or(key::Hash(0), |waiting| waiting.request.key)
    }
}
