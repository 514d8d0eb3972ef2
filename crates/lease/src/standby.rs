//! The side of a standby: promises, seals, yields and the right to take over.

mod handover;
mod right;

use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::time::Instant;

use crate::context::Context;
use crate::flaw::Flaw;
use crate::message::Message;
use crate::output::Output;
use crate::proposal::Proposal;
use crate::renewal::Renewals;
use crate::state::{Held, Position, State};
use crate::timing::{PROMISE, RENEW_EVERY, REPORT_EVERY};

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
            until: now + PROMISE,
            void: false,
        }
    }

    fn extend(&mut self, now: Instant) {
        self.until = self.until.max(now + PROMISE);
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
    held: Position,
}

/// Request of the first standby that the second yield.
#[derive(Clone, Copy, Debug)]
struct Request {
    seq: u64,
    /// How far the first standby holds the state.
    held: Position,
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
        held: &mut Held<S>,
        from: &Peer,
        message: Message<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let fence = message.fence();
        let leads = match fence.succession {
            0 => *from == context.trio.leader,
            _ => *from == context.trio.first,
        };
        match message {
            Message::Yielded {
                seq,
                sealed,
                held: theirs,
                state,
                ..
            } if *from == context.trio.second => {
                self.on_yielded(
                    seq,
                    Answer {
                        sealed,
                        held: theirs,
                    },
                    held,
                    state,
                );
            }
            Message::Yield {
                seq, held: theirs, ..
            } if *from == context.trio.first => {
                let request = Request {
                    seq,
                    held: theirs,
                    at: now,
                };
                self.on_yield(now, context, held, request, out);
            }
            message if leads => {
                if let Some(reply) = self.follow(now, context, held, fence, message) {
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
        held: &mut Held<S>,
        fence: Fence,
        message: Message<S>,
    ) -> Option<Message<S>> {
        if !self.accepts(fence) {
            let heir = self.heir(context);
            return Some(Message::Refused { fence, heir });
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
            Message::Snapshot { held: sent } => {
                if sent.position() > held.position() {
                    *held = sent;
                }
                Some(Message::Appended {
                    fence,
                    index: held.index,
                })
            }
            Message::Append { from, entries, .. } => Some(append(held, fence, from, &entries)),
            Message::Seal { seq, .. } => {
                self.sealed = context.flaw != Some(Flaw::ForgetSeal);
                let index = (held.reign == fence).then_some(held.index);
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

    fn heir(&self, context: &Context) -> Option<Peer> {
        let succeeded = matches!(
            self.side,
            Side::Second {
                follows: Follows::First,
                ..
            }
        );
        succeeded.then(|| context.trio.first.clone())
    }

    /// Tells whether the standby may take part in a succession.
    fn is_free(&self, now: Instant, context: &Context) -> bool {
        let followed = match self.side {
            Side::Second { follows, .. } if follows != Follows::Leader => &context.trio.first,
            _ => &context.trio.leader,
        };
        context.flaw == Some(Flaw::NoPromise)
            || self.promise.is_over(now)
            || context.is_gone(followed)
    }

    /// Tells the leader once that this process awaits the snapshot.
    fn greet<S: State>(&mut self, context: &Context, held: &Held<S>, out: &mut Vec<Output<S>>) {
        let fence = context.fence(0);
        if !self.greeted && held.reign < fence {
            let to = context.trio.leader.clone();
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
        held: &Held<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.greet(context, held, out);
        if self.is_free(now, context) {
            self.wake = now + RENEW_EVERY;
            self.answer_late(now, context, held, out);
            self.ask(now, context, held, out);
        } else {
            self.wake = self.promise.until;
        }
        let vacant = matches!(self.right(now, context, held), Right::Write { .. });
        if vacant && self.claim.is_none() && now >= self.vacant_at {
            self.vacant_at = now + REPORT_EVERY;
            out.push(Output::Vacant {
                epoch: context.epoch + 1,
            });
        }
    }
}

/// Applies the entries that are new and returns the answer.
fn append<S: State>(
    held: &mut Held<S>,
    fence: Fence,
    from: u64,
    entries: &[S::Entry],
) -> Message<S> {
    if held.reign != fence {
        return Message::Missing { fence };
    }
    if let Some(known) = held.index.checked_sub(from) {
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        for entry in entries.iter().skip(known) {
            held.push(entry);
        }
    }
    Message::Appended {
        fence,
        index: held.index,
    }
}
