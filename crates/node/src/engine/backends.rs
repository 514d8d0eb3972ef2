//! Monitoring of the shard's backend servers.

use tarragon_model::time::Instant;
use tarragon_policy::backend::State as BackendState;
use tarragon_timeline::event::{Kind, Name};

use super::{Engine, Log};
use crate::health::{Availability, Change, Health, MAX_GRANT_DURATION};
use crate::input::{GrantResult, Now, ProbeResult};
use crate::output::Output;
use crate::state::Entry;

impl Engine {
    /// Applies the configured set of backend servers.
    pub(super) fn adopt_backends(&mut self, now: Now, log: &mut Log<'_>) {
        let configured: Vec<_> = self
            .service
            .backends_of(self.shard.index)
            .cloned()
            .collect();
        for backend in &configured {
            if !log.state().backends.contains(&backend.id) {
                log.append(now.at, Entry::Backend(backend.id.clone()));
            }
        }
        let known = log.state().backends.clone();
        for (position, id) in known.iter().enumerate() {
            let backend_config = configured.iter().find(|backend| backend.id == *id);
            if position >= self.health.len() {
                let addr = backend_config.map_or(([0, 0, 0, 0], 0).into(), |backend| backend.addr);
                let ended = self.prior_work_end();
                self.health
                    .push(Health::new(id.clone(), addr, now.at, ended));
                self.last_availability.push(None);
            }
            let health = &mut self.health[position];
            if let Some(backend) = backend_config {
                health.addr = backend.addr;
            }
            health.desired.leaving = backend_config.is_none_or(|backend| backend.draining);
            health.desired.declared_lost = backend_config.is_none_or(|backend| backend.lost);
        }
    }

    /// Returns when no work of an earlier leader can run any more.
    fn prior_work_end(&self) -> Instant {
        if !self.has_predecessor || self.seeded_faults.no_regrant_wait {
            return Instant::ZERO;
        }
        if self.service.checks_fences {
            return self.started_at + MAX_GRANT_DURATION;
        }
        self.started_at + self.orphan_wait
    }

    /// Sends due probes and grants and handles backend servers that were lost or came back.
    pub(super) fn watch_backends(&mut self, now: Now, out: &mut Vec<Output>, log: &mut Log<'_>) {
        for position in 0..self.health.len() {
            let health = &mut self.health[position];
            health.tick(now.at);
            if !health.desired.declared_lost {
                self.probe_and_grant(now, position, out);
            }
            self.report_availability(now, position, out);
        }
        self.release_orphans(now, log);
    }

    /// Sends a probe and a grant to a backend server if they are due.
    fn probe_and_grant(&mut self, now: Now, position: usize, out: &mut Vec<Output>) {
        let health = &mut self.health[position];
        let (backend, addr) = (health.id.clone(), health.addr);
        if health.take_due_probe(now.at) {
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
        if let Some(ticket) = health.take_due_grant(now.at) {
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

    /// Reports a changed availability of a backend server to the scheduler and the timeline.
    fn report_availability(&mut self, now: Now, position: usize, out: &mut Vec<Output>) {
        let availability = self.health[position].availability();
        let previous = self.last_availability[position].replace(availability);
        if previous == Some(availability) {
            return;
        }
        let backend = index(position);
        let (state, kind) = match availability {
            Availability::Live if previous.is_none() => (BackendState::Live, Kind::BackendLive),
            Availability::Live => (BackendState::Cold, Kind::BackendLive),
            Availability::Leaving => (BackendState::Leaving, Kind::BackendLeaving),
            Availability::Lost => (BackendState::Lost, Kind::BackendLost),
        };
        self.scheduler.set_backend(now.at, backend, state);
        self.next_plan = now.at;
        let draft = self
            .event(kind)
            .with(Name::Backend, &self.health[position].id);
        out.push(Output::Event(draft));
        if availability == Availability::Lost {
            self.abort_all(backend, out);
            self.hold_queued(now, backend);
        }
    }

    /// Aborts all requests that are dispatched to a backend server.
    fn abort_all(&mut self, backend: u16, out: &mut Vec<Output>) {
        let requests = self.requests.iter();
        let running =
            requests.filter(|(_, request)| request.backend == backend && request.is_dispatched());
        out.extend(running.map(|(id, _)| Output::Abort { id: *id }));
    }

    /// Removes orphaned work that is known to have ended.
    fn release_orphans(&mut self, now: Now, _log: &mut Log<'_>) {
        for position in 0..self.health.len() {
            let health = &self.health[position];
            let backend = index(position);
            match health.availability() {
                Availability::Lost
                    if self.seeded_faults.no_regrant_wait || health.desired.declared_lost =>
                {
                    self.occupancy.clear_orphans(backend);
                }
                Availability::Lost => {
                    let expired = now.at >= health.grant_expiry();
                    if self.service.checks_fences && expired && health.has_prior_work_ended(now.at)
                    {
                        self.occupancy.clear_orphans(backend);
                    }
                }
                Availability::Live | Availability::Leaving => {
                    self.occupancy.clear_ended_orphans(backend, now.at);
                }
            }
        }
    }

    /// Handles the result of a probe.
    pub fn handle_probe(
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
        if let Some(change) = self.health[position].handle_probe(now.at, result) {
            self.handle_change(now, index(position), change, asked, out, log);
        }
    }

    /// Handles the result of a grant offer.
    pub fn handle_grant(
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
        if let Some(change) = self.health[position].handle_grant(now.at, result) {
            self.handle_change(now, index(position), change, Instant::ZERO, out, log);
        }
    }

    /// Handles what a response to a query sent at `asked` shows about a backend server's process.
    pub(super) fn handle_change(
        &mut self,
        now: Now,
        backend: u16,
        change: Change,
        asked: Instant,
        out: &mut Vec<Output>,
        log: &mut Log<'_>,
    ) {
        match change {
            Change::Alive => self.dismiss_crash(now, backend, asked, out, log),
            Change::Restarted | Change::Gone => {
                self.occupancy.clear_orphans(backend);
                self.confirm_crash(now, backend, out, log);
                if change == Change::Restarted {
                    self.scheduler
                        .set_backend(now.at, backend, BackendState::Cold);
                }
            }
        }
    }

    /// Returns the position of a backend server.
    fn position(&self, id: &tarragon_model::backend::Id) -> Option<usize> {
        self.health.iter().position(|health| health.id == *id)
    }
}

/// Converts a position to the index that owners are stored with.
pub(super) fn index(position: usize) -> u16 {
    u16::try_from(position).unwrap_or(crate::state::NO_OWNER)
}
