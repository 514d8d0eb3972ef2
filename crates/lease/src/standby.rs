//! Standby state: promises, seals, votes and the conditions for succession and takeover.

mod eligibility;
mod vote;

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

pub(crate) use eligibility::Eligibility;
pub(crate) use vote::Succession;

/// Promise to the process that the standby follows, to take part in no succession.
#[derive(Clone, Copy, Debug)]
struct Promise {
    until: Instant,
    /// Whether the leader has resigned, which ends the promise permanently.
    released: bool,
}

impl Promise {
    fn new(now: Instant) -> Self {
        Self {
            until: now + PROMISE_DURATION,
            released: false,
        }
    }

    fn extend(&mut self, now: Instant) {
        self.until = self.until.max(now + PROMISE_DURATION);
    }

    fn has_ended(self, now: Instant) -> bool {
        self.released || now >= self.until
    }
}

/// Vote of the second standby, as received by the first.
#[derive(Clone, Copy, Debug)]
struct Vote {
    sealed: bool,
    /// Position of the second standby's replica, which no longer changes.
    position: Position,
}

/// Vote request of the first standby, as received by the second.
#[derive(Clone, Copy, Debug)]
struct VoteRequest {
    seq: u64,
    /// Position of the first standby's replica.
    position: Position,
    /// When the request was received.
    at: Instant,
}

/// Process that the second standby follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Follows {
    /// Leader that the record names.
    Leader,
    /// None: it has granted its vote and does not know whether the first standby has succeeded.
    Nobody,
    /// First standby, which has succeeded the leader.
    First,
}

/// State that differs between the first and the second standby.
#[derive(Clone, Debug)]
enum Rank {
    First {
        renewals: Renewals,
        next_request_at: Instant,
        vote: Option<Vote>,
        /// When the latest vote request that was granted was sent.
        renewal_sent_at: Option<Instant>,
    },
    Second {
        follows: Follows,
        /// Latest vote request that arrived before the promise expired.
        deferred_request: Option<VoteRequest>,
    },
}

/// State of a standby within one epoch.
#[derive(Clone, Debug)]
pub(crate) struct Standby {
    rank: Rank,
    promise: Promise,
    sealed: bool,
    /// When this process learned that the leader named by the record has resigned.
    leader_resigned_at: Option<Instant>,
    /// Whether the check for a missing snapshot, and the request for it, have been made.
    snapshot_checked: bool,
    next_takeover_report_at: Instant,
    next_tick_at: Instant,
    /// Takeover whose write may take effect in the store at any time.
    pub takeover: Option<Proposal>,
}

impl Standby {
    pub fn first(now: Instant) -> Self {
        let rank = Rank::First {
            renewals: Renewals::default(),
            next_request_at: now,
            vote: None,
            renewal_sent_at: None,
        };
        Self::new(now, rank)
    }

    pub fn second(now: Instant) -> Self {
        Self::new(
            now,
            Rank::Second {
                follows: Follows::Leader,
                deferred_request: None,
            },
        )
    }

    /// The initial promise covers those that this process gave in earlier epochs.
    fn new(now: Instant, rank: Rank) -> Self {
        Self {
            rank,
            promise: Promise::new(now),
            sealed: false,
            leader_resigned_at: None,
            snapshot_checked: false,
            next_takeover_report_at: now,
            next_tick_at: now,
            takeover: None,
        }
    }

    pub fn next_tick(&self) -> Instant {
        self.next_tick_at
    }

    /// Handles a message of the current epoch.
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
                self.on_vote(
                    seq,
                    Vote {
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
                let request = VoteRequest {
                    seq,
                    position: theirs,
                    at: now,
                };
                self.on_vote_request(now, context, replica, request, out);
            }
            message if leads => {
                if let Some(reply) =
                    self.handle_leader_message(now, context, replica, fence, message)
                {
                    out.push(Output::Send {
                        to: from.clone(),
                        message: reply,
                    });
                }
            }
            _ => {}
        }
    }

    /// Handles a message of a leader and returns the response.
    fn handle_leader_message<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &mut Replica<S>,
        fence: Fence,
        message: Message<S>,
    ) -> Option<Message<S>> {
        if !self.accepts_term(fence) {
            let successor = self.successor(context);
            return Some(Message::Refused { fence, successor });
        }
        if fence.succession > 0 {
            self.rank = Rank::Second {
                follows: Follows::First,
                deferred_request: None,
            };
        }
        match message {
            Message::Renew { seq, .. } if !self.promise.released => {
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
            Message::Append { from, entries, .. } => {
                Some(append_entries(replica, fence, from, &entries))
            }
            Message::Seal { seq, .. } => {
                self.sealed = context.seeded_fault != Some(SeededFault::ForgetSeal);
                let index = (replica.term == fence).then_some(replica.index);
                Some(Message::Sealed { fence, seq, index })
            }
            Message::Resign { .. } => {
                self.promise.released = true;
                if fence.succession == 0 {
                    self.leader_resigned_at.get_or_insert(now);
                }
                None
            }
            _ => None,
        }
    }

    /// Returns whether the standby still follows the leader of the term.
    fn accepts_term(&self, fence: Fence) -> bool {
        if self.takeover.is_some() {
            return false;
        }
        match self.rank {
            Rank::First { .. } => fence.succession == 0,
            Rank::Second { follows, .. } => (fence.succession == 0) == (follows == Follows::Leader),
        }
    }

    /// Returns the process that has succeeded the leader, if known.
    fn successor(&self, context: &Context) -> Option<Peer> {
        let succeeded = matches!(
            self.rank,
            Rank::Second {
                follows: Follows::First,
                ..
            }
        );
        succeeded.then(|| context.replica_set.first.clone())
    }

    /// Returns whether the standby may take part in a succession: its promise has ended, or the
    /// process that it follows is gone.
    fn is_released(&self, now: Instant, context: &Context) -> bool {
        let followed = match self.rank {
            Rank::Second { follows, .. } if follows != Follows::Leader => {
                &context.replica_set.first
            }
            _ => &context.replica_set.leader,
        };
        context.seeded_fault == Some(SeededFault::IgnorePromise)
            || self.promise.has_ended(now)
            || context.is_gone(followed)
    }

    /// Requests the snapshot from the leader, once per epoch, if this process lacks it.
    fn request_snapshot<S: State>(
        &mut self,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let fence = context.fence(0);
        if !self.snapshot_checked && replica.term < fence {
            let to = context.replica_set.leader.clone();
            let message = Message::Missing { fence };
            out.push(Output::Send { to, message });
        }
        self.snapshot_checked = true;
    }

    /// Requests the snapshot, requests or grants votes and reports a needed takeover, each when
    /// due.
    pub fn tick<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        self.request_snapshot(context, replica, out);
        if self.is_released(now, context) {
            self.next_tick_at = now + RENEW_INTERVAL;
            self.grant_deferred_request(now, context, replica, out);
            self.request_vote(now, context, replica, out);
        } else {
            self.next_tick_at = self.promise.until;
        }
        let takeover_needed = matches!(
            self.eligibility(now, context, replica),
            Eligibility::TakeOver { .. }
        );
        if takeover_needed && self.takeover.is_none() && now >= self.next_takeover_report_at {
            self.next_takeover_report_at = now + REPORT_INTERVAL;
            out.push(Output::TakeoverNeeded {
                epoch: context.epoch + 1,
            });
        }
    }
}

/// Applies the entries that are new and returns the response.
fn append_entries<S: State>(
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
