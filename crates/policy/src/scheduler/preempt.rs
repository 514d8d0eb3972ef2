//! Preemption of long runs whose slots are worth more to waiting work.
//!
//! Nobody can tell a straggler before it runs, so reserved slots alone cannot keep stragglers from
//! holding every slot of a server. A run that has become long is given up in three cases: when long
//! work has taken slots that are reserved for short work while short work waits, when it holds
//! half the slots and short work has waited for as long as it typically runs, and when work of
//! more worth for each second is being refused. A run is given up once at most; submitted again
//! under its identifier, it waits as long work.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use super::Scheduler;
use super::queue::Kind;
use super::server::{Run, Server};
use crate::admission::Offer;
use crate::duration::Estimate;

/// Time for which a refusal counts as a sign of overload.
const PRESSURE_WINDOW: Duration = Duration::from_millis(200);
/// Levels by which refused work must be better than a run that is given up for it.
const LEAST_LEVELS: i32 = 2;
/// Identifiers of given up requests that are remembered, at most.
const MAX_PREEMPTED: usize = 1_024;

impl Scheduler {
    /// Returns running requests that are worth cancelling for the work that waits.
    ///
    /// `may_cancel` tells whether a request can be cancelled without harm, which holds for
    /// idempotent requests of whose answer nothing was passed on. The caller cancels them, calls
    /// [`Scheduler::complete`] with [`super::Completion::Cancelled`] and may submit them again under
    /// the same identifier.
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
            let run = self.worst_run(now, backend, &may_cancel);
            let Some(id) = run.filter(|run| self.is_outbid(now, backend, run)) else {
                continue;
            };
            chosen.push(id.id);
        }
        for id in &chosen {
            self.note_preempted(*id);
        }
        chosen
    }

    /// Tells whether a request was given up before.
    pub(super) fn was_preempted(&self, id: u64) -> bool {
        self.preempted.contains(&id)
    }

    /// Returns the long run, of those that may be cancelled, in which least work would be lost.
    fn worst_run(
        &self,
        now: Instant,
        backend: u16,
        may_cancel: &impl Fn(u64) -> bool,
    ) -> Option<Run> {
        let server = self.server(backend)?;
        if server.free(now, self.slots) > 0 || server.queue.len() + self.common.len() == 0 {
            return None;
        }
        server
            .runs
            .iter()
            .filter(|run| run.long_from <= now && run.long_from > run.started)
            .filter(|run| !self.was_preempted(run.id) && may_cancel(run.id))
            .max_by_key(|run| run.started)
            .copied()
    }

    /// Tells whether waiting or refused work has the better claim to the slot of a long run.
    fn is_outbid(&self, now: Instant, backend: u16, run: &Run) -> bool {
        let Some(server) = self.server(backend) else {
            return false;
        };
        self.breaks_reserve(now, backend, server, run)
            || self.blocks_short(now, backend, server, run)
            || self.is_worth_less(now, server, run)
    }

    /// Tells whether long work holds reserved slots while short work waits for them.
    fn breaks_reserve(&self, now: Instant, backend: u16, server: &Server, run: &Run) -> bool {
        let limit = server.nominal_limit(now, self.slots);
        let reserve = self.reserve(now, backend, server);
        if server.long_runs(now) + reserve <= limit {
            return false;
        }
        let waits = |kind: Kind| self.is_short_without(server, kind, run);
        server.queue.first(now, waits).is_some() || self.common.first(now, waits).is_some()
    }

    /// Tells whether short work of more worth has waited for as long as it typically runs, while
    /// long work holds half the slots or more.
    fn blocks_short(&self, now: Instant, backend: u16, server: &Server, run: &Run) -> bool {
        let limit = server.nominal_limit(now, self.slots);
        if server.long_runs(now) * 2 < limit {
            return false;
        }
        let waits = |kind: Kind| self.is_short_without(server, kind, run);
        let queues = [&server.queue, &self.common];
        let first = queues
            .iter()
            .filter_map(|queue| queue.first_ranked(waits))
            .min();
        first.is_some_and(|(position, since)| {
            let is_late = now.since(since) >= self.typical_time(position.id, backend);
            is_late && position.rank.level <= self.level_of(now, run)
        })
    }

    /// Tells whether short work of a kind could take the slot of a run.
    fn is_short_without(&self, server: &Server, kind: Kind, run: &Run) -> bool {
        let is_blocked = kind.exclusive && self.running_exclusive > 0;
        !kind.long && !is_blocked && self.class_fits_without(server, kind, run)
    }

    /// Returns how long a waiting request typically runs on a server.
    fn typical_time(&self, id: u64, backend: u16) -> Duration {
        let request = self.waiting.get(&id).map(|waiting| &waiting.request);
        request.map_or(Duration::MAX, |request| {
            let estimate = self.durations.estimate(request.class, request.key);
            estimate.typical.div_f64(self.speeds.speed(backend))
        })
    }

    /// Tells whether work of more worth for each second is being refused.
    fn is_worth_less(&self, now: Instant, server: &Server, run: &Run) -> bool {
        let queues = [&server.queue, &self.common];
        let refused = queues
            .iter()
            .filter_map(|queue| queue.refused())
            .filter(|refused| now.since(refused.at) < PRESSURE_WINDOW)
            .map(|refused| refused.level)
            .min();
        refused.is_some_and(|level| level + LEAST_LEVELS <= self.level_of(now, run))
    }

    /// Returns the level of a run that is expected to last as long again.
    fn level_of(&self, now: Instant, run: &Run) -> i32 {
        let backend = self.running.get(&run.id).copied().unwrap_or_default();
        let speed = self.speeds.speed(backend);
        let work = now.since(run.started).mul_f64(speed);
        let offer = Offer {
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
        self.admission.rank(&offer).level
    }

    fn note_preempted(&mut self, id: u64) {
        self.preempted.push_back(id);
        if self.preempted.len() > MAX_PREEMPTED {
            self.preempted.pop_front();
        }
    }
}
