//! Shares of cold backend servers: the granter's response to reports, and its effect on a host.

use tarragon_dispatch::warmup::allocation::{Allocation, Report};
use tarragon_dispatch::warmup::share::Share;
use tarragon_model::time::Instant;

use super::{FREEZE_THRESHOLD, Participant, Role, process_id};
use crate::peer::Frame;
use crate::state::State;

/// Shares that this host gives while it is the granter.
#[derive(Default)]
pub(super) struct Granter {
    /// Term for which the allocation was begun.
    term: u64,
    allocation: Option<Allocation>,
}

impl Granter {
    /// Returns the allocation of a term, which begins empty.
    fn allocation(&mut self, term: u64, now: Instant) -> &mut Allocation {
        if self.term != term {
            self.term = term;
            self.allocation = None;
        }
        self.allocation.get_or_insert_with(|| Allocation::new(now))
    }
}

impl Participant {
    /// Returns the term of this host if it is the granter and may give shares: its term was
    /// confirmed at the last tick, and the process has not stood still since.
    fn share_term(&self, now: Instant) -> Option<u64> {
        let Role::Granting(elected) = &self.role else {
            return None;
        };
        let ticked = now.since(elected.last_tick) < FREEZE_THRESHOLD;
        (ticked && !elected.paused).then_some(elected.term.0)
    }

    /// Tells the fleet what limits attempts to reach a server that may have restarted.
    pub(super) fn update_surroundings(&self, now: Instant) {
        let confirmed_at = now - self.cluster.age(now);
        let hosts = self.state.host_count.get();
        let mut fleet = self.state.fleet.borrow_mut();
        fleet.set_surroundings(hosts, confirmed_at);
    }

    /// Returns the clock for a report of this host, in microseconds. A host that is about to end
    /// gets no more requests, so it takes no shares.
    pub(super) fn report_clock(&self) -> u64 {
        if self.leaving {
            0
        } else {
            self.state.now().as_micros()
        }
    }

    /// Responds to the report of a host with the shares that it may use.
    ///
    /// A host of the previous build, or one that is about to end, reports no clock and gets no share.
    pub(super) fn answer_report(&mut self, link: u64, zone: &str, clock_us: u64) {
        let now = self.state.now();
        let Some(term) = self.share_term(now) else {
            return;
        };
        let Some(peer) = self.peers.get(&link) else {
            return;
        };
        if clock_us == 0 || !self.state.fleet.borrow().limits_warmup() {
            return;
        }
        let host = process_id(&peer.host, peer.incarnation);
        let report = Report {
            host: &host,
            zone,
            clock: Instant::from_micros(clock_us),
        };
        let allocation = self.warmup.allocation(term, now);
        let shares = allocation.report(report, now);
        self.send_shares(link, report.clock, &shares);
    }

    fn send_shares(&self, link: u64, clock: Instant, shares: &[Share]) {
        if shares.is_empty() {
            return;
        }
        let shares = shares.iter();
        let shares = shares.map(|share| (share.server.clone(), share.start_ms, share.per_s));
        let frame = Frame::WarmupShares {
            clock_us: clock.as_micros(),
            shares: shares.collect(),
        };
        self.links.send(link, &frame);
    }

    /// Chooses senders for cold servers, and tells those that were chosen. The granter's own host
    /// takes part like the others.
    pub(super) fn tick_warmup(&mut self, now: Instant) {
        let Some(term) = self.share_term(now) else {
            return;
        };
        let state = self.state.clone();
        if !state.fleet.borrow().limits_warmup() {
            return;
        }
        let allocation = self.warmup.allocation(term, now);
        let own = process_id(&state.settings.host, state.incarnation);
        let report = Report {
            host: &own,
            zone: &state.settings.zone,
            clock: now,
        };
        if !self.leaving {
            allocation.report(report, now);
        }
        let regions = &state.settings.regions;
        let chosen = allocation.update(state.fleet.borrow().cold(now), regions, now);
        if let Some((clock, shares)) = allocation.renew(&own, now) {
            apply(&state, clock, &shares);
        }
        for choice in chosen {
            log::info!(
                "event=warmup-sender server={} host={} term={term}",
                choice.server,
                choice.host
            );
            let allocation = self.warmup.allocation(term, now);
            let link = self.peers.iter().find(|(_, peer)| {
                !peer.host.is_empty() && process_id(&peer.host, peer.incarnation) == choice.host
            });
            if let Some((link, _)) = link
                && let Some((clock, shares)) = allocation.renew(&choice.host, now)
            {
                self.send_shares(*link, clock, &shares);
            }
        }
    }

    /// Applies the shares that the granter gave in response to a report of this host.
    pub(super) fn apply_shares(&self, clock_us: u64, shares: Vec<(String, u64, f64)>) {
        let shares = shares.into_iter().map(|(server, start_ms, per_s)| Share {
            server,
            start_ms,
            per_s,
        });
        let shares: Vec<Share> = shares.collect();
        apply(&self.state, Instant::from_micros(clock_us), &shares);
    }
}

fn apply(state: &State, reported: Instant, shares: &[Share]) {
    let now = state.now();
    let mut fleet = state.fleet.borrow_mut();
    for share in shares {
        if fleet.grant_share(share, reported, now) {
            log::info!(
                "event=warmup-share-received server={} born={} per_s={} age_ms={}",
                share.server,
                share.start_ms,
                share.per_s,
                now.since(reported).as_millis()
            );
        }
    }
}
