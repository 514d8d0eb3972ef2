//! A process's part in the authority over one shard.

mod change;

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::leader::Leader;
use crate::message::Message;
use crate::output::{Output, Reason};
use crate::proposal::Proposal;
use crate::seeded_fault::SeededFault;
use crate::standby::{Right, Standby};
use crate::state::{Replica, State};
use crate::timing::SILENCE_TIMEOUT;

/// Part that a process plays in its epoch at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Leads a reign, whether or not it may act yet.
    Leader,
    /// First standby.
    First,
    /// Second standby.
    Second,
    /// Takes no part: it has been succeeded or is not in the trio.
    Outside,
}

#[derive(Clone, Debug)]
enum Duty<S: State> {
    Lead(Box<Leader<S>>),
    Stand(Box<Standby>),
    Outside,
}

/// State machine of one shard on one process.
///
/// A process must not hold two members of one shard, nor drop one and make another for the same
/// epoch: promises and seals live here. Later epochs are taken up by [`Member::adopt`].
///
/// ```
/// use serde::{Deserialize, Serialize};
/// use tarragon_lease::{Member, Output, State};
/// use tarragon_model::fence::Fence;
/// use tarragon_model::host::{Id, Peer};
/// use tarragon_model::record::{Record, ReplicaSet};
/// use tarragon_model::shard;
/// use tarragon_model::time::Instant;
///
/// #[derive(Clone, Debug, Default, Serialize, Deserialize)]
/// struct Total(u64);
///
/// impl State for Total {
///     type Entry = u64;
///
///     fn apply(&mut self, entry: &u64) {
///         self.0 += entry;
///     }
/// }
///
/// let peer = |host: &str| Peer::new(Id::new(host), 1);
/// let trio = ReplicaSet { leader: peer("h1"), first: peer("h2"), second: peer("h3") };
/// let record = Record {
///     epoch: 1,
///     fence: Fence::new(1, 0),
///     index: 0,
///     token: String::new(),
///     replica_set: trio.clone(),
///     owners: Vec::new(),
///     overrides: Vec::new(),
/// };
/// let shard = shard::Id::new("balance".into(), 0);
/// let now = Instant::from_millis(1);
/// let mut leader = Member::<Total>::new(peer("h1"), shard.clone(), &record, now, None);
/// let mut first = Member::<Total>::new(peer("h2"), shard, &record, now, None);
///
/// // The leader sends its snapshot and asks to renew its lease; the standby agrees.
/// let mut out = Vec::new();
/// leader.tick(now, &mut out);
/// let mut answers = Vec::new();
/// for output in out.drain(..) {
///     if let Output::Send { to, message } = output
///         && to == replica_set.first
///     {
///         first.handle(now, &replica_set.leader, message, &mut answers);
///     }
/// }
/// for output in answers {
///     if let Output::Send { message, .. } = output {
///         leader.handle(now, &replica_set.first, message, &mut out);
///     }
/// }
/// assert!(leader.may_act(now));
/// assert!(!leader.may_act(now + tarragon_lease::timing::LEASE_DURATION));
/// ```
#[derive(Clone, Debug)]
pub struct Member<S: State> {
    shard: shard::Id,
    context: Context,
    duty: Duty<S>,
    replica: Replica<S>,
    /// Whether the process has resigned and leads nothing any more.
    leaving: bool,
}

impl<S: State> Member<S> {
    /// Creates the member of a process that learns its first record of the shard.
    ///
    /// `carried` is the state that the process kept from an earlier epoch, if any; it counts as
    /// incomplete. Call [`Member::tick`] next.
    #[must_use]
    pub fn new(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        carried: Option<Replica<S>>,
    ) -> Self {
        Self::build(me, shard, record, now, carried, None)
    }

    /// Creates a member that breaks a rule, for tests of the tests.
    #[doc(hidden)]
    #[must_use]
    pub fn with_seeded_fault(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        carried: Option<Replica<S>>,
        seeded_fault: SeededFault,
    ) -> Self {
        Self::build(me, shard, record, now, carried, Some(seeded_fault))
    }

    fn build(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        carried: Option<Replica<S>>,
        seeded_fault: Option<SeededFault>,
    ) -> Self {
        let mut member = Self {
            shard,
            context: Context::new(me, record, seeded_fault),
            duty: Duty::Outside,
            replica: carried.unwrap_or_default(),
            leaving: false,
        };
        member.enter(now, false);
        member
    }

    /// Takes up the part that the current trio gives to this process.
    fn enter(&mut self, now: Instant, complete: bool) {
        let context = &self.context;
        self.duty = if context.me == context.replica_set.leader {
            self.replica.term = context.fence(0);
            self.replica.complete = complete;
            let leader = Leader::of_record(now, context, self.replica.index, self.leaving);
            Duty::Lead(Box::new(leader))
        } else if context.me == context.replica_set.first {
            Duty::Stand(Box::new(Standby::first(now)))
        } else if context.me == context.replica_set.second {
            Duty::Stand(Box::new(Standby::second(now)))
        } else {
            Duty::Outside
        };
    }

    /// Returns the shard.
    #[must_use]
    pub fn shard(&self) -> &shard::Id {
        &self.shard
    }

