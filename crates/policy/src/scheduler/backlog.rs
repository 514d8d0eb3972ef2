//! Backlog, capacity and eligibility: the inputs of admission and dispatch.

use std::time::Duration;

use tarragon_model::time::Instant;

use super::queue::{Kind, Queue};
use super::server::{Run, Server, float};
use super::{QueueId, Request, Scheduler};
use crate::admission::{Arrival, Backlog};

/// Assumed number of slots of a server whose slots are all held by long requests.
const MIN_FREE_SLOTS: f64 = 0.5;

impl Scheduler {
    /// Returns what the admission policy needs to know of a request.
    pub(super) fn arrival(&self, now: Instant, request: &Request, queue_id: QueueId) -> Arrival {
        let speed = match queue_id {
            QueueId::Server(backend) => self.speeds.speed(backend),
            QueueId::Shared => 1.0,
        };
        let mut estimate = self.durations.estimate(request.class, request.key);
        if self.was_preempted(request.id) && !estimate.long {
            estimate = estimate.as_long();
        }
        Arrival {
            now,
            deadline: request.deadline,
            weight: request.weight,
            retry: request.retry,
            estimate,
            speed,
            wait_percent: self.preset.wait_percent,
        }
    }

    /// Returns the work ahead of a new request: that of its class, if the class has a slot limit
    /// and the longer wait, or else that of all classes.
    pub(super) fn backlog(
        &self,
        now: Instant,
        queue_id: QueueId,
        kind: Kind,
        level: i32,
    ) -> Backlog {
        let queue = self.queue(queue_id);
        let total = self.total_backlog(now, queue_id, queue, level);
        let class = self.class_backlog(now, queue_id, queue, kind, level);
        let slower = class.filter(|class| wait_seconds(class) > wait_seconds(&total));
        Backlog {
            idle: self.is_idle(now, queue_id, kind),
            ..slower.unwrap_or(total)
        }
    }

    /// Returns whether a request of a kind may take a free slot of a server.
    pub(super) fn is_eligible(&self, now: Instant, backend: u16, kind: Kind) -> bool {
        if kind.exclusive && self.running_exclusive > 0 {
            return false;
        }
        let Some(server) = self.server(backend) else {
            return false;
        };
        self.fits_class(server, kind) && self.fits_reserve(now, backend, server, kind)
    }

    /// Returns the time from which a request that starts now counts as long.
    pub(super) fn long_at(
        &self,
        now: Instant,
        request: &Request,
        kind: Kind,
        backend: u16,
    ) -> Instant {
        if kind.long {
            return now;
        }
        let work = self.durations.long_threshold(request.class);
        now + work.div_f64(self.speeds.speed(backend))
    }

    fn fits_class(&self, server: &Server, kind: Kind) -> bool {
        let max_slots = self.class_slots(kind.class);
        max_slots.is_none_or(|max_slots| server.runs_of_class(kind.class) < max_slots)
    }

    /// Returns whether a class would have a free slot if a run were cancelled.
    pub(super) fn fits_class_without(&self, server: &Server, kind: Kind, run: &Run) -> bool {
        let max_slots = self.class_slots(kind.class);
        let freed = usize::from(run.class == kind.class);
        max_slots.is_none_or(|max_slots| server.runs_of_class(kind.class) < max_slots + freed)
    }

    /// Returns the number of slots that a class may use on a server, or `None` without a limit.
    fn class_slots(&self, class: u8) -> Option<usize> {
        if !self.admission.limits_classes() {
            return None;
        }
        let class = self.classes.get(usize::from(class))?;
        Some(usize::from(class.max_slots.max(1)))
    }

    /// Returns whether a request of a kind leaves the slots reserved for short requests free.
    fn fits_reserve(&self, now: Instant, backend: u16, server: &Server, kind: Kind) -> bool {
        if !kind.long {
            return true;
        }
        let limit = server.nominal_limit(now, self.slots);
        let reserve = self.reserve(now, backend, server);
        server.long_runs(now) + reserve < limit
    }

