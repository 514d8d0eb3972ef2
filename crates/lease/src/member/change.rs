//! Changes of the replica set: resignation, lost processes, proposals and new epochs.

use tarragon_model::host::Peer;
use tarragon_model::record::{Record, ReplicaSet};
use tarragon_model::time::Instant;

use super::{Member, RoleState};
use crate::output::{Output, Reason};
use crate::proposal::{self, Error, Proposal, Stage, WriteOutcome};
use crate::standby::Eligibility;
use crate::state::State;

impl<S: State> Member<S> {
    /// Permanently stops acting, in this epoch and in later ones, and lets a standby succeed.
    pub fn resign(&mut self, now: Instant, out: &mut Vec<Output<S>>) {
        self.resigned = true;
        self.report_term_end(Reason::Resigned, out);
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.resign(now, &self.replica, out);
        }
    }

    /// Records the proof that `peer` is gone: a later incarnation of it is running, or an operator
    /// declared it lost.
    pub fn mark_gone(&mut self, now: Instant, peer: &Peer, out: &mut Vec<Output<S>>) {
        if !self.context.mark_gone(now, peer) {
            return;
        }
        if let RoleState::Leader(leader) = &mut self.role_state {
            leader.tick_immediately();
        }
        self.tick(now, out);
    }

    /// Proposes a new replica set led by this process, to replace a standby or to take over the
    /// shard.
    ///
    /// A leader first waits for a standby to seal. [`Output::Write`] is emitted now or later, unless the
    /// proposal is dropped after [`crate::timing::SEAL_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// See [`Error`]. The member is unchanged after an error.
    pub fn propose(
        &mut self,
        now: Instant,
        replica_set: ReplicaSet,
        out: &mut Vec<Output<S>>,
    ) -> Result<(), Error> {
        proposal::check(&self.context.me, &replica_set)?;
        let peer = self.context.me.clone();
        match &mut self.role_state {
            RoleState::Leader(leader) => {
                leader.propose(now, &self.context, &self.replica, replica_set, out)
            }
            RoleState::Standby(standby) if standby.takeover.is_some() => {
                Err(Error::Pending { peer })
            }
            RoleState::Standby(standby) => {
                let Eligibility::TakeOver { complete } =
                    standby.eligibility(now, &self.context, &self.replica)
                else {
                    return Err(Error::NotEntitled { peer });
                };
                let stage = Stage::Writing { standby: None };
                standby.takeover = Some(Proposal {
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
            RoleState::Outside => Err(Error::NotEntitled { peer }),
        }
    }

    /// Handles the outcome of a write to the store.
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
        match &mut self.role_state {
            RoleState::Leader(leader) => leader.proposal = None,
            RoleState::Standby(standby) => standby.takeover = None,
            RoleState::Outside => {}
        }
    }

    /// Moves to the epoch of `record` if it is later than the current one, and keeps the replica.
    ///
    /// Returns whether the record was adopted; one of the current or an earlier epoch is ignored.
    pub fn adopt(&mut self, now: Instant, record: &Record, out: &mut Vec<Output<S>>) -> bool {
        if record.epoch <= self.context.epoch {
            return false;
        }
        self.report_term_end(Reason::Superseded, out);
        let next = record.epoch == self.context.epoch + 1;
        let own = self
            .proposal()
            .filter(|proposal| next && proposal.replica_set == record.replica_set);
        let complete = own.is_some_and(|proposal| proposal.complete);
        let lease = match &self.role_state {
            RoleState::Leader(leader) if own.is_some() => leader.inheritable_lease(),
            _ => None,
        };
        self.context.adopt(record);
        self.enter_epoch(now, complete);
        if let RoleState::Leader(leader) = &mut self.role_state {
            if let Some(lease) = lease {
                leader.inherit_lease(&lease);
            }
            leader.start(now, &self.context, &self.replica, out);
        }
        self.tick(now, out);
        true
    }
}
