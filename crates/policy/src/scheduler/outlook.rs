//! What the scheduler expects: eligibility, capacity and the work before a new request.

use std::time::Duration;

use tarragon_model::time::Instant;

use super::queue::{Kind, Queue};
use super::server::{Run, Server, float};
use super::{Place, Request, Scheduler};
use crate::admission::{Backlog, Offer};

/// Slots that a server is taken to have when long work holds all of them.
const MIN_FREE_SLOTS: f64 = 0.5;

impl Scheduler {
    /// Describes a request to the admission policy.
    pub(super) fn offer(&self, now: Instant, request: &Request, place: Place) -> Offer {
        let speed = match place {
            Place::Server(backend) => self.speeds.speed(backend),
            Place::Common => 1.0,
        };
        let mut estimate = self.durations.estimate(request.class, request.key);
        if self.was_preempted(request.id) && !estimate.long {
            estimate = estimate.as_long();
        }
        Offer {
            now,
            deadline: request.deadline,
            weight: request.weight,
            retry: request.retry,
            estimate,
            speed,
            wait_percent: self.preset.wait_percent,
        }
    }

    /// Describes the work before a new request.
    pub(super) fn backlog(&self, now: Instant, place: Place, kind: Kind, level: i32) -> Backlog {
        let queue = self.queue(place);
        let all = self.whole_backlog(now, place, queue, level);
        let bound = self.class_backlog(now, place, queue, kind, level);
        let slower = bound.filter(|bound| wait(bound) > wait(&all));
        Backlog {
            idle: self.is_idle(now, place, kind),
            ..slower.unwrap_or(all)
        }
    }

    /// Tells whether work of a kind may take a free slot of a server.
    pub(super) fn is_eligible(&self, now: Instant, backend: u16, kind: Kind) -> bool {
        if kind.exclusive && self.running_exclusive > 0 {
            return false;
        }
        let Some(server) = self.server(backend) else {
            return false;
        };
        self.class_fits(server, kind) && self.reserve_holds(now, backend, server, kind)
    }

    /// Returns when a request that starts now will count as long.
    pub(super) fn long_from(
        &self,
        now: Instant,
        request: &Request,
        kind: Kind,
        backend: u16,
    ) -> Instant {
        if kind.long {
            return now;
        }
        let work = self.durations.long_from(request.class);
        now + work.div_f64(self.speeds.speed(backend))
    }

    fn class_fits(&self, server: &Server, kind: Kind) -> bool {
        let most = self.class_slots(kind.class);
        most.is_none_or(|most| server.runs_of_class(kind.class) < most)
    }

    /// Tells whether a class had room if a run were given up.
    pub(super) fn class_fits_without(&self, server: &Server, kind: Kind, run: &Run) -> bool {
        let most = self.class_slots(kind.class);
        let freed = usize::from(run.class == kind.class);
        most.is_none_or(|most| server.runs_of_class(kind.class) < most + freed)
    }

    /// Returns the slots of a server that a class may use, if they are bounded.
    fn class_slots(&self, class: u8) -> Option<usize> {
        if !self.admission.bounds_classes() {
            return None;
        }
        let class = self.classes.get(usize::from(class))?;
        Some(usize::from(class.max_slots.max(1)))
    }

    /// Tells whether the slots kept for short work stay free of long work.
    fn reserve_holds(&self, now: Instant, backend: u16, server: &Server, kind: Kind) -> bool {
        if !kind.long {
            return true;
        }
        let limit = server.nominal_limit(now, self.slots);
        let reserve = self.reserve(now, backend, server);
        server.long_runs(now) + reserve < limit
    }

    /// Returns the slots of a server that long work may not hold.
    pub(super) fn reserve(&self, now: Instant, backend: u16, server: &Server) -> usize {
        let limit = server.nominal_limit(now, self.slots);
        let own = server.queue.short_inflow(now) / self.speeds.speed(backend);
        let short_load = own + self.common_short_part(now) * float(limit);
        self.admission.reserve(limit, short_load)
    }

    /// Returns the part of all slots that short work of the common queue keeps busy.
    fn common_short_part(&self, now: Instant) -> f64 {
        let inflow = self.common.short_inflow(now);
        if inflow <= 0.0 {
            return 0.0;
        }
        let capacity: f64 = self
            .servers_of(Place::Common)
            .map(|(_, server, speed)| float(server.nominal_limit(now, self.slots)) * speed)
            .sum();
        inflow / capacity.max(f64::MIN_POSITIVE)
    }

    fn queue(&self, place: Place) -> &Queue {
        match place {
            Place::Server(backend) => &self.servers[usize::from(backend)].queue,
            Place::Common => &self.common,
        }
    }

    /// Returns the servers that take from a queue, with their speeds.
    fn servers_of(&self, place: Place) -> impl Iterator<Item = (u16, &Server, f64)> {
        (0_u16..)
            .zip(&self.servers)
            .filter(move |(backend, server)| match place {
                Place::Server(owner) => owner == *backend,
                Place::Common => server.state.takes_work(),
            })
            .map(|(backend, server)| (backend, server, self.speeds.speed(backend)))
    }

    /// Describes the waiting work of all kinds.
    fn whole_backlog(&self, now: Instant, place: Place, queue: &Queue, level: i32) -> Backlog {
        let capacity: f64 = self
            .servers_of(place)
            .map(|(_, server, speed)| self.free_of_long(now, server) * speed)
            .sum();
        Backlog {
            idle: false,
            ahead: queue.ahead(level, |_| true),
            capacity,
            claimed: queue.inflow_before(now, level) / capacity.max(f64::MIN_POSITIVE),
        }
    }

    /// Describes the waiting work of one class, if its slots are bounded.
    fn class_backlog(
        &self,
        now: Instant,
        place: Place,
        queue: &Queue,
        kind: Kind,
        level: i32,
    ) -> Option<Backlog> {
        let most = float(self.class_slots(kind.class)?);
        let capacity: f64 = self
            .servers_of(place)
            .map(|(_, server, speed)| most.min(self.free_of_long(now, server)) * speed)
            .sum();
        Some(Backlog {
            idle: false,
            ahead: queue.ahead(level, |other| other.class == kind.class),
            capacity,
            claimed: 0.0,
        })
    }

    /// Returns the slots of a server that long work does not hold.
    fn free_of_long(&self, now: Instant, server: &Server) -> f64 {
        let limit = float(server.nominal_limit(now, self.slots));
        (limit - float(server.long_runs(now) + server.foreign)).max(MIN_FREE_SLOTS)
    }

    /// Tells whether a slot is free that no waiting work is going to take.
    fn is_idle(&self, now: Instant, place: Place, kind: Kind) -> bool {
        let queue = self.queue(place);
        let mut free = 0;
        for (backend, server, _) in self.servers_of(place) {
            if self.is_eligible(now, backend, kind) {
                free += server.free(now, self.slots);
            }
        }
        let waiting = queue.len_of(|other| {
            self.servers_of(place)
                .any(|(backend, _, _)| self.is_eligible(now, backend, other))
        });
        free > waiting
    }
}

/// Returns the time that the work before a request takes, in seconds.
fn wait(backlog: &Backlog) -> f64 {
    let ahead: Duration = backlog.ahead;
    ahead.as_secs_f64() / backlog.capacity.max(f64::MIN_POSITIVE)
}
