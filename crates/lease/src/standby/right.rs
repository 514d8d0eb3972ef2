//! When a standby may succeed the leader or take the shard over through the store.

use tarragon_model::time::Instant;

use super::{Answer, Follows, Side, Standby};
use crate::context::Context;
use crate::state::{Held, State};

/// What a standby may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Right {
    /// Nothing but follow.
    Follow,
    /// Succeed within the epoch.
    Succeed,
    /// Take over by a write to the store.
    Write {
        /// Whether the standby's state misses no committed entry.
        complete: bool,
    },
}

impl Standby {
    /// Tells what the standby may do now.
    pub fn right<S: State>(&self, now: Instant, context: &Context, held: &Held<S>) -> Right {
        if !self.is_free(now, context) {
            return Right::Follow;
        }
        match &self.side {
            Side::First { answer, .. } => self.right_of_first(now, context, held, *answer),
            Side::Second { follows, .. } => Self::right_of_second(now, context, held, *follows),
        }
    }

    fn right_of_first<S: State>(
        &self,
        now: Instant,
        context: &Context,
        held: &Held<S>,
        answer: Option<Answer>,
    ) -> Right {
        let gone = context.is_gone(&context.trio.second);
        match answer {
            Some(answer) if !answer.sealed && !self.sealed && !gone => Right::Succeed,
            Some(_) => Right::Write {
                complete: held.complete && held.reign == context.fence(0),
            },
            None if context.is_lapsed(now, &context.trio.second) => {
                Right::Write { complete: false }
            }
            None => Right::Follow,
        }
    }

    fn right_of_second<S: State>(
        now: Instant,
        context: &Context,
        held: &Held<S>,
        follows: Follows,
    ) -> Right {
        if follows == Follows::First {
            return Right::Write {
                complete: held.complete && held.reign == context.fence(1),
            };
        }
        if context.is_lapsed(now, &context.trio.first) {
            return Right::Write { complete: false };
        }
        Right::Follow
    }
}
