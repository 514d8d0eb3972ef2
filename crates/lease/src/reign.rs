//! The side of a leader: renewals, replication and proposals within one reign.

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::Trio;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::flaw::Flaw;
use crate::follower::{Follower, Standing};
use crate::log::Log;
use crate::message::Message;
use crate::output::Output;
use crate::proposal::{Error, Proposal, Stage};
use crate::renewal::Renewals;
use crate::standby::Succession;
use crate::state::{Held, State};
use crate::timing::{RENEW_EVERY, REPORT_EVERY, SEAL_TIMEOUT};

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

/// Lease that a standby has renewed.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    peer: Peer,
    /// When the renewal that was answered was sent.
    renewed: Instant,
}

/// A reign as its leader runs it.
#[derive(Clone, Debug)]
pub(crate) struct Reign<S: State> {
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

impl<S: State> Reign<S> {
    /// Begins the reign of the leader that the record names.
    pub fn of_record(now: Instant, context: &Context, index: u64, leaving: bool) -> Self {
        let peers = [&context.trio.first, &context.trio.second];
        let mut reign = Self::new(now, context.fence(0), &peers, index);
        if leaving {
            reign.phase = Phase::Resigned;
        }
        reign
    }

    /// Takes over the lease of the same leader's reign in the epoch before.
    ///
    /// The standby that renewed it belongs to the new trio and keeps its promise there, and it
    /// holds all that was committed.
    pub fn inherit(&mut self, lease: &Lease) {
        if let Some(follower) = self
            .followers
            .iter_mut()
            .find(|other| other.peer == lease.peer)
        {
            follower.renewed = Some(lease.renewed);
            self.shared = true;
        }
    }

    /// Returns the lease that the next epoch's reign may inherit.
    pub fn lease(&self) -> Option<Lease> {
        if !self.is_acting() {
            return None;
        }
        let Some(Proposal {
            stage: Stage::Writing { through },
            ..
        }) = &self.proposal
        else {
            return None;
        };
        let through = through.as_ref()?;
        let follower = self
            .followers
            .iter()
            .find(|follower| follower.peer == *through)?;
        Some(Lease {
            peer: through.clone(),
            renewed: follower.renewed?,
        })
    }

