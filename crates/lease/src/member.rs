//! A process's part in the authority over one shard.

mod change;

use smallvec::SmallVec;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::shard;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::flaw::Flaw;
use crate::message::Message;
use crate::output::{Output, Reason};
use crate::proposal::Proposal;
use crate::reign::Reign;
use crate::standby::{Right, Standby};
use crate::state::{Held, State};
use crate::timing::SILENCE;

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
    Lead(Box<Reign<S>>),
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
///         && to == trio.first
///     {
///         first.handle(now, &trio.leader, message, &mut answers);
///     }
/// }
/// for output in answers {
///     if let Output::Send { message, .. } = output {
///         leader.handle(now, &trio.first, message, &mut out);
///     }
/// }
/// assert!(leader.may_act(now));
/// assert!(!leader.may_act(now + tarragon_lease::timing::LEASE));
/// ```
#[derive(Clone, Debug)]
pub struct Member<S: State> {
    shard: shard::Id,
    context: Context,
    duty: Duty<S>,
    held: Held<S>,
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
        carried: Option<Held<S>>,
    ) -> Self {
        Self::build(me, shard, record, now, carried, None)
    }

    /// Creates a member that breaks a rule, for tests of the tests.
    #[doc(hidden)]
    #[must_use]
    pub fn flawed(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        carried: Option<Held<S>>,
        flaw: Flaw,
    ) -> Self {
        Self::build(me, shard, record, now, carried, Some(flaw))
    }

    fn build(
        me: Peer,
        shard: shard::Id,
        record: &Record,
        now: Instant,
        carried: Option<Held<S>>,
        flaw: Option<Flaw>,
    ) -> Self {
        let mut member = Self {
            shard,
            context: Context::new(me, record, flaw),
            duty: Duty::Outside,
            held: carried.unwrap_or_default(),
            leaving: false,
        };
        member.enter(now, false);
        member
    }

    /// Takes up the part that the current trio gives to this process.
    fn enter(&mut self, now: Instant, complete: bool) {
        let context = &self.context;
        self.duty = if context.me == context.trio.leader {
            self.held.reign = context.fence(0);
            self.held.complete = complete;
            let reign = Reign::of_record(now, context, self.held.index, self.leaving);
            Duty::Lead(Box::new(reign))
        } else if context.me == context.trio.first {
            Duty::Stand(Box::new(Standby::first(now)))
        } else if context.me == context.trio.second {
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
    pub fn trio(&self) -> &ReplicaSet {
        &self.context.trio
    }

    /// Returns the reign that this process leads, or else the latest one that it knows of.
    #[must_use]
    pub fn fence(&self) -> Fence {
        match &self.duty {
            Duty::Lead(reign) => reign.fence,
            _ => self.held.reign.max(self.context.fence(0)),
        }
    }

    /// Returns the part that the process plays at present.
    #[must_use]
    pub fn role(&self) -> Role {
        match &self.duty {
            Duty::Lead(_) => Role::Leader,
            Duty::Outside => Role::Outside,
            Duty::Stand(_) if self.context.me == self.context.trio.first => Role::First,
            Duty::Stand(_) => Role::Second,
        }
    }

    /// Tells whether the process may act at `now`. Check it at the last moment before each act.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        match &self.duty {
            Duty::Lead(reign) => reign.may_act(now, &self.context),
            _ => false,
        }
    }

    /// Returns until when the process may act, or [`Instant::ZERO`] when it may not.
    #[must_use]
    pub fn lease_until(&self) -> Instant {
        match &self.duty {
            Duty::Lead(reign) if reign.is_acting() => reign.lease_until(),
            _ => Instant::ZERO,
        }
    }

    /// Returns the state, with entries that are not committed yet.
    #[must_use]
    pub fn state(&self) -> &S {
        &self.held.state
    }

    /// Returns the state and how far it reaches.
    #[must_use]
    pub fn held(&self) -> &Held<S> {
        &self.held
    }

    /// Ends the member and returns its state, to be kept by a process that left the trio.
    #[must_use]
    pub fn into_held(self) -> Held<S> {
        self.held
    }

    /// Returns the number of entries that a standby holds, or zero when this process leads no reign.
    #[must_use]
    pub fn committed(&self) -> u64 {
        match &self.duty {
            Duty::Lead(reign) => reign.committed(),
            _ => 0,
        }
    }

    /// Tells whether a proposal waits for its seal or for its fate in the store.
    #[must_use]
    pub fn is_proposing(&self) -> bool {
        self.proposal().is_some()
    }

    /// Returns the standbys that have not answered this leader for [`SILENCE`].
    #[must_use]
    pub fn silent(&self, now: Instant) -> SmallVec<[Peer; 2]> {
        match &self.duty {
            Duty::Lead(reign) => reign.silent(now),
            _ => SmallVec::new(),
        }
    }

    /// Returns the proposal that waits for its seal or for its fate.
    fn proposal(&self) -> Option<&Proposal> {
        match &self.duty {
            Duty::Lead(reign) => reign.proposal.as_ref(),
            Duty::Stand(standby) => standby.claim.as_ref(),
            Duty::Outside => None,
        }
    }

    /// Returns when [`Member::tick`] is due next. It may be called at any other time as well.
    #[must_use]
    pub fn next_tick(&self, now: Instant) -> Instant {
        match &self.duty {
            Duty::Lead(reign) => reign.next_tick(),
            Duty::Stand(standby) => standby.next_tick(),
            Duty::Outside => now + SILENCE,
        }
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        match &mut self.duty {
            Duty::Lead(reign) => reign.tick(now, &self.context, &self.held, out),
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
            Duty::Lead(reign) if fence == reign.fence => {
                if matches!(message, Message::Refused { heir: Some(_), .. }) {
                    self.end(Reason::Succeeded, out);
                    self.duty = Duty::Outside;
                    return;
                }
                reign.handle(now, &self.context, &self.held, from, &message, out);
            }
            Duty::Lead(_) if fence.succession == 0 && *from == self.context.trio.leader => {
                let heir = Some(self.context.me.clone());
                let message = Message::Refused { fence, heir };
                out.push(Output::Send {
                    to: from.clone(),
                    message,
                });
            }
            Duty::Stand(standby) => {
                standby.handle(now, &self.context, &mut self.held, from, message, out);
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
        standby.tick(now, &self.context, &self.held, out);
        if standby.claim.is_some() {
            return;
        }
        if standby.right(now, &self.context, &self.held) != Right::Succeed {
            return;
        }
        let Some(succession) = standby.succession(&self.held) else {
            return;
        };
        self.held.complete &= self.held.reign == self.context.fence(0);
        self.held.reign = self.context.fence(1);
        let mut reign = Reign::of_first(now, &self.context, self.held.index, succession);
        reign.start(now, &self.context, &self.held, out);
        self.duty = Duty::Lead(Box::new(reign));
    }

    /// Reports that this process acts no more in its reign.
    fn end(&self, reason: Reason, out: &mut Vec<Output<S>>) {
        if let Duty::Lead(reign) = &self.duty
            && reign.is_acting()
        {
            out.push(Output::Ended {
                fence: reign.fence,
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
            Duty::Lead(reign) if reign.is_acting() => {
                Some(reign.append(now, &mut self.held, entry, out))
            }
            _ => None,
        }
    }
}
