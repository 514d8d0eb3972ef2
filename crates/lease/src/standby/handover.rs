//! How the second standby yields to the first.

use tarragon_model::time::Instant;

use super::{Answer, Follows, Promise, Request, Side, Standby};
use crate::context::Context;
use crate::flaw::Flaw;
use crate::message::Message;
use crate::output::Output;
use crate::renewal::Renewals;
use crate::state::{Held, State};
use crate::timing::{ASK_EVERY, ASK_KEPT};

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
        held: &Held<S>,
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
            *ask_at = now + ASK_EVERY;
            let seq = renewals.next(now);
            let message = Message::Yield {
                fence: context.fence(1),
                seq,
                held: held.position(),
            };
            out.push(Output::Send {
                to: context.trio.second.clone(),
                message,
            });
        }
        self.wake = self.wake.min(*ask_at);
    }

    /// Returns what the first standby brings into its reign.
    pub fn succession<S: State>(&self, held: &Held<S>) -> Option<Succession> {
        let Side::First {
            renewals,
            answer,
            renewed,
            ..
        } = &self.side
        else {
            return None;
        };
        let shared = answer.is_some_and(|answer| answer.held == held.position());
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
        held: &Held<S>,
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
        let to = context.trio.first.clone();
        if *follows == Follows::Leader {
            if !free {
                *asked = Some(request);
                let message = Message::Busy {
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
        let message = self.yielded(context, held, request);
        out.push(Output::Send { to, message });
    }

    fn yielded<S: State>(&self, context: &Context, held: &Held<S>, request: Request) -> Message<S> {
        let ahead = held.position() > request.held;
        let skip = ahead && context.flaw == Some(Flaw::SkipYieldState);
        Message::Yielded {
            fence: context.fence(1),
            seq: request.seq,
            sealed: self.sealed,
            held: if skip { request.held } else { held.position() },
            state: (ahead && !skip).then(|| held.clone()),
        }
    }

    /// Answers a request that came too early, as soon as the promise is over.
    pub(super) fn answer_late<S: State>(
        &mut self,
        now: Instant,
        context: &Context,
        held: &Held<S>,
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
            && now < request.at + ASK_KEPT
        {
            self.on_yield(now, context, held, request, out);
        }
    }

    /// Takes in the second standby's answer.
    pub(super) fn on_yielded<S: State>(
        &mut self,
        seq: u64,
        theirs: Answer,
        held: &mut Held<S>,
        state: Option<Held<S>>,
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
        if let Some(state) = state
            && state.position() > held.position()
        {
            *held = state;
        }
    }
}
