//! Proposals of a leader: seal, write, and the lease that the next epoch inherits.

use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;
use tarragon_model::time::Instant;

use super::{Leader, Phase};
use crate::context::Context;
use crate::follower::{Follower, Standing};
use crate::message::Message;
use crate::output::Output;
use crate::proposal::{Error, Proposal, Stage};
use crate::state::{Replica, State};
use crate::timing::SEAL_TIMEOUT;

/// Lease that a standby has renewed.
#[derive(Clone, Debug)]
pub(crate) struct Lease {
    peer: Peer,
    /// When the renewal that was answered was sent.
    renewed: Instant,
}

impl<S: State> Leader<S> {
    /// Starts the change to a new trio.
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
            replica.complete && !(self.fence.succession == 0 && self.is_stranded(context));
        let Some(stage) = self.stage_for(now, context, &replica_set) else {
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
        self.seal(now, out);
        self.write_when_sealed(context, out);
        Ok(())
    }

    /// Chooses how a proposal of `trio` has to begin.
    fn stage_for(
        &self,
        now: Instant,
        context: &Context,
        replica_set: &ReplicaSet,
    ) -> Option<Stage> {
        let succeeded = self.fence.succession > 0;
        let live = self.followers.iter().filter(|follower| {
            replica_set.contains(&follower.peer)
                && !context.is_gone(&follower.peer)
                && (succeeded || follower.standing != Standing::Refused)
        });
        let best =
            live.max_by_key(|follower| (follower.standing == Standing::Sealed, follower.heard));
        if succeeded {
            return self.stage_after_succession(now, context, best);
        }
        if let Some(follower) = best {
            let through = follower.peer.clone();
            return Some(Stage::Sealing {
                through,
                until: now + SEAL_TIMEOUT,
            });
        }
        let sealed_and_gone = self.followers.iter().any(|follower| {
            follower.standing == Standing::Sealed && context.is_gone(&follower.peer)
        });
        let free = sealed_and_gone || self.is_stranded(context);
        free.then_some(Stage::Writing { through: None })
    }

    /// The second standby cannot succeed without the store, so no seal is needed. It must stay in
    /// the trio while it renews the lease, or else no lease counts until the fate is known.
    fn stage_after_succession(
        &self,
        now: Instant,
        context: &Context,
        kept: Option<&Follower>,
    ) -> Option<Stage> {
        if let Some(follower) = kept {
            return Some(Stage::Writing {
                through: Some(follower.peer.clone()),
            });
        }
        let lost = self.is_stranded(context)
            || self
                .followers
                .iter()
                .all(|follower| follower.is_silent(now) || follower.standing == Standing::Refused);
        lost.then_some(Stage::Writing { through: None })
    }

    /// Asks for the seal that a proposal needs, or drops the proposal.
    pub(super) fn seal(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        let Some(Proposal {
            stage: Stage::Sealing { through, until },
            ..
        }) = &self.proposal
        else {
            return;
        };
        let refused = self
            .followers
            .iter()
            .any(|follower| follower.peer == *through && follower.standing == Standing::Refused);
        if refused || now >= *until {
            self.proposal = None;
            return;
        }
        let message = Message::Seal {
            fence: self.fence,
            seq: self.renewals.next(now),
        };
        out.push(Output::Send {
            to: through.clone(),
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
        let Stage::Sealing { through, .. } = stage else {
            return;
        };
        let Some(follower) = self
            .followers
            .iter()
            .find(|follower| follower.peer == *through)
        else {
            return;
        };
        let holds_all = follower.acked.is_some_and(|index| index >= self.committed);
        if follower.standing == Standing::Sealed && holds_all {
            *stage = Stage::Writing {
                through: Some(through.clone()),
            };
            out.push(Output::Write {
                epoch: context.epoch + 1,
                replica_set: replica_set.clone(),
            });
        }
    }

    /// Takes over the lease of the same leader's reign in the epoch before.
    ///
    /// The standby that renewed it belongs to the new trio and keeps its promise there, and it
    /// holds all that was committed.
    pub fn inherit(&mut self, lease: &Lease) {
        if let Some(follower) = self
            .followers
            .iter_mut()
            .find(|other| other.peer == lease.peer)
        {
            follower.renewed = Some(lease.renewed);
            self.shared = true;
        }
    }

    /// Returns the lease that the next epoch's reign may inherit.
    pub fn lease(&self) -> Option<Lease> {
        if !self.is_acting() {
            return None;
        }
        let Some(Proposal {
            stage: Stage::Writing { through },
            ..
        }) = &self.proposal
        else {
            return None;
        };
        let through = through.as_ref()?;
        let follower = self
            .followers
            .iter()
            .find(|follower| follower.peer == *through)?;
        Some(Lease {
            peer: through.clone(),
            renewed: follower.renewed?,
        })
    }
}
