//! Choice of a backend server for a request without a key.

use tarragon_dispatch::catalog::Kind;
use tarragon_dispatch::fleet::{Criteria, Pick, Refusal};

use super::{DEFAULT_RETRY_AFTER, Failure, Request};

impl Request<'_> {
    /// Selects one of the backend servers of the service.
    pub(super) fn select_server(&self) -> Result<Pick, Failure> {
        let state = self.state;
        let fleet = state.fleet.borrow();
        let max_idle = self.content.max_idle();
        let has_idle = |id: &str| state.pool.has_idle(id, max_idle);
        let picked = fleet.pick(&self.criteria(), &has_idle, state.now());
        picked.map_err(|refusal| match refusal {
            Refusal::NoServer if self.homes.regions().is_some() => {
                self.failure("no backend server in a home region", DEFAULT_RETRY_AFTER)
            }
            Refusal::NoServer => self.failure("no backend server", DEFAULT_RETRY_AFTER),
            Refusal::Cold(after) => self.failure("all backend servers are cold", after),
            Refusal::Overloaded(after) => self.failure("all backend servers are full", after),
        })
    }

    /// Rejects a request to a service without keys that is not within the admitted share.
    pub(super) fn check_share(&self) -> Result<(), Failure> {
        if self.is_keyed() {
            return Ok(());
        }
        let (state, route) = (self.state, self.route);
        let admitted = state
            .overload
            .admit(route, self.service, self.fingerprint, state.now());
        admitted.map_err(|wait| {
            state
                .metrics
                .count_not_admitted(self.service, route.priority);
            Failure::not_run("not admitted: servers are short of capacity", wait)
        })
    }

    /// Counts a response for the computation of the shares.
    pub(super) fn record_served(&self) {
        if !self.is_keyed() {
            let elapsed = self.started.elapsed();
            self.state
                .overload
                .record_served(self.route, self.service, elapsed);
        }
    }

    pub(super) fn criteria(&self) -> Criteria<'_> {
        Criteria {
            service: self.service,
            homes: &self.homes,
            tried: &self.tried,
            remaining: self.time_left(),
            objective: self.route.objective.saturating_sub(self.started.elapsed()),
            priority: self.route.priority,
            large_response: self.route.kind == Kind::Download,
            request_bytes: self.content.body.len(),
            random: rand::random(),
        }
    }

    /// Applies the homes of the request's route in the present catalog, besides those that it began
    /// with: from then on its data must not leave them.
    pub(super) fn update_homes(&mut self) {
        let revision = self.state.catalog_revision();
        if self.homes_revision == revision {
            return;
        }
        self.homes_revision = revision;
        let catalog = self.state.catalog();
        let routes = catalog.routes.iter();
        let present = routes.filter(|route| route.name == self.route.name);
        for route in present {
            self.homes = self.homes.intersection(&route.homes);
        }
    }
}
