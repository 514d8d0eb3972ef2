//! The granter's office while this host holds it: who confirms it, who may still act before it.

use std::collections::HashMap;

use tarragon_model::time::Instant;
use tarragon_store::object::Version;

use super::{BLOCKED, CONFIRMED, FREEZE, Process};
use crate::granting::Granting;

pub(super) struct Grants {
    pub(super) granting: Granting,
    pub(super) version: Version,
    pub(super) renewed: Instant,
    pub(super) calling: bool,
    pub(super) beaten: Instant,
    /// Earlier granters that are not known to have stopped.
    pub(super) former: Vec<Former>,
    /// When the store last showed that the office is this host's.
    pub(super) confirmed: Instant,
    /// Hosts whose majority can confirm the office, as the store has them.
    pub(super) voters: Vec<String>,
    /// When a beat was sent that a follower has answered.
    pub(super) followers: HashMap<String, Instant>,
    /// Processor of the strongest host heard of, in cores.
    pub(super) strongest: f64,
    /// Voters of the renewal that is on its way.
    pub(super) proposed: Vec<String>,
    pub(super) ticked: Instant,
    pub(super) renewal_sent: Instant,
    pub(super) paused: bool,
}

/// Earlier granter that is not known to have stopped.
#[derive(Clone)]
pub(super) struct Former {
    pub(super) process: Process,
    /// Since when no majority of its voters can confirm its office.
    pub(super) blocked: Option<Instant>,
}

impl Grants {
    /// Returns the hosts that answered a beat sent not long ago, this one among them.
    pub(super) fn followed_by(&self, own: &str, now: Instant) -> Vec<String> {
        let recent = |at: &Instant| now.since(*at) < CONFIRMED;
        let followers = self.followers.iter().filter(|(_, at)| recent(at));
        let mut hosts: Vec<String> = followers.map(|(host, _)| host.clone()).collect();
        hosts.push(own.to_owned());
        hosts
    }

    /// Counts earlier granters as stopped whose voters follow this one for long enough.
    ///
    /// Such a granter sends nothing without the store or a majority of its voters.
    pub(super) fn block_former(&mut self, own: &str, now: Instant) {
        let followed_by = self.followed_by(own, now);
        for former in &mut self.former {
            let voters = &former.process.voters;
            let here = voters.iter().filter(|host| followed_by.contains(host));
            if here.count() * 2 >= voters.len().max(1) {
                former.blocked.get_or_insert(now);
            } else {
                former.blocked = None;
            }
        }
        let over = |former: &Former| former.blocked.is_some_and(|at| now.since(at) >= BLOCKED);
        if self.former.iter().any(over) {
            self.former.retain(|former| !over(former));
            self.settle();
        }
    }

    /// Tells whether the office is surely still this host's.
    ///
    /// Another host may take it [`VACANT`] after a renewal; after a freeze only news count.
    pub(super) fn is_confirmed(&mut self, own: &str, now: Instant) -> bool {
        if now.since(self.ticked) > FREEZE {
            log::warn!(
                "event=granter-froze ms={}",
                now.since(self.ticked).as_millis()
            );
            self.confirmed = Instant::ZERO;
            self.followers.clear();
            self.renewal_sent = Instant::ZERO;
            self.renewed = Instant::ZERO;
            self.calling = false;
        }
        self.ticked = now;
        let followed_by = self.followed_by(own, now);
        let votes = self.voters.iter().filter(|host| followed_by.contains(host));
        let majority = votes.count() * 2 > self.voters.len();
        let confirmed = majority || now.since(self.confirmed) < CONFIRMED;
        if self.paused == confirmed {
            self.paused = !confirmed;
            log::info!("event=granter-confirmed confirmed={confirmed}");
        }
        confirmed
    }

    /// Notes that an earlier granter has stopped.
    pub(super) fn stopped(&mut self, is: impl Fn(&Process) -> bool) {
        self.former.retain(|former| !is(&former.process));
        self.settle();
    }

    fn settle(&mut self) {
        if self.former.is_empty() {
            self.granting.set_alone();
        }
    }
}
