//! Intake of requests: admission, the queues and withdrawal from them.

use std::collections::BTreeSet;
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::outcome::Reason;
use tarragon_model::time::Instant;

use super::queue::{Kind, Position, Queue, Ticket};
use super::server::Server;
use super::{Place, Request, Scheduler, Target, Waiting};
use crate::choice;

/// Wait that even a preset without waiting allows, so that a free slot can be taken.
const LEAST_WAIT: Duration = Duration::from_micros(1);

impl Scheduler {
    /// Decides on a request and puts it in its queue.
    pub(super) fn try_enqueue(&mut self, now: Instant, request: Request) -> Result<(), Reason> {
        if request.deadline <= now {
            return Err(Reason::Deadline);
        }
        if request.weight < self.preset.min_weight {
            return Err(Reason::Preset);
        }
        let place = self.place(&request).ok_or(Reason::NoBackend)?;
        if let Place::Server(backend) = place {
            self.server_mut(now, backend);
        }
        let offer = self.offer(now, &request, place);
        let kind = Kind {
            class: request.class,
            long: offer.estimate.long,
            exclusive: request.exclusive,
        };
        let rank = self.admission.rank(&offer);
        let backlog = self.backlog(now, place, kind, rank.level);
        if let Err(reason) = self.admission.admit(&offer, &backlog) {
            self.queue_mut(place).record_refusal(now, rank.level);
            return Err(reason);
        }
        self.sequence += 1;
        let waiting = Waiting {
            place,
            ticket: Ticket {
                kind,
                position: Position {
                    rank,
                    sequence: self.sequence,
                    id: request.id,
                },
                work: offer.estimate.mean,
                since: now,
                urgent_at: self.admission.urgent_at(&offer),
            },
            give_up: self
                .admission
                .give_up(&offer)
                .max(now + LEAST_WAIT)
                .min(request.deadline),
            request,
        };
        self.enqueue(now, waiting);
        if !kind.long {
            let typical = offer.estimate.typical;
            self.queue_mut(place).record_short(now, typical);
        }
        Ok(())
    }

    /// Returns the queue for a request, or `None` when no server can take it.
    fn place(&mut self, request: &Request) -> Option<Place> {
        if let Target::Owner(backend) = request.target {
            return Some(Place::Server(backend));
        }
        let candidates = self.candidates(|server| server.state.takes_work());
        if candidates.is_empty() {
            return None;
        }
        let bound = self.choice.bind(request.key, &candidates);
        Some(bound.map_or(Place::Common, Place::Server))
    }

    /// Returns the servers for which `takes` holds, as the choice policy sees them.
    pub(super) fn candidates(
        &self,
        takes: impl Fn(&Server) -> bool,
    ) -> SmallVec<[choice::Candidate; 8]> {
        (0_u16..)
            .zip(&self.servers)
            .filter(|(_, server)| takes(server))
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
        let queue = self.queue_mut(waiting.place);
        let ticket = waiting.ticket;
        queue.insert(&ticket);
        queue.record_inflow(now, ticket.position.rank.level, ticket.work);
        self.expiries.insert((waiting.give_up, id));
        self.waiting.insert(id, waiting);
    }

    /// Removes a waiting request.
    pub(super) fn dequeue(&mut self, id: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        let queue = self.queue_mut(waiting.place);
        queue.remove(&waiting.ticket);
        self.expiries.remove(&(waiting.give_up, id));
        Some(waiting)
    }

    /// Removes the waiting requests that match, in order of arrival.
    pub(super) fn withdraw(&mut self, matches: impl Fn(&Request) -> bool) -> Vec<Request> {
        let mut found: Vec<(u64, u64)> = self
            .waiting
            .values()
            .filter(|waiting| matches(&waiting.request))
            .map(|waiting| (waiting.ticket.position.sequence, waiting.request.id))
            .collect();
        found.sort_unstable();
        found
            .into_iter()
            .filter_map(|(_, id)| self.dequeue(id))
            .map(|waiting| waiting.request)
            .collect()
    }

    /// Gives the requests that were bound to a stopped server to another.
    pub(super) fn rebind(&mut self, now: Instant, backend: u16) {
        let place = Place::Server(backend);
        let bound: BTreeSet<u64> = self
            .waiting
            .values()
            .filter(|waiting| waiting.place == place && waiting.request.target == Target::Any)
            .map(|waiting| waiting.request.id)
            .collect();
        for request in self.withdraw(|request| bound.contains(&request.id)) {
            self.submit(now, request);
        }
    }

    fn queue_mut(&mut self, place: Place) -> &mut Queue {
        match place {
            Place::Server(backend) => &mut self.servers[usize::from(backend)].queue,
            Place::Common => &mut self.common,
        }
    }
}
