//! The side of a leader: renewals, replication and proposals within one reign.

mod change;

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::follower::{Follower, Standing};
use crate::log::Log;
use crate::message::Message;
use crate::output::Output;
use crate::proposal::{Proposal, Stage};
use crate::renewal::Renewals;
use crate::seeded_fault::SeededFault;
use crate::standby::Succession;
use crate::state::{Replica, State};
use crate::timing::{RENEW_INTERVAL, REPORT_INTERVAL};

/// How far a reign has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No standby has the snapshot and renewed the lease yet.
    Starting,
    /// The leader acts while its lease lasts.
    Acting,
    /// The leader has stopped acting, for good.
    Resigned,
}

/// A reign as its leader runs it.
#[derive(Clone, Debug)]
pub(crate) struct Leader<S: State> {
    pub fence: Fence,
    phase: Phase,
    followers: SmallVec<[Follower; 2]>,
    log: Log<S::Entry>,
    renewals: Renewals,
    renew_at: Instant,
    /// Whether a standby holds the state from before the reign.
    shared: bool,
    committed: u64,
    vacant_at: Instant,
    pub proposal: Option<Proposal>,
}

impl<S: State> Leader<S> {
    /// Begins the reign of the leader that the record names.
    pub fn of_record(now: Instant, context: &Context, index: u64, leaving: bool) -> Self {
        let peers = [&context.replica_set.first, &context.replica_set.second];
        let mut leader = Self::new(now, context.fence(0), &peers, index);
        if leaving {
            leader.phase = Phase::Resigned;
        }
        leader
    }

    /// Begins the reign of the first standby.
    pub fn of_first(now: Instant, context: &Context, index: u64, succession: Succession) -> Self {
        let mut leader = Self::new(now, context.fence(1), &[&context.replica_set.second], index);
        leader.renewals = succession.renewals;
        leader.shared = succession.shared;
        leader.followers[0].renewed = succession.renewed;
        leader
    }

    fn new(now: Instant, fence: Fence, peers: &[&Peer], index: u64) -> Self {
        let followers = peers
            .iter()
            .map(|&peer| Follower::new(peer.clone(), now))
            .collect();
        Self {
            fence,
            phase: Phase::Starting,
            followers,
            log: Log::new(index),
            renewals: Renewals::default(),
            renew_at: now,
            shared: false,
            committed: 0,
            vacant_at: now,
            proposal: None,
        }
    }

    pub fn is_acting(&self) -> bool {
        self.phase == Phase::Acting
    }

    pub fn may_act(&self, now: Instant, context: &Context) -> bool {
        let renewed = now < self.lease_until()
            || context.seeded_fault == Some(SeededFault::ActWithoutRenewal);
        self.is_acting() && renewed
    }

    pub fn committed(&self) -> u64 {
        self.committed
    }

    pub fn next_tick(&self) -> Instant {
        self.renew_at
    }

    /// Returns the standbys whose renewals and acknowledgements count.
    fn counted(&self) -> impl Iterator<Item = &Follower> {
        let writing = match &self.proposal {
            Some(Proposal {
                stage: Stage::Writing { through },
                ..
            }) => Some(through.as_ref()),
            _ => None,
        };
        self.followers
            .iter()
            .filter(move |follower| writing.is_none_or(|through| through == Some(&follower.peer)))
    }

    pub fn lease_until(&self) -> Instant {
        self.counted()
            .map(Follower::lease_until)
            .max()
            .unwrap_or(Instant::ZERO)
    }

    pub fn silent_standbys(&self, now: Instant) -> SmallVec<[Peer; 2]> {
        let silent = self
            .followers
            .iter()
            .filter(|follower| follower.is_silent(now));
        silent.map(|follower| follower.peer.clone()).collect()
    }

    /// Handles the answer of a standby.
    pub fn handle(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        from: &Peer,
        message: &Message<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let Some(follower) = self
            .followers
            .iter_mut()
            .find(|follower| follower.peer == *from)
        else {
            return;
        };
        match message {
            Message::Renewed { seq, .. } => {
                follower.renewed = follower.renewed.max(self.renewals.sent_at(*seq));
                follower.hear(now);
            }
            Message::Appended { index, .. } => {
                follower.on_appended(*index);
                follower.hear(now);
            }
            Message::Missing { .. } => {
                follower.on_missing(now);
                follower.hear(now);
                self.renew(now, out);
            }
            Message::Sealed { index, .. } => {
                follower.hear(now);
                follower.standing = Standing::Sealed;
                follower.acked = follower.acked.max(*index);
            }
            Message::Refused { .. } => {
                follower.standing = Standing::Refused;
                report(now, follower, out);
            }
            _ => return,
        }
        self.progress(now, context, replica, out);
        self.replicate(now, replica, false, out);
    }

