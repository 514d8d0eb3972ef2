//! Admission, enqueueing and removal of waiting requests.

use std::collections::BTreeSet;
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::queue::{Entry, Kind, Position, Queue};
use super::server::Server;
use super::{QueueId, Request, Scheduler, Target, Waiting};
use crate::choice;

/// Minimum wait under every preset, so that a request can take a free slot at the next poll.
const MIN_WAIT: Duration = Duration::from_micros(1);

impl Scheduler {
    /// Admits a request to its queue, or returns the reason for its refusal.
    pub(super) fn try_enqueue(&mut self, now: Instant, request: Request) -> Result<(), Reason> {
        if request.deadline <= now {
            return Err(Reason::Deadline);
        }
        if request.weight < self.preset.min_weight {
            return Err(Reason::Preset);
        }
        let queue_id = self.queue_id(&request).ok_or(Reason::NoBackend)?;
        if let QueueId::Server(backend) = queue_id {
            self.server_mut(now, backend);
        }
        let arrival = self.arrival(now, &request, queue_id);
        let kind = Kind {
            class: request.class,
            long: arrival.estimate.long,
            exclusive: request.exclusive,
        };
        let rank = self.admission.rank(&arrival);
        let backlog = self.backlog(now, queue_id, kind, rank.level);
        if let Err(reason) = self.admission.admit(&arrival, &backlog) {
            self.queue_mut(queue_id).record_refusal(now, rank.level);
            return Err(reason);
        }
        self.sequence += 1;
        let waiting = Waiting {
            queue_id,
            entry: Entry {
                kind,
                position: Position {
                    rank,
                    sequence: self.sequence,
                    id: request.id,
                },
                work: arrival.estimate.mean,
                since: now,
                urgent_at: self.admission.urgent_at(&arrival),
            },
            wait_until: self
                .admission
                .wait_until(&arrival)
                .max(now + MIN_WAIT)
                .min(request.deadline),
            request,
        };
        self.enqueue(now, waiting);
        if !kind.long {
            let typical = arrival.estimate.typical;
            self.queue_mut(queue_id).record_short_arrival(now, typical);
        }
        Ok(())
    }

    /// Returns the queue for a request, or `None` if no server takes requests.
    fn queue_id(&mut self, request: &Request) -> Option<QueueId> {
        if let Target::Owner(backend) = request.target {
            return Some(QueueId::Server(backend));
        }
        let candidates = self.candidates(|server| server.state.takes_work());
        if candidates.is_empty() {
            return None;
        }
        let bound = self.choice.bind(request.key, &candidates);
        Some(bound.map_or(QueueId::Shared, QueueId::Server))
    }

    /// Returns the servers that match `is_candidate` as input for the choice policy.
    pub(super) fn candidates(
        &self,
        is_candidate: impl Fn(&Server) -> bool,
    ) -> SmallVec<[choice::Candidate; 8]> {
        (0_u16..)
            .zip(&self.servers)
            .filter(|(_, server)| is_candidate(server))
            .map(|(backend, server)| choice::Candidate {
                backend,
                speed: self.speeds.speed(backend),
                limit: self.slots,
                running: server.runs.len(),
                queued: server.queue.len(),
            })
            .collect()
    }

    fn enqueue(&mut self, now: Instant, waiting: Waiting) {
        let id = waiting.request.id;
        let queue = self.queue_mut(waiting.queue_id);
        let entry = waiting.entry;
        queue.insert(&entry);
        queue.record_arrival(now, entry.position.rank.level, entry.work);
        self.expiries.insert((waiting.wait_until, id));
        self.waiting.insert(id, waiting);
    }

    /// Removes a waiting request.
    pub(super) fn dequeue(&mut self, id: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        let queue = self.queue_mut(waiting.queue_id);
        queue.remove(&waiting.entry);
        self.expiries.remove(&(waiting.wait_until, id));
        Some(waiting)
    }

    /// Removes the waiting requests that match, in order of arrival.
    pub(super) fn withdraw(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut found: Vec<(u64, u64)> = self
            .waiting
            .values()
            .filter(|waiting| matches(&waiting.request))
            .map(|waiting| (waiting.entry.position.sequence, waiting.request.id))
            .collect();
        found.sort_unstable();
        found
            .into_iter()
            .filter_map(|(_, id)| self.dequeue(id))
            .map(|waiting| waiting.request)
            .collect()
    }

    /// Resubmits the requests that the choice policy bound to an unavailable server.
    pub(super) fn rebind(&mut self, now: Instant, backend: u16) {
        let queue_id = QueueId::Server(backend);
        let bound: BTreeSet<u64> = self
            .waiting
            .values()
            .filter(|waiting| waiting.queue_id == queue_id && waiting.request.target == Target::Any)
            .map(|waiting| waiting.request.id)
            .collect();
        for request in self.withdraw(|request| bound.contains(&request.id)) {
            self.submit(now, request);
        }
    }

    fn queue_mut(&mut self, queue_id: QueueId) -> &mut Queue {
        match queue_id {
            QueueId::Server(backend) => &mut self.servers[usize::from(backend)].queue,
            QueueId::Shared => &mut self.shared,
        }
    }
}
