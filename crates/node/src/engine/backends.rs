//! Watching the backend servers of the shard.

use tarragon_model::time::Instant;
use tarragon_policy::backend::State as Slots;
use tarragon_timeline::event::{Kind, Name};

use super::{Engine, Log};
use crate::health::{Change, GRANT_SPAN, Health, Standing};
use crate::input::{GrantResult, Now, ProbeResult};
use crate::output::Output;
use crate::state::Entry;

impl Engine {
    /// Takes in the backend servers that the configuration names.
    pub(super) fn adopt_backends(&mut self, now: Now, log: &mut Log<'_>) {
        let wanted: Vec<_> = self
            .service
            .backends_of(self.shard.index)
            .cloned()
            .collect();
        for backend in &wanted {
            if !log.state().backends.contains(&backend.id) {
                log.append(now.at, Entry::Backend(backend.id.clone()));
            }
        }
        let known = log.state().backends.clone();
        for (position, id) in known.iter().enumerate() {
            let declared = wanted.iter().find(|backend| backend.id == *id);
            if position >= self.health.len() {
                let addr = declared.map_or(([0, 0, 0, 0], 0).into(), |backend| backend.addr);
                let ended = self.earlier_work_ends();
                self.health
                    .push(Health::new(id.clone(), addr, now.at, ended));
                self.standings.push(None);
            }
            let health = &mut self.health[position];
            if let Some(backend) = declared {
                health.addr = backend.addr;
            }
            health.wish.leaving = declared.is_none_or(|backend| backend.draining);
            health.wish.declared_lost = declared.is_none_or(|backend| backend.lost);
        }
    }

    /// Returns when no work of an earlier leader can run any more.
    fn earlier_work_ends(&self) -> Instant {
        if !self.succeeds || self.flaws.no_regrant_wait {
            return Instant::ZERO;
        }
        if self.service.checks_fences {
            return self.began + GRANT_SPAN;
        }
        self.began + self.orphan_wait
    }

    /// Sends due probes and grants and reacts to backend servers that were lost or came back.
    pub(super) fn watch_backends(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        for position in 0..self.health.len() {
            let health = &mut self.health[position];
            health.tick(now.at);
            if !health.wish.declared_lost {
                self.ask(now, position, out);
            }
            self.note_standing(now, position, out);
        }
        self.release_orphans(now, log);
    }

    fn ask(&mut self, now: Now, position: usize, out: &mut Vec<Output>) {
        let health = &mut self.health[position];
        let (backend, addr) = (health.id.clone(), health.addr);
        if health.wants_probe(now.at) {
            let shard = self.shard.clone();
            out.push(Output::Probe {
                shard,
                backend: backend.clone(),
                addr,
            });
        }
        if !self.service.checks_fences {
            return;
        }
        if let Some(ticket) = health.wants_grant(now.at) {
            let (shard, fence) = (self.shard.clone(), self.fence);
            out.push(Output::Grant {
                shard,
                backend,
                addr,
                fence,
                ticket,
            });
        }
    }

    /// Tells the scheduler and the time line when the standing of a backend server changed.
    fn note_standing(&mut self, now: Now, position: usize, out: &mut Vec<Output>) {
        let standing = self.health[position].standing();
        let before = self.standings[position].replace(standing);
        if before == Some(standing) {
            return;
        }
        let backend = index(position);
        let (state, kind) = match standing {
            Standing::Live if before.is_none() => (Slots::Live, Kind::BackendLive),
            Standing::Live => (Slots::Cold, Kind::BackendLive),
            Standing::Leaving => (Slots::Leaving, Kind::BackendLeaving),
            Standing::Lost => (Slots::Lost, Kind::BackendLost),
        };
        self.scheduler.set_backend(now.at, backend, state);
        self.next_plan = now.at;
        let draft = self
            .event(kind)
            .with(Name::Backend, &self.health[position].id);
        out.push(Output::Event(draft));
        if standing == Standing::Lost {
            self.abort_all(backend, out);
            self.rehold_queued(now, backend);
        }
    }

    fn abort_all(&mut self, backend: u16, out: &mut Vec<Output>) {
        let flights = self.flights.iter();
        let running = flights.filter(|(_, flight)| flight.backend == backend && flight.is_out());
        out.extend(running.map(|(id, _)| Output::Abort { id: *id }));
    }

    /// Forgets work without a connection once its end is proven.
    fn release_orphans(&mut self, now: Now, _log: &mut Log<'_>) {
        for position in 0..self.health.len() {
            let health = &self.health[position];
            let backend = index(position);
            match health.standing() {
                Standing::Lost if self.flaws.no_regrant_wait || health.wish.declared_lost => {
                    self.occupancy.clear_orphans(backend);
                }
                Standing::Lost => {
                    let expired = now.at >= health.grants_end();
                    if self.service.checks_fences && expired && health.is_clear(now.at) {
                        self.occupancy.clear_orphans(backend);
                    }
                }
                Standing::Live | Standing::Leaving => {
                    self.occupancy.clear_ended_orphans(backend, now.at);
                }
            }
        }
    }

    /// Takes in the answer to a probe.
    pub fn probed(
        &mut self,
        now: Now,
        id: &tarragon_model::backend::Id,
        result: &ProbeResult,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(position) = self.position(id) else {
            return;
        };
        let asked = self.health[position].probe_sent();
        if let Some(change) = self.health[position].probed(now.at, result) {
            self.changed(now, index(position), change, asked, out, log);
        }
    }

    /// Takes in the answer to an offered grant.
    pub fn granted(
        &mut self,
        now: Now,
        id: &tarragon_model::backend::Id,
        result: &GrantResult,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        let Some(position) = self.position(id) else {
            return;
        };
        if let Some(change) = self.health[position].offered(now.at, result) {
            self.changed(now, index(position), change, Instant::ZERO, out, log);
        }
    }

    /// Reacts to what an answer, asked for at `asked`, shows of a backend server's process.
    pub(super) fn changed(
        &mut self,
        now: Now,
        backend: u16,
        change: Change,
        asked: Instant,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        match change {
            Change::Alive => self.acquit(now, backend, asked, out, log),
            Change::Restarted | Change::Gone => {
                self.occupancy.clear_orphans(backend);
                self.convict(now, backend, out, log);
                if change == Change::Restarted {
                    self.scheduler.set_backend(now.at, backend, Slots::Cold);
                }
            }
        }
    }

    fn position(&self, id: &tarragon_model::backend::Id) -> Option<usize> {
        self.health.iter().position(|health| health.id == *id)
    }
}

/// Returns a position as the index that owners are stored with.
pub(super) fn index(position: usize) -> u16 {
    u16::try_from(position).unwrap_or(crate::state::NOBODY)
}
