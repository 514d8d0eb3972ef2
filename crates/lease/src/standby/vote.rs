//! Vote of the second standby, by which the first succeeds the leader.

use tarragon_model::time::Instant;

use super::{Follows, Promise, Rank, Standby, Vote, VoteRequest};
use crate::context::Context;
use crate::message::Message;
use crate::output::Output;
use crate::renewal::Renewals;
use crate::seeded_fault::SeededFault;
use crate::state::{Replica, State};
use crate::timing::{VOTE_REQUEST_INTERVAL, VOTE_REQUEST_TTL};

/// State that the first standby carries into its own term.
#[derive(Clone, Debug)]
pub(crate) struct Succession {
    /// Renewals, whose sequence numbers continue those of the vote requests.
    pub renewals: Renewals,
    /// When the latest vote request that was granted was sent; it counts as a renewal.
    pub renewal_sent_at: Option<Instant>,
    /// Whether the second standby's replica is at the same position.
    pub base_replicated: bool,
}

impl Standby {
    /// Requests the second standby's vote when due, until it is granted.
    pub(super) fn request_vote<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let Rank::First {
            renewals,
            next_request_at,
            vote: None,
            ..
        } = &mut self.rank
        else {
            return;
        };
        if self.takeover.is_some() {
            return;
        }
        if now >= *next_request_at {
            *next_request_at = now + VOTE_REQUEST_INTERVAL;
            let seq = renewals.next(now);
            let message = Message::RequestVote {
                fence: context.fence(1),
                seq,
                position: replica.position(),
            };
            out.push(Output::Send {
                to: context.replica_set.second.clone(),
                message,
            });
        }
        self.next_tick_at = self.next_tick_at.min(*next_request_at);
    }

    /// Returns the state that the first standby carries into its term, or `None` for the second
    /// standby.
    pub fn succession<S: State>(&self, replica: &Replica<S>) -> Option<Succession> {
        let Rank::First {
            renewals,
            vote,
            renewal_sent_at,
            ..
        } = &self.rank
        else {
            return None;
        };
        let base_replicated = vote.is_some_and(|vote| vote.position == replica.position());
        Some(Succession {
            renewals: renewals.clone(),
            renewal_sent_at: *renewal_sent_at,
            base_replicated,
        })
    }

    /// Grants the first standby's vote request, or defers it until the promise to the leader has
    /// expired.
    pub(super) fn on_vote_request<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        request: VoteRequest,
        out: &mut Vec<Output<S>>,
    ) {
        let released = self.is_released(now, context);
        let Rank::Second {
            follows,
            deferred_request,
        } = &mut self.rank
        else {
            return;
        };
        if self.takeover.is_some() {
            return;
        }
        let to = context.replica_set.first.clone();
        if *follows == Follows::Leader {
            if !released {
                *deferred_request = Some(request);
                let message = Message::VoteDeferred {
                    fence: context.fence(1),
                };
                out.push(Output::Send { to, message });
                return;
            }
            *follows = Follows::Nobody;
            self.promise = Promise::new(now);
        }
        if !self.sealed {
            self.promise.extend(now);
        }
        let message = self.grant_vote(context, replica, request);
        out.push(Output::Send { to, message });
    }

    fn grant_vote<S: State>(
        &self,
        context: &Context,
        replica: &Replica<S>,
        request: VoteRequest,
    ) -> Message<S> {
        let ahead = replica.position() > request.position;
        let skip = ahead && context.seeded_fault == Some(SeededFault::OmitNewerState);
        Message::VoteGranted {
            fence: context.fence(1),
            seq: request.seq,
            sealed: self.sealed,
            position: if skip {
                request.position
            } else {
                replica.position()
            },
            replica: (ahead && !skip).then(|| replica.clone()),
        }
    }

    /// Grants a deferred vote request once the promise has expired, unless the request is older
    /// than [`VOTE_REQUEST_TTL`].
    pub(super) fn grant_deferred_request<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let Rank::Second {
            follows: Follows::Leader,
            deferred_request,
        } = &mut self.rank
        else {
            return;
        };
        if let Some(request) = deferred_request.take()
            && now < request.at + VOTE_REQUEST_TTL
        {
            self.on_vote_request(now, context, replica, request, out);
        }
    }

    /// Records the second standby's vote and takes over its replica if that is ahead.
    pub(super) fn on_vote<S: State>(
        &mut self,
        seq: u64,
        theirs: Vote,
        replica: &mut Replica<S>,
        newer: Option<Replica<S>>,
    ) {
        let Rank::First {
            renewals,
            vote,
            renewal_sent_at,
            ..
        } = &mut self.rank
        else {
            return;
        };
        *vote = Some(theirs);
        *renewal_sent_at = (*renewal_sent_at).max(renewals.sent_at(seq));
        if let Some(newer) = newer
            && newer.position() > replica.position()
        {
            *replica = newer;
        }
    }
}
