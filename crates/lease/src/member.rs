//! State machine of one shard on one process.

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
use crate::standby::{Eligibility, Standby};
use crate::state::{Replica, State};
use crate::timing::SILENCE_TIMEOUT;

/// Current role of a process in its epoch.
///
/// The response to the query `/shards` contains the variant names in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Leads the current term, whether or not it may act yet.
    Leader,
    /// First standby.
    First,
    /// Second standby.
    Second,
    /// No role: the process has been succeeded or is not in the replica set.
    Outside,
}

/// State that belongs to the current role.
#[derive(Clone, Debug)]
enum RoleState<S: State> {
    Leader(Box<Leader<S>>),
    Standby(Box<Standby>),
    Outside,
}

/// State machine of one shard on one process.
///
/// A process must not have two members of one shard, nor drop one and create another for the same
/// epoch, because promises and seals are kept only here. [`Member::adopt`] moves to a later epoch.
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
/// let replica_set = ReplicaSet { leader: peer("h1"), first: peer("h2"), second: peer("h3") };
/// let record = Record {
///     epoch: 1,
///     fence: Fence::new(1, 0),
///     index: 0,
///     token: String::new(),
///     replica_set: replica_set.clone(),
///     owners: Vec::new(),
///     overrides: Vec::new(),
/// };
/// let shard = shard::Id::new("balance".into(), 0);
/// let now = Instant::from_millis(1);
/// let mut leader = Member::<Total>::new(peer("h1"), shard.clone(), &record, now, None);
/// let mut first = Member::<Total>::new(peer("h2"), shard, &record, now, None);
///
/// // The leader sends its snapshot and requests a renewal of its lease; the standby confirms it.
/// let mut out = Vec::new();
/// leader.tick(now, &mut out);
/// let mut responses = Vec::new();
/// for output in out.drain(..) {
///     if let Output::Send { to, message } = output
///         && to == replica_set.first
///     {
///         first.handle(now, &replica_set.leader, message, &mut responses);
///     }
/// }
/// for output in responses {
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
    role_state: RoleState<S>,
    replica: Replica<S>,
    /// Whether the process has resigned; it never acts as leader again.
    resigned: bool,
}

impl<S: State> Member<S> {
    /// Creates a member from the first record of the shard that the process has learned.
    ///
    /// `initial` is the replica that the process kept from an earlier epoch, if any; it counts as
    /// incomplete. Call [`Member::tick`] next.
    #[must_use]
    pub fn new(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        initial: Option<Replica<S>>,
    ) -> Self {
        Self::build(me, shard, record, now, initial, None)
    }

    /// Creates a member that violates a protocol rule, so that tests can prove that the violation
    /// is detected.
    #[doc(hidden)]
    #[must_use]
    pub fn with_seeded_fault(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        initial: Option<Replica<S>>,
        seeded_fault: SeededFault,
    ) -> Self {
        Self::build(me, shard, record, now, initial, Some(seeded_fault))
    }

    fn build(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        initial: Option<Replica<S>>,
        seeded_fault: Option<SeededFault>,
    ) -> Self {
        let mut member = Self {
            shard,
            context: Context::new(me, record, seeded_fault),
            role_state: RoleState::Outside,
            replica: initial.unwrap_or_default(),
            resigned: false,
        };
        member.enter_epoch(now, false);
        member
    }

    /// Enters the current epoch in the role that its replica set assigns to this process.
    fn enter_epoch(&mut self, now: Instant, complete: bool) {
        let context = &self.context;
        self.role_state = if context.me == context.replica_set.leader {
            self.replica.term = context.fence(0);
            self.replica.complete = complete;
            let leader = Leader::from_record(now, context, self.replica.index, self.resigned);
            RoleState::Leader(Box::new(leader))
        } else if context.me == context.replica_set.first {
            RoleState::Standby(Box::new(Standby::first(now)))
        } else if context.me == context.replica_set.second {
            RoleState::Standby(Box::new(Standby::second(now)))
        } else {
            RoleState::Outside
        };
    }

    /// Returns the shard that this member belongs to.
    #[must_use]
    pub fn shard(&self) -> &shard::Id {
        &self.shard
    }

    /// Returns the replica set of the current epoch.
    #[must_use]
    pub fn replica_set(&self) -> &ReplicaSet {
        &self.context.replica_set
    }

    /// Returns the fence of the term that this process leads, or else of the latest term it knows.
    #[must_use]
    pub fn fence(&self) -> Fence {
        match &self.role_state {
            RoleState::Leader(leader) => leader.fence,
            _ => self.replica.term.max(self.context.fence(0)),
        }
    }

