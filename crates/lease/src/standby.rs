//! The side of a standby: promises, seals, yields and the right to take over.

mod handover;
mod right;

use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::message::Message;
use crate::output::Output;
use crate::proposal::Proposal;
use crate::renewal::Renewals;
use crate::seeded_fault::SeededFault;
use crate::state::{Position, Replica, State};
use crate::timing::{PROMISE_DURATION, RENEW_INTERVAL, REPORT_INTERVAL};

pub(crate) use handover::Succession;
pub(crate) use right::Right;

/// Promise not to take part in a succession.
#[derive(Clone, Copy, Debug)]
struct Promise {
    until: Instant,
    /// Whether the leader has resigned, which ends the promise for good.
    void: bool,
}

impl Promise {
    fn new(now: Instant) -> Self {
        Self {
            until: now + PROMISE_DURATION,
            void: false,
        }
    }

    fn extend(&mut self, now: Instant) {
        self.until = self.until.max(now + PROMISE_DURATION);
    }

    fn is_over(self, now: Instant) -> bool {
        self.void || now >= self.until
    }
}

/// What the first standby knows of the second's answer to its request to yield.
#[derive(Clone, Copy, Debug)]
struct Answer {
    sealed: bool,
    /// State of the second, which no longer changes.
    position: Position,
}

/// Request of the first standby that the second yield.
#[derive(Clone, Copy, Debug)]
struct Request {
    seq: u64,
    /// How far the first standby holds the state.
    position: Position,
    at: Instant,
}

/// Whom the second standby follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Follows {
    /// The leader of the record.
    Leader,
    /// Nobody: it has yielded and does not know whether the first succeeded.
    Nobody,
    /// The first standby, which has succeeded.
    First,
}

/// What differs between the two standbys.
#[derive(Clone, Debug)]
enum Side {
    First {
        renewals: Renewals,
        ask_at: Instant,
        answer: Option<Answer>,
        /// When the latest request that was answered was sent.
        renewed: Option<Instant>,
    },
    Second {
        follows: Follows,
        /// Latest request that came while the promise lasted.
        asked: Option<Request>,
    },
}

/// A standby within one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Standby {
    side: Side,
    promise: Promise,
    sealed: bool,
    /// When the leader that the record names told that it has resigned.
    resigned_at: Option<Instant>,
    /// Whether the leader has been told that this process awaits the snapshot.
    greeted: bool,
    vacant_at: Instant,
    wake: Instant,
    /// Takeover that may take effect in the store at any time.
    pub claim: Option<Proposal>,
}

impl Standby {
    pub fn first(now: Instant) -> Self {
        let side = Side::First {
            renewals: Renewals::default(),
            ask_at: now,
            answer: None,
            renewed: None,
        };
        Self::new(now, side)
    }

    pub fn second(now: Instant) -> Self {
        Self::new(
            now,
            Side::Second {
                follows: Follows::Leader,
                asked: None,
            },
        )
    }

    /// The promise from the start covers those that this process gave in earlier epochs.
    fn new(now: Instant, side: Side) -> Self {
        Self {
            side,
            promise: Promise::new(now),
            sealed: false,
            resigned_at: None,
            greeted: false,
            vacant_at: now,
            wake: now,
            claim: None,
        }
    }

    pub fn next_tick(&self) -> Instant {
        self.wake
    }

