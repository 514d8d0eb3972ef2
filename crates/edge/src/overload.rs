//! Admission of requests while servers are short of capacity: what hosts count and report for it, and
//! the shares that the granter sends.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use tarragon_dispatch::admission::{self, Controller, Demand, Report, Share, Shares};
use tarragon_dispatch::catalog::Route;
use tarragon_dispatch::poison::Fingerprint;
use tarragon_model::time::Instant;

use crate::state::State;

/// Source of the shares that this host computed itself; links have higher numbers.
const OWN_SOURCE: u64 = 0;
/// Part of the response time objective after which a response counts as late in reports.
const LATE_PART: u32 = 2;

/// Counts and shares of one host.
#[derive(Default)]
pub struct Overload {
    demand: RefCell<BTreeMap<(String, u32), Demand>>,
    shares: RefCell<Shares>,
    /// Term of the granter on this host, and its computation.
    controller: RefCell<(u64, Controller)>,
}

impl Overload {
    /// Counts a request to a service without keys, and admits it if it is within the share.
    ///
    /// # Errors
    ///
    /// Returns the time after which the request will be within the share.
    pub fn admit(
        &self,
        route: &Route,
        service: &str,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Result<(), Duration> {
        let shares = self.shares.borrow();
        let admitted = shares
            .get(service, route.priority, now)
            .map_or(Ok(()), |share| {
                let period = admission::period(route.timeout);
                let position = admission::position(fingerprint, shares.time(now), period);
                admission::admit(share, position, period, rand::random())
            });
        self.count(service, route.priority, |demand| {
            demand.received += 1;
            demand.admitted += u32::from(admitted.is_ok());
        });
        admitted
    }

    /// Counts a response of a server to an admitted request.
    pub fn record_served(&self, route: &Route, service: &str, elapsed: Duration) {
        let is_late = elapsed > route.objective / LATE_PART;
        self.count(service, route.priority, |demand| {
            demand.served += 1;
            demand.late += u32::from(is_late);
        });
    }

    fn count(&self, service: &str, priority: u32, change: impl FnOnce(&mut Demand)) {
        let mut demand = self.demand.borrow_mut();
        let counts = demand
            .entry((service.to_owned(), priority))
            .or_insert_with(|| Demand {
                service: service.to_owned(),
                priority,
                ..Demand::default()
            });
        change(counts);
    }

    /// Returns the report to the granter, and resets what it counts.
    pub fn take_report(&self, state: &State) -> Report {
        if !state.bounds.get().admission {
            return Report::default();
        }
        let catalog = state.catalog();
        let mut pressure = state.fleet.borrow_mut().take_pressure();
        pressure.retain(|each| catalog.service(&each.service).is_some_and(|s| !s.keyed));
        let demand = std::mem::take(&mut *self.demand.borrow_mut());
        Report {
            demand: demand.into_values().collect(),
            pressure,
        }
    }

    /// Adds the report of a host to the computation of the granter on this host.
    ///
    /// A new term starts without the counts of an earlier one.
    pub fn record_report(&self, term: u64, report: &Report) {
        self.with_controller(term, |controller| controller.record(report));
    }

    /// Returns the shares that the granter on this host sends now, and applies them to this host.
    /// There are none unless the settings ask for them.
    pub fn compute_shares(&self, state: &State, term: u64, now: Instant) -> Vec<Share> {
        if !state.bounds.get().admission {
            return Vec::new();
        }
        let (computed, shares) = self.with_controller(term, |controller| {
            (controller.update(now), controller.shares(now))
        });
        if computed {
            log_shares(&shares);
        }
        self.receive(OWN_SOURCE, now, shares.clone(), now);
        shares
    }

    /// Applies the shares of the granter on a link, which it sent at the time `sent` of its clock.
    pub fn receive(&self, link: u64, sent: Instant, shares: Vec<Share>, now: Instant) {
        self.shares.borrow_mut().update(link, sent, shares, now);
    }

    fn with_controller<T>(&self, term: u64, act: impl FnOnce(&mut Controller) -> T) -> T {
        let mut controller = self.controller.borrow_mut();
        if controller.0 != term {
            *controller = (term, Controller::default());
        }
        act(&mut controller.1)
    }
}

fn log_shares(shares: &[Share]) {
    for share in shares.iter().filter(|share| share.admitted < 1.0) {
        log::info!(
            "event=admission service={} priority={} share={:.3}",
            share.service,
            share.priority,
            share.admitted
        );
    }
}