    /// Returns the number of slots of a server that are reserved for short requests.
    pub(super) fn reserve(&self, now: Instant, backend: u16, server: &Server) -> usize {
        let limit = server.nominal_limit(now, self.slots);
        let own = server.queue.short_arrival_rate(now) / self.speeds.speed(backend);
        let short_load = own + self.shared_short_utilization(now) * float(limit);
        self.admission.reserve(limit, short_load)
    }

    /// Returns the share of all slots that short requests of the shared queue keep busy.
    fn shared_short_utilization(&self, now: Instant) -> f64 {
        let arrival_rate = self.shared.short_arrival_rate(now);
        if arrival_rate <= 0.0 {
            return 0.0;
        }
        let capacity: f64 = self
            .servers_of(QueueId::Shared)
            .map(|(_, server, speed)| float(server.nominal_limit(now, self.slots)) * speed)
            .sum();
        arrival_rate / capacity.max(f64::MIN_POSITIVE)
    }

    fn queue(&self, queue_id: QueueId) -> &Queue {
        match queue_id {
            QueueId::Server(backend) => &self.servers[usize::from(backend)].queue,
            QueueId::Shared => &self.shared,
        }
    }

    /// Returns the servers that take requests from a queue, with their speeds.
    fn servers_of(&self, queue_id: QueueId) -> impl Iterator<Item = (u16, &Server, f64)> {
        (0_u16..)
            .zip(&self.servers)
            .filter(move |(backend, server)| match queue_id {
                QueueId::Server(owner) => owner == *backend,
                QueueId::Shared => server.state.takes_work(),
            })
            .map(|(backend, server)| (backend, server, self.speeds.speed(backend)))
    }

    /// Returns the waiting work of all classes.
    fn total_backlog(&self, now: Instant, queue_id: QueueId, queue: &Queue, level: i32) -> Backlog {
        let capacity: f64 = self
            .servers_of(queue_id)
            .map(|(_, server, speed)| self.slots_without_long(now, server) * speed)
            .sum();
        Backlog {
            idle: false,
            ahead: queue.work_ahead(level, |_| true),
            capacity,
            higher_priority_load: queue.arrival_rate_below(now, level)
                / capacity.max(f64::MIN_POSITIVE),
        }
    }

    /// Returns the waiting work of one class, or `None` if the class has no slot limit.
    fn class_backlog(
        &self,
        now: Instant,
        queue_id: QueueId,
        queue: &Queue,
        kind: Kind,
        level: i32,
    ) -> Option<Backlog> {
        let max_slots = float(self.class_slots(kind.class)?);
        let capacity: f64 = self
            .servers_of(queue_id)
            .map(|(_, server, speed)| max_slots.min(self.slots_without_long(now, server)) * speed)
            .sum();
        Some(Backlog {
            idle: false,
            ahead: queue.work_ahead(level, |other| other.class == kind.class),
            capacity,
            higher_priority_load: 0.0,
        })
    }

    /// Returns the number of slots of a server not held by long requests or by those of a previous
    /// leader, at least [`MIN_FREE_SLOTS`].
    fn slots_without_long(&self, now: Instant, server: &Server) -> f64 {
        let limit = float(server.nominal_limit(now, self.slots));
        (limit - float(server.long_runs(now) + server.inherited)).max(MIN_FREE_SLOTS)
    }

    /// Returns whether more slots are free than waiting requests can take.
    fn is_idle(&self, now: Instant, queue_id: QueueId, kind: Kind) -> bool {
        let queue = self.queue(queue_id);
        let mut free = 0;
        for (backend, server, _) in self.servers_of(queue_id) {
            if self.is_eligible(now, backend, kind) {
                free += server.free(now, self.slots);
            }
        }
        let waiting = queue.len_where(|other| {
            self.servers_of(queue_id)
                .any(|(backend, _, _)| self.is_eligible(now, backend, other))
        });
        free > waiting
    }
}

/// Returns the time in seconds to finish the work ahead of a request.
fn wait_seconds(backlog: &Backlog) -> f64 {
    let ahead: Duration = backlog.ahead;
    ahead.as_secs_f64() / backlog.capacity.max(f64::MIN_POSITIVE)
}
