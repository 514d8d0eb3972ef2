//! How the second standby yields to the first.

use tarragon_model::time::Instant;

use super::{Answer, Follows, Promise, Request, Side, Standby};
use crate::context::Context;
use crate::message::Message;
use crate::output::Output;
use crate::renewal::Renewals;
use crate::seeded_fault::SeededFault;
use crate::state::{Replica, State};
use crate::timing::{VOTE_REQUEST_INTERVAL, VOTE_REQUEST_TTL};

/// What the first standby brings into its own reign.
#[derive(Clone, Debug)]
pub(crate) struct Succession {
    pub renewals: Renewals,
    pub renewed: Option<Instant>,
    /// Whether the second standby holds the same state.
    pub shared: bool,
}

impl Standby {
    pub(super) fn ask<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let Side::First {
            renewals,
            ask_at,
            answer: None,
            ..
        } = &mut self.side
        else {
            return;
        };
        if self.claim.is_some() {
            return;
        }
        if now >= *ask_at {
            *ask_at = now + VOTE_REQUEST_INTERVAL;
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
        self.wake = self.wake.min(*ask_at);
    }

    /// Returns what the first standby brings into its reign.
    pub fn succession<S: State>(&self, replica: &Replica<S>) -> Option<Succession> {
        let Side::First {
            renewals,
            answer,
            renewed,
            ..
        } = &self.side
        else {
            return None;
        };
        let shared = answer.is_some_and(|answer| answer.position == replica.position());
        Some(Succession {
            renewals: renewals.clone(),
            renewed: *renewed,
            shared,
        })
    }

    /// Answers the first standby's request.
    pub(super) fn on_yield<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        request: Request,
        out: &mut Vec<Output<S>>,
    ) {
        let free = self.is_free(now, context);
        let Side::Second { follows, asked } = &mut self.side else {
            return;
        };
        if self.claim.is_some() {
            return;
        }
        let to = context.replica_set.first.clone();
        if *follows == Follows::Leader {
            if !free {
                *asked = Some(request);
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
        let message = self.yielded(context, replica, request);
        out.push(Output::Send { to, message });
    }

    fn yielded<S: State>(
        &self,
        context: &Context,
        replica: &Replica<S>,
        request: Request,
    ) -> Message<S> {
        let ahead = replica.position() > request.position;
        let skip = ahead && context.seeded_fault == Some(SeededFault::SkipYieldState);
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

    /// Answers a request that came too early, as soon as the promise is over.
    pub(super) fn answer_late<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        out: &mut Vec<Output<S>>,
    ) {
        let Side::Second {
            follows: Follows::Leader,
            asked,
        } = &mut self.side
        else {
            return;
        };
        if let Some(request) = asked.take()
            && now < request.at + VOTE_REQUEST_TTL
        {
            self.on_yield(now, context, replica, request, out);
        }
    }

    /// Takes in the second standby's answer.
    pub(super) fn on_yielded<S: State>(
        &mut self,
        seq: u64,
        theirs: Answer,
        replica: &mut Replica<S>,
        newer: Option<Replica<S>>,
    ) {
        let Side::First {
            renewals,
            answer,
            renewed,
            ..
        } = &mut self.side
        else {
            return;
        };
        *answer = Some(theirs);
        *renewed = (*renewed).max(renewals.sent_at(seq));
        if let Some(newer) = newer
            && newer.position() > replica.position()
        {
            *replica = newer;
        }
    }
}