    /// Handles a message of the epoch.
    pub fn handle<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &mut Replica<S>,
        from: &Peer,
        message: Message<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let fence = message.fence();
        let leads = match fence.succession {
            0 => *from == context.replica_set.leader,
            _ => *from == context.replica_set.first,
        };
        match message {
            Message::VoteGranted {
                seq,
                sealed,
                position: theirs,
                replica: newer,
                ..
            } if *from == context.replica_set.second => {
                self.on_yielded(
                    seq,
                    Answer {
                        sealed,
                        position: theirs,
                    },
                    replica,
                    newer,
                );
            }
            Message::RequestVote {
                seq,
                position: theirs,
                ..
            } if *from == context.replica_set.first => {
                let request = Request {
                    seq,
                    position: theirs,
                    at: now,
                };
                self.on_yield(now, context, replica, request, out);
            }
            message if leads => {
                if let Some(reply) = self.follow(now, context, replica, fence, message) {
                    out.push(Output::Send {
                        to: from.clone(),
                        message: reply,
                    });
                }
            }
            _ => {}
        }
    }

    /// Handles a message of a leader and returns the answer.
    fn follow<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &mut Replica<S>,
        fence: Fence,
        message: Message<S>,
    ) -> Option<Message<S>> {
        if !self.accepts(fence) {
            let successor = self.successor(context);
            return Some(Message::Refused { fence, successor });
        }
        if fence.succession > 0 {
            self.side = Side::Second {
                follows: Follows::First,
                asked: None,
            };
        }
        match message {
            Message::Renew { seq, .. } if !self.promise.void => {
                self.promise.extend(now);
                Some(Message::Renewed { fence, seq })
            }
            Message::Snapshot { replica: sent } => {
                if sent.position() > replica.position() {
                    *replica = sent;
                }
                Some(Message::Appended {
                    fence,
                    index: replica.index,
                })
            }
            Message::Append { from, entries, .. } => Some(append(replica, fence, from, &entries)),
            Message::Seal { seq, .. } => {
                self.sealed = context.seeded_fault != Some(SeededFault::ForgetSeal);
                let index = (replica.term == fence).then_some(replica.index);
                Some(Message::Sealed { fence, seq, index })
            }
            Message::Resign { .. } => {
                self.promise.void = true;
                if fence.succession == 0 {
                    self.resigned_at.get_or_insert(now);
                }
                None
            }
            _ => None,
        }
    }

    /// Tells whether the standby still follows the leader of a reign.
    fn accepts(&self, fence: Fence) -> bool {
        if self.claim.is_some() {
            return false;
        }
        match self.side {
            Side::First { .. } => fence.succession == 0,
            Side::Second { follows, .. } => (fence.succession == 0) == (follows == Follows::Leader),
        }
    }

    fn successor(&self, context: &Context) -> Option<Peer> {
        let succeeded = matches!(
            self.side,
            Side::Second {
                follows: Follows::First,
                ..
            }
        );
        succeeded.then(|| context.replica_set.first.clone())
    }

    /// Tells whether the standby may take part in a succession.
    fn is_free(&self, now: Instant, context: &Context) -> bool {
        let followed = match self.side {
            Side::Second { follows, .. } if follows != Follows::Leader => {
                &context.replica_set.first
            }
            _ => &context.replica_set.leader,
        };
        context.seeded_fault == Some(SeededFault::NoPromise)
            || self.promise.is_over(now)
            || context.is_gone(followed)
    }

    /// Tells the leader once that this process awaits the snapshot.
    fn greet<S: State>(
        &mut self,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let fence = context.fence(0);
        if !self.greeted && replica.term < fence {
            let to = context.replica_set.leader.clone();
            let message = Message::Missing { fence };
            out.push(Output::Send { to, message });
        }
        self.greeted = true;
    }

    /// Greets the leader, asks the second standby to yield and reports a vacant shard, each when
    /// due.
    pub fn tick<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.greet(context, replica, out);
        if self.is_free(now, context) {
            self.wake = now + RENEW_INTERVAL;
            self.answer_late(now, context, replica, out);
            self.ask(now, context, replica, out);
        } else {
            self.wake = self.promise.until;
        }
        let vacant = matches!(self.right(now, context, replica), Right::Write { .. });
        if vacant && self.claim.is_none() && now >= self.vacant_at {
            self.vacant_at = now + REPORT_INTERVAL;
            out.push(Output::TakeoverNeeded {
                epoch: context.epoch + 1,
            });
        }
    }
}

/// Applies the entries that are new and returns the answer.
fn append<S: State>(
    replica: &mut Replica<S>,
    fence: Fence,
    from: u64,
    entries: &[S::Entry],
) -> Message<S> {
    if replica.term != fence {
        return Message::Missing { fence };
    }
    if let Some(known) = replica.index.checked_sub(from) {
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for entry in entries.iter().skip(known) {
            replica.push(entry);
        }
    }
    Message::Appended {
        fence,
        index: replica.index,
    }
}
