//! Leader state: lease renewal, replication and proposals within one term.

mod change;

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::follower::{Follower, Status};
use crate::log::Log;
use crate::message::Message;
use crate::output::Output;
use crate::proposal::{Proposal, Stage};
use crate::renewal::Renewals;
use crate::seeded_fault::SeededFault;
use crate::standby::Succession;
use crate::state::{Replica, State};
use crate::timing::{RENEW_INTERVAL, REPORT_INTERVAL};

/// Phase of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waiting for a standby to hold the state and for a valid lease.
    Starting,
    /// The leader acts while its lease is valid.
    Acting,
    /// The leader has permanently stopped acting.
    Resigned,
}

/// State of the leader of one term.
#[derive(Clone, Debug)]
pub(crate) struct Leader<S: State> {
    pub fence: Fence,
    phase: Phase,
    followers: SmallVec<[Follower; 2]>,
    log: Log<S::Entry>,
    renewals: Renewals,
    renew_at: Instant,
    /// Whether a standby holds the state from before the term, so that no snapshot has to be
    /// acknowledged before the leader acts.
    base_replicated: bool,
    committed: u64,
    next_takeover_report_at: Instant,
    pub proposal: Option<Proposal>,
}

impl<S: State> Leader<S> {
    /// Creates the state of the leader that the record names.
    pub fn from_record(now: Instant, context: &Context, index: u64, resigned: bool) -> Self {
        let peers = [&context.replica_set.first, &context.replica_set.second];
        let mut leader = Self::new(now, context.fence(0), &peers, index);
        if resigned {
            leader.phase = Phase::Resigned;
        }
        leader
    }

    /// Creates the state of the first standby that succeeds the leader within the epoch.
    pub fn after_succession(
        now: Instant,
        context: &Context,
        index: u64,
        succession: Succession,
    ) -> Self {
        let mut leader = Self::new(now, context.fence(1), &[&context.replica_set.second], index);
        leader.renewals = succession.renewals;
        leader.base_replicated = succession.base_replicated;
        leader.followers[0].renewal_sent_at = succession.renewal_sent_at;
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
            base_replicated: false,
            committed: 0,
            next_takeover_report_at: now,
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
    ///
    /// While a proposal is being written, only the standby named in [`Stage::Writing`] counts.
    fn counted_followers(&self) -> impl Iterator<Item = &Follower> {
        let writing = match &self.proposal {
            Some(Proposal {
                stage: Stage::Writing { standby },
                ..
            }) => Some(standby.as_ref()),
            _ => None,
        };
        self.followers
            .iter()
            .filter(move |follower| writing.is_none_or(|standby| standby == Some(&follower.peer)))
    }

    pub fn lease_until(&self) -> Instant {
        self.counted_followers()
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

    /// Handles a response of a standby.
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
                follower.renewal_sent_at =
                    follower.renewal_sent_at.max(self.renewals.sent_at(*seq));
                follower.record_response(now);
            }
            Message::Appended { index, .. } => {
                follower.on_appended(*index);
                follower.record_response(now);
            }
            Message::Missing { .. } => {
                follower.on_missing(now);
                follower.record_response(now);
                self.renew(now, out);
            }
            Message::Sealed { index, .. } => {
                follower.record_response(now);
                follower.status = Status::Sealed;
                follower.acked = follower.acked.max(*index);
            }
            Message::Refused { .. } => {
                follower.status = Status::Refused;
                report_suspect(now, follower, out);
            }
            _ => return,
        }
        self.progress(now, context, replica, out);
        self.replicate(now, replica, false, out);
    }

    /// Starts to act, reports commits and writes a sealed proposal, each as soon as allowed.
    fn progress(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let acked = self
            .counted_followers()
            .filter_map(|follower| follower.acked)
            .max();
        let ready = self.base_replicated || acked.is_some();
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

    /// Renews the lease, resends unacknowledged entries and reports suspects, each when due.
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
        self.request_seal(now, out);
        for follower in &mut self.followers {
            let refused = follower.status == Status::Refused;
            if refused || follower.is_silent(now) || context.is_gone(&follower.peer) {
                report_suspect(now, follower, out);
            }
        }
        let takeover_needed = self.all_standbys_gone(context) && self.proposal.is_none();
        if takeover_needed && now >= self.next_takeover_report_at {
            self.next_takeover_report_at = now + REPORT_INTERVAL;
            out.push(Output::TakeoverNeeded {
                epoch: context.epoch + 1,
            });
        }
    }

    /// Sends the first messages of a term, and starts to act if a standby has already renewed the
    /// lease.
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

    /// Returns whether no standby is left that could renew the lease.
    fn all_standbys_gone(&self, context: &Context) -> bool {
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

    /// Sends each standby the snapshot or the entries that it lacks.
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

    /// Appends an entry, replicates it and returns its index.
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

    /// Stops acting and notifies the standbys.
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

    /// Makes the next tick due immediately and allows it to report a needed takeover.
    pub fn tick_immediately(&mut self) {
        self.renew_at = Instant::ZERO;
        self.next_takeover_report_at = Instant::ZERO;
    }
}

/// Reports a suspect, at most once per [`REPORT_INTERVAL`].
fn report_suspect<S: State>(now: Instant, follower: &mut Follower, out: &mut Vec<Output<S>>) {
    if now >= follower.next_report_at {
        follower.next_report_at = now + REPORT_INTERVAL;
        out.push(Output::Suspect {
            peer: follower.peer.clone(),
        });
    }
}