    /// Returns the trio of the epoch.
    #[must_use]
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.context.replica_set
    }

    /// Returns the reign that this process leads, or else the latest one that it knows of.
    #[must_use]
    pub fn fence(&self) -> Fence {
        match &self.duty {
            Duty::Lead(leader) => leader.fence,
            _ => self.replica.term.max(self.context.fence(0)),
        }
    }

    /// Returns the part that the process plays at present.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.duty {
            Duty::Lead(_) => Role::Leader,
            Duty::Outside => Role::Outside,
            Duty::Stand(_) if self.context.me == self.context.replica_set.first => Role::First,
            Duty::Stand(_) => Role::Second,
        }
    }

    /// Tells whether the process may act at `now`. Check it at the last moment before each act.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        match &self.duty {
            Duty::Lead(leader) => leader.may_act(now, &self.context),
            _ => false,
        }
    }

    /// Returns until when the process may act, or [`Instant::ZERO`] when it may not.
    #[must_use]
    pub fn lease_until(&self) -> Instant {
        match &self.duty {
            Duty::Lead(leader) if leader.is_acting() => leader.lease_until(),
            _ => Instant::ZERO,
        }
    }

    /// Returns the state, with entries that are not committed yet.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.replica.state
    }

    /// Returns the state and how far it reaches.
    #[must_use]
    pub fn replica(&self) -> &Replica<S> {
        &self.replica
    }

    /// Ends the member and returns its state, to be kept by a process that left the trio.
    #[must_use]
    pub fn into_replica(self) -> Replica<S> {
        self.replica
    }

    /// Returns the number of entries that a standby holds, or zero when this process leads no reign.
    #[must_use]
    pub fn committed(&self) -> u64 {
        match &self.duty {
            Duty::Lead(leader) => leader.committed(),
            _ => 0,
        }
    }

    /// Tells whether a proposal waits for its seal or for its fate in the store.
    #[must_use]
    pub fn is_proposing(&self) -> bool {
        self.proposal().is_some()
    }

    /// Returns the standbys that have not answered this leader for [`SILENCE_TIMEOUT`].
    #[must_use]
    pub fn silent_standbys(&self, now: Instant) -> SmallVec<[Peer; 2]> {
        match &self.duty {
            Duty::Lead(leader) => leader.silent_standbys(now),
            _ => SmallVec::new(),
        }
    }

    /// Returns the proposal that waits for its seal or for its fate.
    fn proposal(&self) -> Option<&Proposal> {
        match &self.duty {
            Duty::Lead(leader) => leader.proposal.as_ref(),
            Duty::Stand(standby) => standby.claim.as_ref(),
            Duty::Outside => None,
        }
    }

    /// Returns when [`Member::tick`] is due next. It may be called at any other time as well.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        match &self.duty {
            Duty::Lead(leader) => leader.next_tick(),
            Duty::Stand(standby) => standby.next_tick(),
            Duty::Outside => now + SILENCE_TIMEOUT,
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        match &mut self.duty {
            Duty::Lead(leader) => leader.tick(now, &self.context, &self.replica, out),
            Duty::Stand(_) => self.advance(now, out),
            Duty::Outside => {}
        }
    }

    /// Handles a message. Those of other epochs are ignored; the caller compares
    /// [`Message::fence`] with [`Member::fence`] to notice that either side lacks the record.
    pub fn handle(
        &mut self,
        now: Instant,
        from: &Peer,
        message: Message<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let fence = message.fence();
        if fence.epoch != self.context.epoch {
            return;
        }
        match &mut self.duty {
            Duty::Lead(leader) if fence == leader.fence => {
                if matches!(
                    message,
                    Message::Refused {
                        successor: Some(_),
                        ..
                    }
                ) {
                    self.end(Reason::Succeeded, out);
                    self.duty = Duty::Outside;
                    return;
                }
                leader.handle(now, &self.context, &self.replica, from, &message, out);
            }
            Duty::Lead(_) if fence.succession == 0 && *from == self.context.replica_set.leader => {
                let successor = Some(self.context.me.clone());
                let message = Message::Refused { fence, successor };
                out.push(Output::Send {
                    to: from.clone(),
                    message,
                });
            }
            Duty::Stand(standby) => {
                standby.handle(now, &self.context, &mut self.replica, from, message, out);
                self.advance(now, out);
            }
            _ => {}
        }
    }

    /// Lets a standby do what is due, and succeed when it may.
    fn advance(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        let Duty::Stand(standby) = &mut self.duty else {
            return;
        };
        standby.tick(now, &self.context, &self.replica, out);
        if standby.claim.is_some() {
            return;
        }
        if standby.right(now, &self.context, &self.replica) != Right::Succeed {
            return;
        }
        let Some(succession) = standby.succession(&self.replica) else {
            return;
        };
        self.replica.complete &= self.replica.term == self.context.fence(0);
        self.replica.term = self.context.fence(1);
        let mut leader = Leader::of_first(now, &self.context, self.replica.index, succession);
        leader.start(now, &self.context, &self.replica, out);
        self.duty = Duty::Lead(Box::new(leader));
    }

    /// Reports that this process acts no more in its reign.
    fn end(&self, reason: Reason, out: &mut Vec<Output<S>>) {
        if let Duty::Lead(leader) = &self.duty
            && leader.is_acting()
        {
            out.push(Output::TermEnded {
                fence: leader.fence,
                reason,
            });
        }
    }

    /// Applies an entry and replicates it, if this process leads an ongoing reign.
    ///
    /// Returns the number of the entry. It may be acted on after [`Output::Committed`] with that
    /// number or a larger one, as long as [`Member::role`] has been [`Role::Leader`] without a
    /// break: a change of epoch under the same leader keeps the numbers.
    pub fn append(
        &mut self,
        now: Instant,
        entry: S::Entry,
        out: &mut Vec<Output<S>>,
    ) -> Option<u64> {
        match &mut self.duty {
            Duty::Lead(leader) if leader.is_acting() => {
                Some(leader.append(now, &mut self.replica, entry, out))
            }
            _ => None,
        }
    }
}
