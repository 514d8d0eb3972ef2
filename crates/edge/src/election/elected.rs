//! State of a host while it is the granter: what confirms its term, and which earlier granters may
//! still send commands.

use std::collections::HashMap;

use tarragon_model::time::Instant;
use tarragon_owner::votes::{self, Voters};
use tarragon_store::object::Version;

use super::{BLOCKED_TIME, CONFIRMATION_TTL, FREEZE_THRESHOLD, Process};
use crate::granting::Grants;

pub(super) struct Elected {
    pub(super) grants: Grants,
    /// Version of the record after the claim.
    pub(super) term: Version,
    /// Version of the record after the latest renewal.
    pub(super) record_version: Version,
    /// When a renewal last started; zero makes the next one due at once.
    pub(super) last_renewal: Instant,
    /// Whether a renewal is on its way.
    pub(super) renewing: bool,
    /// When the last heartbeat was sent.
    pub(super) last_heartbeat: Instant,
    /// Earlier granters that are not known to have stopped.
    pub(super) predecessors: Vec<Predecessor>,
    /// When the latest write to the store that confirmed the term was sent.
    pub(super) last_confirmed: Instant,
    /// Processes whose majority can confirm the term.
    pub(super) voters: Voters,
    /// Following processes, and when the latest heartbeat that each acknowledged was sent.
    pub(super) acknowledged: HashMap<String, Instant>,
    /// Processor of the strongest host that reported, in cores.
    pub(super) max_cores: f64,
    pub(super) last_tick: Instant,
    /// When the process last resumed after a freeze; renewals sent before confirm nothing.
    pub(super) resumed_at: Instant,
    /// Whether the term was unconfirmed at the last tick.
    pub(super) paused: bool,
    /// When the record was claimed.
    pub(super) claimed: Instant,
    /// Version that the next renewal expects, if another than [`Elected::record_version`].
    pub(super) expected: Option<Version>,
}

/// Earlier granter that is not known to have stopped.
#[derive(Clone)]
pub(super) struct Predecessor {
    pub(super) process: Process,
    /// Since when no majority of its voters can confirm its term.
    pub(super) blocked_since: Option<Instant>,
}

impl Elected {
    /// Returns this process and those that acknowledged a recent heartbeat.
    pub(super) fn followers(&self, own: &str, now: Instant) -> Vec<String> {
        let recent = |at: &Instant| now.since(*at) < CONFIRMATION_TTL;
        let followers = self.acknowledged.iter().filter(|(_, at)| recent(at));
        let mut processes: Vec<String> = followers.map(|(id, _)| id.clone()).collect();
        processes.push(own.to_owned());
        processes
    }

    /// Drops predecessors at least half of whose voters have followed this host for
    /// [`BLOCKED_TIME`].
    ///
    /// They have certainly stopped, since a granter sends no commands without the store or a
    /// majority of its voters.
    pub(super) fn drop_blocked_predecessors(&mut self, own: &str, now: Instant) {
        let followers = self.followers(own, now);
        for predecessor in &mut self.predecessors {
            if votes::is_blocked(&predecessor.process.voters, &followers) {
                predecessor.blocked_since.get_or_insert(now);
            } else {
                predecessor.blocked_since = None;
            }
        }
        self.retain_predecessors("blocked", |predecessor| {
            predecessor
                .blocked_since
                .is_none_or(|at| now.since(at) < BLOCKED_TIME)
        });
    }

    /// Returns whether no other host can have become granter yet.
    ///
    /// Another host may claim the record [`super::RENEWAL_TIMEOUT`] after a renewal. After a
    /// freeze of this process, earlier confirmations do not count.
    pub(super) fn is_confirmed(&mut self, own: &str, now: Instant) -> bool {
        if now.since(self.last_tick) > FREEZE_THRESHOLD {
            log::warn!(
                "event=granter-froze ms={}",
                now.since(self.last_tick).as_millis()
            );
            self.last_confirmed = Instant::ZERO;
            self.acknowledged.clear();
            self.resumed_at = now;
            self.last_renewal = Instant::ZERO;
            self.renewing = false;
        }
        self.last_tick = now;
        let followers = self.followers(own, now);
        let majority = self.voters.has_majority(&followers);
        let confirmed = majority || now.since(self.last_confirmed) < CONFIRMATION_TTL;
        if self.paused == confirmed {
            self.paused = !confirmed;
            log::info!("event=granter-confirmed confirmed={confirmed}");
        }
        confirmed
    }

    /// Returns the time before which the store shows that no other host can have been elected.
    ///
    /// Another host claims the record [`super::RENEWAL_TIMEOUT`] after a renewal at the earliest;
    /// the difference leaves a margin for its clock.
    pub(super) fn exclusive_until(&self) -> Instant {
        self.last_confirmed + CONFIRMATION_TTL
    }

    /// Notes that the store confirmed a renewal that was sent at `sent`.
    pub(super) fn note_renewed(&mut self, sent: Instant) {
        if sent >= self.resumed_at {
            self.last_confirmed = self.last_confirmed.max(sent);
        }
    }

    /// Drops predecessors that have stopped; `reason` tells the log how that is known.
    pub(super) fn drop_predecessors(
        &mut self,
        reason: &str,
        has_stopped: impl Fn(&Process) -> bool,
    ) {
        self.retain_predecessors(reason, |predecessor| !has_stopped(&predecessor.process));
    }

    fn retain_predecessors(&mut self, reason: &str, remains: impl Fn(&Predecessor) -> bool) {
        let version = self.record_version;
        self.predecessors.retain(|predecessor| {
            let remains = remains(predecessor);
            if !remains {
                log::info!(
                    "event=predecessor-dropped record_version={version} process={} reason={reason}",
                    predecessor.process.id()
                );
            }
            remains
        });
        if self.predecessors.is_empty() {
            self.grants.set_sole_granter();
        }
    }
}
