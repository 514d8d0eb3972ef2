//! Proposals of a leader: sealing, writing, and the lease that the next epoch inherits.

use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;
use tarragon_model::time::Instant;

use super::{Leader, Phase};
use crate::context::Context;
use crate::follower::{Follower, Status};
use crate::message::Message;
use crate::output::Output;
use crate::proposal::{Error, Proposal, Stage};
use crate::state::{Replica, State};
use crate::timing::SEAL_TIMEOUT;

/// Lease that a standby has renewed.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    peer: Peer,
    /// When the renewal that the standby confirmed was sent.
    renewal_sent_at: Instant,
}

impl<S: State> Leader<S> {
    /// Starts the change to a new replica set.
    pub fn propose(
        &mut self,
        now: Instant,
        context: &Context,
        replica: &Replica<S>,
        replica_set: ReplicaSet,
        out: &mut Vec<Output<S>>,
    ) -> Result<(), Error> {
        let peer = context.me.clone();
        if self.phase == Phase::Resigned {
            return Err(Error::NotEntitled { peer });
        }
        if matches!(
            self.proposal,
            Some(Proposal {
                stage: Stage::Writing { .. },
                ..
            })
        ) {
            return Err(Error::Pending { peer });
        }
        let complete =
            replica.complete && !(self.fence.succession == 0 && self.all_standbys_gone(context));
        let Some(stage) = self.initial_stage(now, context, &replica_set) else {
            return Err(Error::NoStandby { peer });
        };
        if let Stage::Writing { .. } = stage {
            out.push(Output::Write {
                epoch: context.epoch + 1,
                replica_set: replica_set.clone(),
            });
        }
        self.proposal = Some(Proposal {
            replica_set,
            complete,
            stage,
        });
        self.request_seal(now, out);
        self.write_when_sealed(context, out);
        Ok(())
    }

    /// Returns the first stage of a proposal of `replica_set`, or `None` if the proposal is not safe.
    fn initial_stage(
        &self,
        now: Instant,
        context: &Context,
        replica_set: &ReplicaSet,
    ) -> Option<Stage> {
        let succeeded = self.fence.succession > 0;
        let live = self.followers.iter().filter(|follower| {
            replica_set.contains(&follower.peer)
                && !context.is_gone(&follower.peer)
                && (succeeded || follower.status != Status::Refused)
        });
        let best =
            live.max_by_key(|follower| (follower.status == Status::Sealed, follower.responded_at));
        if succeeded {
            return self.stage_after_succession(now, context, best);
        }
        if let Some(follower) = best {
            let standby = follower.peer.clone();
            return Some(Stage::Sealing {
                standby,
                until: now + SEAL_TIMEOUT,
            });
        }
        let sealed_and_gone = self
            .followers
            .iter()
            .any(|follower| follower.status == Status::Sealed && context.is_gone(&follower.peer));
        let no_seal_needed = sealed_and_gone || self.all_standbys_gone(context);
        no_seal_needed.then_some(Stage::Writing { standby: None })
    }

    /// Returns the first stage of a proposal made by the first standby after it has succeeded.
    ///
    /// The second standby cannot succeed without the store, so no seal is needed. It must be in the
    /// new replica set if it renews the lease; otherwise no lease counts until the outcome of the
    /// write is known.
    fn stage_after_succession(
        &self,
        now: Instant,
        context: &Context,
        kept: Option<&Follower>,
    ) -> Option<Stage> {
        if let Some(follower) = kept {
            return Some(Stage::Writing {
                standby: Some(follower.peer.clone()),
            });
        }
        let lost = self.all_standbys_gone(context)
            || self
                .followers
                .iter()
                .all(|follower| follower.is_silent(now) || follower.status == Status::Refused);
        lost.then_some(Stage::Writing { standby: None })
    }

    /// Requests the seal that a proposal needs, or drops the proposal if the standby has refused
    /// the term or the proposal has timed out.
    pub(super) fn request_seal(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        let Some(Proposal {
            stage: Stage::Sealing { standby, until },
            ..
        }) = &self.proposal
        else {
            return;
        };
        let refused = self
            .followers
            .iter()
            .any(|follower| follower.peer == *standby && follower.status == Status::Refused);
        if refused || now >= *until {
            self.proposal = None;
            return;
        }
        let message = Message::Seal {
            fence: self.fence,
            seq: self.renewals.next(now),
        };
        out.push(Output::Send {
            to: standby.clone(),
            message,
        });
    }

    pub(super) fn write_when_sealed(&mut self, context: &Context, out: &mut Vec<Output<S>>) {
        let Some(Proposal {
            replica_set, stage, ..
        }) = &mut self.proposal
        else {
            return;
        };
        let Stage::Sealing { standby, .. } = stage else {
            return;
        };
        let Some(follower) = self
            .followers
            .iter()
            .find(|follower| follower.peer == *standby)
        else {
            return;
        };
        let holds_all = follower.acked.is_some_and(|index| index >= self.committed);
        if follower.status == Status::Sealed && holds_all {
            *stage = Stage::Writing {
                standby: Some(standby.clone()),
            };
            out.push(Output::Write {
                epoch: context.epoch + 1,
                replica_set: replica_set.clone(),
            });
        }
    }

    /// Inherits the lease from the same leader's term in the previous epoch.
    ///
    /// This is safe because the standby that renewed it belongs to the new replica set, keeps its
    /// promise there and holds every committed entry.
    pub fn inherit_lease(&mut self, lease: &Lease) {
        if let Some(follower) = self
            .followers
            .iter_mut()
            .find(|other| other.peer == lease.peer)
        {
            follower.renewal_sent_at = Some(lease.renewal_sent_at);
            self.base_replicated = true;
        }
    }

    /// Returns the lease that the leader's term in the next epoch may inherit.
    pub fn inheritable_lease(&self) -> Option<Lease> {
        if !self.is_acting() {
            return None;
        }
        let Some(Proposal {
            stage: Stage::Writing { standby },
            ..
        }) = &self.proposal
        else {
            return None;
        };
        let standby = standby.as_ref()?;
        let follower = self
            .followers
            .iter()
            .find(|follower| follower.peer == *standby)?;
        Some(Lease {
            peer: standby.clone(),
            renewal_sent_at: follower.renewal_sent_at?,
        })
    }
}
