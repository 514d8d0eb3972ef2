//! When a standby may succeed the leader or take the shard over through the store.

use tarragon_model::time::Instant;

use super::{Answer, Follows, Side, Standby};
use crate::context::Context;
use crate::state::{Replica, State};
use crate::timing::PROMISE_DURATION;

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
    pub fn right<S: State>(&self, now: Instant, context: &Context, replica: &Replica<S>) -> Right {
        if !self.is_free(now, context) {
            return Right::Follow;
        }
        match &self.side {
            Side::First { answer, .. } => self.right_of_first(now, context, replica, *answer),
            Side::Second { follows, .. } => self.right_of_second(now, context, replica, *follows),
        }
    }

    fn right_of_first<S: State>(
        &self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        answer: Option<Answer>,
    ) -> Right {
        let gone = context.is_gone(&context.replica_set.second);
        match answer {
            Some(answer) if !answer.sealed && !self.sealed && !gone => Right::Succeed,
            Some(_) => Right::Write {
                complete: replica.complete && replica.term == context.fence(0),
            },
            None if context.is_lapsed(now, &context.replica_set.second) => {
                Right::Write { complete: false }
            }
            None if self.is_stalled(now, context) => Right::Write { complete: false },
            None => Right::Follow,
        }
    }

    /// Tells whether the leader that the record names acts no more and no succession has followed.
    ///
    /// The other standby cannot act either then: the first has no answer from the second, or the
    /// second has renewed no lease of the first since its promise ran out.
    fn is_stalled(&self, now: Instant, context: &Context) -> bool {
        let gone = context.gone_since(&context.replica_set.leader);
        let since = gone.into_iter().chain(self.resigned_at).min();
        since.is_some_and(|since| now >= since + PROMISE_DURATION)
    }

    fn right_of_second<S: State>(
        &self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        follows: Follows,
    ) -> Right {
        if follows == Follows::First {
            return Right::Write {
                complete: replica.complete && replica.term == context.fence(1),
            };
        }
        if context.is_lapsed(now, &context.replica_set.first) || self.is_stalled(now, context) {
            return Right::Write { complete: false };
        }
        Right::Follow
    }
}