    /// Begins the reign of the first standby.
    pub fn of_first(now: Instant, context: &Context, index: u64, succession: Succession) -> Self {
        let mut reign = Self::new(now, context.fence(1), &[&context.trio.second], index);
        reign.renewals = succession.renewals;
        reign.shared = succession.shared;
        reign.followers[0].renewed = succession.renewed;
        reign
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
        let renewed = now < self.lease_until() || context.flaw == Some(Flaw::ActWithoutRenewal);
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

    pub fn silent(&self, now: Instant) -> SmallVec<[Peer; 2]> {
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
        held: &Held<S>,
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
        self.progress(now, context, held, out);
        self.replicate(now, held, false, out);
    }

    /// Begins to act, reports commits and writes a sealed proposal, each when it may.
    fn progress(
        &mut self,
        now: Instant,
        context: &Context,
        held: &Held<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let acked = self.counted().filter_map(|follower| follower.acked).max();
        let ready = self.shared || acked.is_some();
        if self.phase == Phase::Starting && ready && now < self.lease_until() {
            self.phase = Phase::Acting;
            out.push(Output::Began {
                fence: self.fence,
                complete: held.complete,
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

    fn write_when_sealed(&mut self, context: &Context, out: &mut Vec<Output<S>>) {
        let Some(Proposal { trio, stage, .. }) = &mut self.proposal else {
            return;
        };
        let Stage::Sealing { through, .. } = stage else {
            return;
        };
        let Some(follower) = self
            .followers
            .iter()
            .find(|follower| follower.peer == *through)
        else {
            return;
        };
        let holds_all = follower.acked.is_some_and(|index| index >= self.committed);
        if follower.standing == Standing::Sealed && holds_all {
            *stage = Stage::Writing {
                through: Some(through.clone()),
            };
            out.push(Output::Write {
                epoch: context.epoch + 1,
                trio: trio.clone(),
            });
        }
    }

    /// Renews, sends again and reports suspects, each when due.
    pub fn tick(
        &mut self,
        now: Instant,
        context: &Context,
        held: &Held<S>,
        out: &mut Vec<Output<S>>,
    ) {
        if now < self.renew_at {
            return;
        }
        self.renew_at = now + RENEW_EVERY;
        self.replicate(now, held, false, out);
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
            self.vacant_at = now + REPORT_EVERY;
            out.push(Output::Vacant {
                epoch: context.epoch + 1,
            });
        }
    }

    /// Sends the first messages of a reign and acts at once when a standby already agrees.
    pub fn start(
        &mut self,
        now: Instant,
        context: &Context,
        held: &Held<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.tick(now, context, held, out);
        self.progress(now, context, held, out);
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
    fn replicate(&mut self, now: Instant, held: &Held<S>, flush: bool, out: &mut Vec<Output<S>>) {
        for follower in &mut self.followers {
            if let Some(message) = follower.replicate(now, held, &self.log, flush) {
                out.push(Output::Send {
                    to: follower.peer.clone(),
                    message,
                });
            }
        }
    }

    /// Asks for the seal that a proposal needs, or drops the proposal.
    fn seal(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        let Some(Proposal {
            stage: Stage::Sealing { through, until },
            ..
        }) = &self.proposal
        else {
            return;
        };
        let refused = self
            .followers
            .iter()
            .any(|follower| follower.peer == *through && follower.standing == Standing::Refused);
        if refused || now >= *until {
            self.proposal = None;
            return;
        }
        let message = Message::Seal {
            fence: self.fence,
            seq: self.renewals.next(now),
        };
        out.push(Output::Send {
            to: through.clone(),
            message,
        });
    }

    /// Appends an entry that the caller has decided on and returns its number.
    pub fn append(
        &mut self,
        now: Instant,
        held: &mut Held<S>,
        entry: S::Entry,
        out: &mut Vec<Output<S>>,
    ) -> u64 {
        held.push(&entry);
        self.log.push(entry);
        self.replicate(now, held, false, out);
        held.index
    }

    /// Stops acting and tells the standbys.
    pub fn resign(&mut self, now: Instant, held: &Held<S>, out: &mut Vec<Output<S>>) {
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
        self.replicate(now, held, true, out);
        self.renew(now, out);
    }

    /// Makes the next tick due and lets it report at once.
    pub fn hasten(&mut self) {
        self.renew_at = Instant::ZERO;
        self.vacant_at = Instant::ZERO;
    }

    /// Starts the change to a new trio.
    pub fn propose(
        &mut self,
        now: Instant,
        context: &Context,
        held: &Held<S>,
        trio: Trio,
        out: &mut Vec<Output<S>>,
    ) -> Result<(), Error> {
        let peer = context.me.clone();
        if self.phase == Phase::Resigned {
            return Err(Error::NotEntitled { peer });
        }
        if matches!(
            self.proposal,
            Some(Proposal {
                stage: Stage::Writing { .. },
                ..
            })
        ) {
            return Err(Error::Pending { peer });
        }
        let complete = held.complete && !(self.fence.succession == 0 && self.is_stranded(context));
        let Some(stage) = self.stage_for(now, context, &trio) else {
            return Err(Error::NoStandby { peer });
        };
        if let Stage::Writing { .. } = stage {
            out.push(Output::Write {
                epoch: context.epoch + 1,
                trio: trio.clone(),
            });
        }
        self.proposal = Some(Proposal {
            trio,
            complete,
            stage,
        });
        self.seal(now, out);
        self.write_when_sealed(context, out);
        Ok(())
    }

    /// Chooses how a proposal of `trio` has to begin.
    fn stage_for(&self, now: Instant, context: &Context, trio: &Trio) -> Option<Stage> {
        let succeeded = self.fence.succession > 0;
        let live = self.followers.iter().filter(|follower| {
            trio.contains(&follower.peer)
                && !context.is_gone(&follower.peer)
                && (succeeded || follower.standing != Standing::Refused)
        });
        let best =
            live.max_by_key(|follower| (follower.standing == Standing::Sealed, follower.heard));
        if succeeded {
            return self.stage_after_succession(now, context, best);
        }
        if let Some(follower) = best {
            let through = follower.peer.clone();
            return Some(Stage::Sealing {
                through,
                until: now + SEAL_TIMEOUT,
            });
        }
        let sealed_and_gone = self.followers.iter().any(|follower| {
            follower.standing == Standing::Sealed && context.is_gone(&follower.peer)
        });
        let free = sealed_and_gone || self.is_stranded(context);
        free.then_some(Stage::Writing { through: None })
    }

    /// The second standby cannot succeed without the store, so no seal is needed. It must stay in
    /// the trio while it renews the lease, or else no lease counts until the fate is known.
    fn stage_after_succession(
        &self,
        now: Instant,
        context: &Context,
        kept: Option<&Follower>,
    ) -> Option<Stage> {
        if let Some(follower) = kept {
            return Some(Stage::Writing {
                through: Some(follower.peer.clone()),
            });
        }
        let lost = self.is_stranded(context)
            || self
                .followers
                .iter()
                .all(|follower| follower.is_silent(now) || follower.standing == Standing::Refused);
        lost.then_some(Stage::Writing { through: None })
    }
}

/// Reports a suspect, unless that was done a short time ago.
fn report<S: State>(now: Instant, follower: &mut Follower, out: &mut Vec<Output<S>>) {
    if now >= follower.report_at {
        follower.report_at = now + REPORT_EVERY;
        out.push(Output::Suspect {
            peer: follower.peer.clone(),
        });
    }
}