    /// Returns the current role of the process.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.role_state {
            RoleState::Leader(_) => Role::Leader,
            RoleState::Outside => Role::Outside,
            RoleState::Standby(_) if self.context.me == self.context.replica_set.first => {
                Role::First
            }
            RoleState::Standby(_) => Role::Second,
        }
    }

    /// Returns whether the process may act at `now`. Check it immediately before each action.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        match &self.role_state {
            RoleState::Leader(leader) => leader.may_act(now, &self.context),
            _ => false,
        }
    }

    /// Returns when the lease expires, or [`Instant::ZERO`] if the process does not act.
    #[must_use]
    pub fn lease_until(&self) -> Instant {
        match &self.role_state {
            RoleState::Leader(leader) if leader.is_acting() => leader.lease_until(),
            _ => Instant::ZERO,
        }
    }

    /// Returns the state, including entries that are not committed yet.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.replica.state
    }

    /// Returns this process's replica.
    #[must_use]
    pub fn replica(&self) -> &Replica<S> {
        &self.replica
    }

    /// Consumes the member and returns its replica, which a process that has left the replica set
    /// keeps.
    #[must_use]
    pub fn into_replica(self) -> Replica<S> {
        self.replica
    }

    /// Returns the index of the last committed entry, or zero if this process is not the leader.
    #[must_use]
    pub fn committed(&self) -> u64 {
        match &self.role_state {
            RoleState::Leader(leader) => leader.committed(),
            _ => 0,
        }
    }

    /// Returns whether a proposal is waiting for its seal or for the outcome of its write.
    #[must_use]
    pub fn is_proposing(&self) -> bool {
        self.proposal().is_some()
    }

    /// Returns the standbys that have not responded to this leader for [`SILENCE_TIMEOUT`].
    #[must_use]
    pub fn silent_standbys(&self, now: Instant) -> SmallVec<[Peer; 2]> {
        match &self.role_state {
            RoleState::Leader(leader) => leader.silent_standbys(now),
            _ => SmallVec::new(),
        }
    }

    /// Returns the proposal that is waiting for its seal or for the outcome of its write.
    fn proposal(&self) -> Option<&Proposal> {
        match &self.role_state {
            RoleState::Leader(leader) => leader.proposal.as_ref(),
            RoleState::Standby(standby) => standby.takeover.as_ref(),
            RoleState::Outside => None,
        }
    }

    /// Returns when [`Member::tick`] is due next. It may be called at any other time as well.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        match &self.role_state {
            RoleState::Leader(leader) => leader.next_tick(),
            RoleState::Standby(standby) => standby.next_tick(),
            RoleState::Outside => now + SILENCE_TIMEOUT,
        }
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        match &mut self.role_state {
            RoleState::Leader(leader) => leader.tick(now, &self.context, &self.replica, out),
            RoleState::Standby(_) => self.advance_standby(now, out),
            RoleState::Outside => {}
        }
    }

    /// Handles a message. Messages of other epochs are ignored; the driver compares
    /// [`Message::fence`] with [`Member::fence`] to detect that either side lacks the record.
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
        match &mut self.role_state {
            RoleState::Leader(leader) if fence == leader.fence => {
                if matches!(
                    message,
                    Message::Refused {
                        successor: Some(_),
                        ..
                    }
                ) {
                    self.report_term_end(Reason::Succeeded, out);
                    self.role_state = RoleState::Outside;
                    return;
                }
                leader.handle(now, &self.context, &self.replica, from, &message, out);
            }
            RoleState::Leader(_)
                if fence.succession == 0 && *from == self.context.replica_set.leader =>
            {
                let successor = Some(self.context.me.clone());
                let message = Message::Refused { fence, successor };
                out.push(Output::Send {
                    to: from.clone(),
                    message,
                });
            }
            RoleState::Standby(standby) => {
                standby.handle(now, &self.context, &mut self.replica, from, message, out);
                self.advance_standby(now, out);
            }
            _ => {}
        }
    }

    /// Runs a standby's timers and starts its term as soon as it may succeed the leader.
    fn advance_standby(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        let RoleState::Standby(standby) = &mut self.role_state else {
            return;
        };
        standby.tick(now, &self.context, &self.replica, out);
        if standby.takeover.is_some() {
            return;
        }
        if standby.eligibility(now, &self.context, &self.replica) != Eligibility::Succeed {
            return;
        }
        let Some(succession) = standby.succession(&self.replica) else {
            return;
        };
        self.replica.complete &= self.replica.term == self.context.fence(0);
        self.replica.term = self.context.fence(1);
        let mut leader =
            Leader::after_succession(now, &self.context, self.replica.index, succession);
        leader.start(now, &self.context, &self.replica, out);
        self.role_state = RoleState::Leader(Box::new(leader));
    }

    /// Reports the end of the term if this process acts in it.
    fn report_term_end(&self, reason: Reason, out: &mut Vec<Output<S>>) {
        if let RoleState::Leader(leader) = &self.role_state
            && leader.is_acting()
        {
            out.push(Output::TermEnded {
                fence: leader.fence,
                reason,
            });
        }
    }

    /// Applies an entry and replicates it, if this process is the acting leader.
    ///
    /// Returns the index of the entry. The entry may be acted on after [`Output::Committed`] with
    /// that index or a larger one, provided that [`Member::role`] has been [`Role::Leader`]
    /// throughout: a change of epoch under the same leader keeps the indices.
    pub fn append(
        &mut self,
        now: Instant,
        entry: S::Entry,
        out: &mut Vec<Output<S>>,
    ) -> Option<u64> {
        match &mut self.role_state {
            RoleState::Leader(leader) if leader.is_acting() => {
                Some(leader.append(now, &mut self.replica, entry, out))
            }
            _ => None,
        }
    }
}
