//! Changes of the trio: resignation, proofs of loss, proposals and new epochs.

use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

use super::{Duty, Member};
use crate::output::{Output, Reason};
use crate::proposal::{self, Error, Proposal, Stage, WriteOutcome};
use crate::standby::Right;
use crate::state::State;

impl<S: State> Member<S> {
    /// Stops acting for good, in this epoch and in later ones, and hands over to the standbys.
    pub fn resign(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        self.leaving = true;
        self.end(Reason::Resigned, out);
        if let Duty::Lead(leader) = &mut self.duty {
            leader.resign(now, &self.replica, out);
        }
    }

    /// Takes note of the proof that `peer` is gone: a later incarnation has spoken or an operator
    /// declared it lost.
    pub fn mark_gone(&mut self, now: Instant, peer: &Peer, out: &mut Vec<Output<S>>) {
        if !self.context.note_gone(now, peer) {
            return;
        }
        if let Duty::Lead(leader) = &mut self.duty {
            leader.hasten();
        }
        self.tick(now, out);
    }

    /// Proposes a new trio led by this process: to replace a standby, or to take the shard over.
    ///
    /// A leader has a standby seal first; [`Output::Write`] follows at once or later, unless the
    /// proposal is dropped after [`crate::timing::SEAL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// See [`Error`]; nothing has changed then.
    pub fn propose(
        &mut self,
        now: Instant,
        replica_set: ReplicaSet,
        out: &mut Vec<Output<S>>,
    ) -> Result<(), Error> {
        proposal::check(&self.context.me, &replica_set)?;
        let peer = self.context.me.clone();
        match &mut self.duty {
            Duty::Lead(leader) => {
                leader.propose(now, &self.context, &self.replica, replica_set, out)
            }
            Duty::Stand(standby) if standby.claim.is_some() => Err(Error::Pending { peer }),
            Duty::Stand(standby) => {
                let Right::Write { complete } = standby.right(now, &self.context, &self.replica)
                else {
                    return Err(Error::NotEntitled { peer });
                };
                let stage = Stage::Writing { through: None };
                standby.claim = Some(Proposal {
                    replica_set: replica_set.clone(),
                    complete,
                    stage,
                });
                out.push(Output::Write {
                    epoch: self.context.epoch + 1,
                    replica_set,
                });
                Ok(())
            }
            Duty::Outside => Err(Error::NotEntitled { peer }),
        }
    }

    /// Takes note of the fate of a write.
    pub fn handle_write_outcome(
        &mut self,
        now: Instant,
        outcome: WriteOutcome<'_>,
        out: &mut Vec<Output<S>>,
    ) {
        let (WriteOutcome::Applied(record) | WriteOutcome::NotApplied(record)) = outcome else {
            return;
        };
        if self.adopt(now, record, out) || record.epoch < self.context.epoch {
            return;
        }
        match &mut self.duty {
            Duty::Lead(leader) => leader.proposal = None,
            Duty::Stand(standby) => standby.claim = None,
            Duty::Outside => {}
        }
    }

    /// Goes on to a later epoch in place, keeping the state. Records of other epochs are ignored.
    ///
    /// Returns whether the record was taken up.
    pub fn adopt(&mut self, now: Instant, record: &Record, out: &mut Vec<Output<S>>) -> bool {
        if record.epoch <= self.context.epoch {
            return false;
        }
        self.end(Reason::Superseded, out);
        let next = record.epoch == self.context.epoch + 1;
        let own = self
            .proposal()
            .filter(|proposal| next && proposal.replica_set == record.replica_set);
        let complete = own.is_some_and(|proposal| proposal.complete);
        let lease = match &self.duty {
            Duty::Lead(leader) if own.is_some() => leader.lease(),
            _ => None,
        };
        self.context.adopt(record);
        self.enter(now, complete);
        if let Duty::Lead(leader) = &mut self.duty {
            if let Some(lease) = lease {
                leader.inherit(&lease);
            }
            leader.start(now, &self.context, &self.replica, out);
        }
        self.tick(now, out);
        true
    }
}
