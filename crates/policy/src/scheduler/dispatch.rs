//! Dispatch of waiting requests to free slots.

use smallvec::SmallVec;
use tarragon_model::key;
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::queue::Head;
use super::server::Run;
use super::{Action, Scheduler};
use crate::choice;

impl Scheduler {
    /// Refuses requests whose maximum wait has passed.
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

    /// Starts requests of the shared queue while a server has an eligible slot.
    ///
    /// A request that waits for the selected server itself goes first if its priority is higher.
    pub(super) fn start_shared(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while self.shared.len() > 0 {
            let free = self.candidates(|server| server.free(now, self.slots) > 0);
            let first = self.shared.first(now, |kind| {
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
            let next = owned.filter(|owned| owned.priority < head.priority);
            self.start(now, next.unwrap_or(head).id, backend, actions);
        }
    }

    /// Returns the first eligible request in the queue of a backend server, if a slot is free.
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
            long_at: self.long_at(now, &request, waiting.entry.kind, backend),
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

    /// Counts invariant violations before a start.
    fn check_start(&mut self, backend: u16) {
        let server = &self.servers[usize::from(backend)];
        let full = server.runs.len() + server.inherited >= self.hard_slots;
        let unavailable = !server.state.takes_work();
        self.violations.slots += u64::from(full);
        self.violations.unavailable += u64::from(unavailable);
        debug_assert!(!full, "no slot is free on server {backend}");
        debug_assert!(!unavailable, "server {backend} takes no work");
    }

    /// Returns the key of a waiting request.
    fn key_of(&self, id: u64) -> key::Hash {
        self.waiting
            .get(&id)
            .map_or(key::Hash(0), |waiting| waiting.request.key)
    }
}
