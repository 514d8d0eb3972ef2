//! Preemption of long-running requests in favour of waiting ones.
//!
//! Stragglers cannot be recognized before they run, so reserving slots is not enough to keep them
//! from occupying every slot of a server. A request that turned out to be long is preempted in
//! three cases: long requests occupy slots reserved for short ones while a short one waits; long
//! requests hold half the slots and a short one has waited for its own typical duration; or
//! requests of higher priority (more weight per second of work) are being refused. A request is
//! preempted at most once. If it is submitted again under the same identifier, it counts as long.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use super::Scheduler;
use super::queue::Kind;
use super::server::{Run, Server};
use crate::admission::Arrival;
use crate::duration::Estimate;

/// Time for which a refusal justifies preemption.
const REFUSAL_WINDOW: Duration = Duration::from_millis(200);
/// Minimum number of levels between a refused request and a run that is preempted for it.
const MIN_LEVEL_GAP: i32 = 2;
/// Maximum number of remembered identifiers of preempted requests.
const MAX_PREEMPTED: usize = 1_024;

impl Scheduler {
    /// Selects running requests to preempt, at most one per backend server.
    ///
    /// `may_cancel` returns whether a request can be cancelled safely: it must be idempotent and
    /// nothing of its response may have been forwarded. For each identifier returned, cancel the
    /// request and call [`Scheduler::complete`] with [`super::Completion::Cancelled`]; the request
    /// may then be submitted again under the same identifier.
    pub fn preempt(
        &mut self,
        now: Instant,
        may_cancel: impl Fn(u64) -> bool,
    ) -> SmallVec<[u64; 4]> {
        let mut chosen: SmallVec<[u64; 4]> = SmallVec::new();
        if !self.admission.preempts() {
            return chosen;
        }
        for backend in (0_u16..).take(self.servers.len()) {
            let run = self.newest_long_run(now, backend, &may_cancel);
            let Some(run) = run.filter(|run| self.should_preempt(now, backend, run)) else {
                continue;
            };
            chosen.push(run.id);
        }
        for id in &chosen {
            self.record_preempted(*id);
        }
        chosen
    }

    /// Returns whether a request was preempted before.
    pub(super) fn was_preempted(&self, id: u64) -> bool {
        self.preempted.contains(&id)
    }

    /// Returns the long run that may be cancelled with the least work lost.
    ///
    /// Returns `None` while the server has a free slot or nothing waits for it. Requests that were
    /// expected to be long when they started are not preempted.
    fn newest_long_run(
        &self,
        now: Instant,
        backend: u16,
        may_cancel: &impl Fn(u64) -> bool,
    ) -> Option<Run> {
        let server = self.server(backend)?;
        if server.free(now, self.slots) > 0 || server.queue.len() + self.shared.len() == 0 {
            return None;
        }
        server
            .runs
            .iter()
            .filter(|run| run.long_at <= now && run.long_at > run.started)
            .filter(|run| !self.was_preempted(run.id) && may_cancel(run.id))
            .max_by_key(|run| run.started)
            .copied()
    }

    /// Returns whether waiting or refused requests justify preempting a long run.
    fn should_preempt(&self, now: Instant, backend: u16, run: &Run) -> bool {
        let Some(server) = self.server(backend) else {
            return false;
        };
        self.exceeds_reserve(now, backend, server, run)
            || self.blocks_short(now, backend, server, run)
            || self.refused_ranks_higher(now, server, run)
    }

    /// Returns whether long requests occupy reserved slots while a short request waits.
    fn exceeds_reserve(&self, now: Instant, backend: u16, server: &Server, run: &Run) -> bool {
        let limit = server.nominal_limit(now, self.slots);
        let reserve = self.reserve(now, backend, server);
        if server.long_runs(now) + reserve <= limit {
            return false;
        }
        let fits = |kind: Kind| self.short_fits_slot_of(server, kind, run);
        server.queue.first(now, fits).is_some() || self.shared.first(now, fits).is_some()
    }

    /// Returns whether long requests hold at least half the slots while a short request of at least
    /// the run's priority has waited for its own typical duration.
    fn blocks_short(&self, now: Instant, backend: u16, server: &Server, run: &Run) -> bool {
        let limit = server.nominal_limit(now, self.slots);
        if server.long_runs(now) * 2 < limit {
            return false;
        }
        let fits = |kind: Kind| self.short_fits_slot_of(server, kind, run);
        let queues = [&server.queue, &self.shared];
        let first = queues
            .iter()
            .filter_map(|queue| queue.first_ranked(fits))
            .min();
        first.is_some_and(|(position, since)| {
            let is_late = now.since(since) >= self.typical_time(position.id, backend);
            is_late && position.rank.level <= self.level_of(now, run)
        })
    }

    /// Returns whether a kind is short and could take the slot of a run.
    fn short_fits_slot_of(&self, server: &Server, kind: Kind, run: &Run) -> bool {
        let is_blocked = kind.exclusive && self.running_exclusive > 0;
        !kind.long && !is_blocked && self.fits_class_without(server, kind, run)
    }

    /// Returns the typical duration of a waiting request on a server.
    fn typical_time(&self, id: u64, backend: u16) -> Duration {
        let request = self.waiting.get(&id).map(|waiting| &waiting.request);
        request.map_or(Duration::MAX, |request| {
            let estimate = self.durations.estimate(request.class, request.key);
            estimate.typical.div_f64(self.speeds.speed(backend))
        })
    }

    /// Returns whether requests of higher priority than a run were refused recently.
    fn refused_ranks_higher(&self, now: Instant, server: &Server, run: &Run) -> bool {
        let queues = [&server.queue, &self.shared];
        let refused = queues
            .iter()
            .filter_map(|queue| queue.last_refusal())
            .filter(|refused| now.since(refused.at) < REFUSAL_WINDOW)
            .map(|refused| refused.level)
            .min();
        refused.is_some_and(|level| level + MIN_LEVEL_GAP <= self.level_of(now, run))
    }

    /// Returns the level of a run, assuming that it needs as much work again as it has done so far.
    fn level_of(&self, now: Instant, run: &Run) -> i32 {
        let backend = self.running.get(&run.id).copied().unwrap_or_default();
        let speed = self.speeds.speed(backend);
        let work = now.since(run.started).mul_f64(speed);
        let arrival = Arrival {
            now,
            deadline: run.deadline,
            weight: run.weight,
            retry: false,
            estimate: Estimate {
                typical: work,
                mean: work,
                long: true,
            },
            speed,
            wait_percent: self.preset.wait_percent,
        };
        self.admission.rank(&arrival).level
    }

    fn record_preempted(&mut self, id: u64) {
        self.preempted.push_back(id);
        if self.preempted.len() > MAX_PREEMPTED {
            self.preempted.pop_front();
        }
    }
}
