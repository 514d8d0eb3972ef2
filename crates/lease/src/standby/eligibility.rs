//! Conditions under which a standby may succeed the leader or take over the shard through the
//! store.

use tarragon_model::time::Instant;

use super::{Follows, Rank, Standby, Vote};
use crate::context::Context;
use crate::state::{Replica, State};
use crate::timing::PROMISE_DURATION;

/// Step that a standby may take now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// None; the standby only follows.
    FollowOnly,
    /// Succeed the leader within the epoch, without the store.
    Succeed,
    /// Take over with a write to the store, which starts a new epoch.
    TakeOver {
        /// Whether the standby's replica contains every committed entry.
        complete: bool,
    },
}

impl Standby {
    /// Returns the step that the standby may take now.
    pub fn eligibility<S: State>(
        &self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
    ) -> Eligibility {
        if !self.is_released(now, context) {
            return Eligibility::FollowOnly;
        }
        match &self.rank {
            Rank::First { vote, .. } => self.first_eligibility(now, context, replica, *vote),
            Rank::Second { follows, .. } => {
                self.second_eligibility(now, context, replica, *follows)
            }
        }
    }

    fn first_eligibility<S: State>(
        &self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        vote: Option<Vote>,
    ) -> Eligibility {
        let gone = context.is_gone(&context.replica_set.second);
        match vote {
            Some(vote) if !vote.sealed && !self.sealed && !gone => Eligibility::Succeed,
            Some(_) => Eligibility::TakeOver {
                complete: replica.complete && replica.term == context.fence(0),
            },
            None if context.renewed_leases_expired(now, &context.replica_set.second) => {
                Eligibility::TakeOver { complete: false }
            }
            None if self.is_leaderless(now, context) => Eligibility::TakeOver { complete: false },
            None => Eligibility::FollowOnly,
        }
    }

    /// Returns whether the leader that the record names has stopped acting and no succession has
    /// followed.
    ///
    /// The other standby cannot act in that case: the first standby has no vote from the second, or
    /// the second has renewed no lease of the first since its promise expired.
    fn is_leaderless(&self, now: Instant, context: &Context) -> bool {
        let gone = context.gone_since(&context.replica_set.leader);
        let since = gone.into_iter().chain(self.leader_resigned_at).min();
        since.is_some_and(|since| now >= since + PROMISE_DURATION)
    }

    fn second_eligibility<S: State>(
        &self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        follows: Follows,
    ) -> Eligibility {
        if follows == Follows::First {
            return Eligibility::TakeOver {
                complete: replica.complete && replica.term == context.fence(1),
            };
        }
        if context.renewed_leases_expired(now, &context.replica_set.first)
            || self.is_leaderless(now, context)
        {
            return Eligibility::TakeOver { complete: false };
        }
        Eligibility::FollowOnly
    }
}