    /// Begins to act, reports commits and writes a sealed proposal, each when it may.
    fn progress(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let acked = self.counted().filter_map(|follower| follower.acked).max();
        let ready = self.shared || acked.is_some();
        if self.phase == Phase::Starting && ready && now < self.lease_until() {
            self.phase = Phase::Acting;
            out.push(Output::TermStarted {
                fence: self.fence,
                complete: replica.complete,
            });
        }
        if self.phase == Phase::Acting
            && now < self.lease_until()
            && let Some(index) = acked
            && index > self.committed
        {
            self.committed = index;
            out.push(Output::Committed { index });
        }
        self.write_when_sealed(context, out);
        let least = self
            .followers
            .iter()
            .filter_map(|follower| follower.acked)
            .min();
        self.log.trim(least.unwrap_or(0));
    }

    /// Renews, sends again and reports suspects, each when due.
    pub fn tick(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        if now < self.renew_at {
            return;
        }
        self.renew_at = now + RENEW_INTERVAL;
        self.replicate(now, replica, false, out);
        self.renew(now, out);
        self.seal(now, out);
        for follower in &mut self.followers {
            let refused = follower.standing == Standing::Refused;
            if refused || follower.is_silent(now) || context.is_gone(&follower.peer) {
                report(now, follower, out);
            }
        }
        let vacant = self.is_stranded(context) && self.proposal.is_none();
        if vacant && now >= self.vacant_at {
            self.vacant_at = now + REPORT_INTERVAL;
            out.push(Output::TakeoverNeeded {
                epoch: context.epoch + 1,
            });
        }
    }

    /// Sends the first messages of a reign and acts at once when a standby already agrees.
    pub fn start(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.tick(now, context, replica, out);
        self.progress(now, context, replica, out);
    }

    /// Tells whether no standby is left that could renew the lease.
    fn is_stranded(&self, context: &Context) -> bool {
        self.followers
            .iter()
            .all(|follower| context.is_gone(&follower.peer))
    }

    fn renew(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        let fence = self.fence;
        let seq = self.renewals.next(now);
        for follower in &self.followers {
            let message = match self.phase {
                Phase::Resigned => Message::Resign { fence },
                _ => Message::Renew { fence, seq },
            };
            out.push(Output::Send {
                to: follower.peer.clone(),
                message,
            });
        }
    }

    /// Sends standbys what they lack.
    fn replicate(
        &mut self,
        now: Instant,
        replica: &Replica<S>,
        flush: bool,
        out: &mut Vec<Output<S>>,
    ) {
        for follower in &mut self.followers {
            if let Some(message) = follower.replicate(now, replica, &self.log, flush) {
                out.push(Output::Send {
                    to: follower.peer.clone(),
                    message,
                });
            }
        }
    }

    /// Appends an entry that the caller has decided on and returns its number.
    pub fn append(
        &mut self,
        now: Instant,
        replica: &mut Replica<S>,
        entry: S::Entry,
        out: &mut Vec<Output<S>>,
    ) -> u64 {
        replica.push(&entry);
        self.log.push(entry);
        self.replicate(now, replica, false, out);
        replica.index
    }

    /// Stops acting and tells the standbys.
    pub fn resign(&mut self, now: Instant, replica: &Replica<S>, out: &mut Vec<Output<S>>) {
        self.phase = Phase::Resigned;
        if matches!(
            self.proposal,
            Some(Proposal {
                stage: Stage::Sealing { .. },
                ..
            })
        ) {
            self.proposal = None;
        }
        self.replicate(now, replica, true, out);
        self.renew(now, out);
    }

    /// Makes the next tick due and lets it report at once.
    pub fn hasten(&mut self) {
        self.renew_at = Instant::ZERO;
        self.vacant_at = Instant::ZERO;
    }
}

/// Reports a suspect, unless that was done a short time ago.
fn report<S: State>(now: Instant, follower: &mut Follower, out: &mut Vec<Output<S>>) {
    if now >= follower.report_at {
        follower.report_at = now + REPORT_INTERVAL;
        out.push(Output::Suspect {
            peer: follower.peer.clone(),
        });
    }
}
