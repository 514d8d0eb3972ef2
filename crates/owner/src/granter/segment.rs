//! State of one segment of a plan: who may hold its keys, and until when.

use tarragon_model::time::Instant;

use super::freed::{Account, Freed, Reason};
use super::{Action, Command, CommandOutcome, Liveness, SeededFault, Timing};
use crate::plan::{Holder, PreviousHolder, Segment};
use crate::sent_grants::SentGrants;

/// Phase of the transfer of some keys to their holder.
#[derive(Clone, Debug)]
pub(super) enum Phase {
    /// The previous holder may still hold the keys.
    Revoking(PreviousHolder, HoldBound),
    /// The holder may be granted the keys.
    Grantable,
}

/// Bound on how long a holder may hold keys.
#[derive(Clone, Debug)]
pub(super) struct HoldBound {
    /// Grants issued by this granter.
    pub(super) sent: SentGrants,
    /// Whether an earlier granter may have sent grants under the same fencing token.
    pub(super) inherited: bool,
}

impl HoldBound {
    /// Bound before any grant was issued.
    pub(super) fn none() -> Self {
        Self {
            sent: SentGrants::default(),
            inherited: false,
        }
    }

    /// Returns the bound of keys that have either this bound or `other`.
    fn join(mut self, other: Self) -> Self {
        self.sent.join(other.sent);
        self.inherited |= other.inherited;
        self
    }

    fn account(&self) -> Account {
        Account {
            latest_due: self.sent.latest_due(),
            latest_arrival: self.sent.latest_arrival(),
            unconfirmed: self.sent.unconfirmed(),
            inherited: self.inherited,
        }
    }

    /// Returns when the keys are certainly no longer held, or `None` while that is unknown.
    fn expiry(&self, sole_since: Option<Instant>, timing: &Timing) -> Option<Instant> {
        let sent = self.sent.latest_expiry(timing)?;
        if !self.inherited {
            return Some(sent);
        }
        let inherited = sole_since? + timing.max_exchange() + timing.max_hold();
        Some(sent.max(inherited))
    }
}

/// State of one segment of the current plan and of the commands sent for it.
#[derive(Clone, Debug)]
pub(super) struct SegmentState {
    pub(super) segment: Segment,
    pub(super) phase: Phase,
    pub(super) handover: Option<String>,
    /// How long the holder may hold the keys.
    pub(super) hold_bound: HoldBound,
    /// Whether the holder has accepted a grant under this fencing token.
    pub(super) accepted: bool,
    /// When the last command became due, until the server responds to it.
    pub(super) pending_since: Option<Instant>,
    /// When the last accepted grant became due.
    pub(super) granted_at: Option<Instant>,
    pub(super) assigned_at: Instant,
    /// Whether the holder has seen a higher fencing token.
    pub(super) stale_fence: bool,
}

impl SegmentState {
    /// Returns the state of a segment for which an earlier granter may have sent grants.
    pub(super) fn inherited(segment: &Segment, now: Instant) -> Self {
        let hold_bound = HoldBound {
            sent: SentGrants::default(),
            inherited: true,
        };
        let phase = match &segment.previous {
            None => Phase::Grantable,
            Some(previous) => Phase::Revoking(previous.clone(), hold_bound.clone()),
        };
        Self {
            segment: segment.clone(),
            phase,
            handover: None,
            hold_bound,
            accepted: false,
            pending_since: None,
            granted_at: None,
            assigned_at: now,
            stale_fence: false,
        }
    }

    /// Returns the state of a segment with a new fencing token, from the states of the segments that
    /// contained its keys before. There are several only if all have the same holder.
    pub(super) fn following(
        previous: &[Self],
        segment: &Segment,
        seeded_fault: SeededFault,
        now: Instant,
    ) -> Self {
        let bounds = previous.iter().map(Self::current_hold_bound);
        let hold_bound = bounds
            .reduce(HoldBound::join)
            .unwrap_or_else(HoldBound::none);
        let phase = match &segment.previous {
            None => Phase::Grantable,
            Some(previous) => Phase::Revoking(previous.clone(), hold_bound.clone()),
        };
        let may_hold = |state: &Self| match seeded_fault {
            SeededFault::DropRevokedBound => state.segment.holder.id == segment.holder.id,
            _ => state.may_be_held_by(&segment.holder.id),
        };
        let hold_bound = if previous.iter().any(may_hold) {
            // A new fencing token alone does not end the grants under the old one.
            hold_bound
        } else {
            HoldBound::none()
        };
        // A holder that keeps its keys serves them under the old token until it has the new one.
        let kept = |state: &Self| state.accepted && state.segment.holder == segment.holder;
        let accepted = previous.iter().all(kept) && !previous.iter().any(|state| state.stale_fence);
        let assigned = previous.iter().map(|state| state.assigned_at);
        // Joined segments were not moved, so they may move as soon as the latest of them may.
        let assigned_at = assigned.max().filter(|_| accepted).unwrap_or(now);
        Self {
            segment: segment.clone(),
            phase,
            handover: None,
            hold_bound,
            accepted,
            pending_since: None,
            granted_at: None,
            assigned_at,
            stale_fence: false,
        }
    }

    /// Returns whether the previous holder may still hold the keys.
    pub(super) fn is_revoking(&self) -> bool {
        matches!(self.phase, Phase::Revoking(..))
    }

    /// Returns whether a server is assigned the keys, or still has to give them up.
    fn may_be_held_by(&self, server_id: &str) -> bool {
        self.segment.holder.id == server_id || self.holder_to_revoke().holder.id == server_id
    }

    /// Returns the bound on how long any server may hold the keys.
    pub(super) fn current_hold_bound(&self) -> HoldBound {
        match &self.phase {
            Phase::Revoking(_, hold_bound) => hold_bound.clone(),
            Phase::Grantable => self.hold_bound.clone(),
        }
    }

    /// Returns the server that must give up the keys before another server is granted them.
    pub(super) fn holder_to_revoke(&self) -> PreviousHolder {
        match &self.phase {
            Phase::Revoking(previous, _) => previous.clone(),
            Phase::Grantable => PreviousHolder {
                holder: self.segment.holder.clone(),
                fence: self.segment.fence,
            },
        }
    }

    /// Ends the wait for the previous holder once it no longer holds the keys; returns the keys then.
    ///
    /// A restarted holder may have accepted a renewal that was meant for its earlier incarnation.
    /// So the wait is skipped only if the same server is granted the keys again, under a higher
    /// fencing token, or if the holder's process has ended and nothing can reach a later one.
    pub(super) fn update_phase(
        &mut self,
        liveness: &dyn Fn(&Holder) -> Liveness,
        sole_since: Option<Instant>,
        timing: &Timing,
        seeded_fault: SeededFault,
        now: Instant,
    ) -> Option<Freed> {
        let Phase::Revoking(previous, hold_bound) = &self.phase else {
            return None;
        };
        let end = hold_bound.expiry(sole_since, timing);
        let expired = end.is_some_and(|end| now > end);
        let reason = if previous.holder.id == self.segment.holder.id {
            Reason::SameServer
        } else if liveness(&previous.holder) == Liveness::Ended {
            Reason::Ended
        } else if expired || seeded_fault == SeededFault::SkipWait {
            Reason::Expired
        } else {
            return None;
        };
        self.free(reason)
    }

    /// Makes the keys grantable; returns them if they had to be revoked until now.
    fn free(&mut self, reason: Reason) -> Option<Freed> {
        let phase = std::mem::replace(&mut self.phase, Phase::Grantable);
        self.pending_since = None;
        let Phase::Revoking(previous, hold_bound) = phase else {
            return None;
        };
        Some(Freed {
            reason,
            from: self.segment.from,
            to: self.segment.to,
            fence: self.segment.fence,
            previous,
            account: hold_bound.account(),
        })
    }

    /// Returns whether a command should be sent now.
    pub(super) fn is_due(
        &self,
        liveness: &dyn Fn(&Holder) -> Liveness,
        timing: &Timing,
        now: Instant,
    ) -> bool {
        let retry = match &self.phase {
            Phase::Revoking(..) => timing.release_retry,
            Phase::Grantable => timing.grant_retry,
        };
        if self.pending_since.is_some_and(|at| now.since(at) < retry) || self.stale_fence {
            return false;
        }
        match &self.phase {
            // A grant that is sent after the release could be accepted by the next incarnation of
            // the holder.
            Phase::Revoking(_, hold_bound) => !hold_bound.sent.may_be_sent(now, timing),
            Phase::Grantable if liveness(&self.segment.holder) != Liveness::MaybeAlive => false,
            Phase::Grantable => self
                .granted_at
                .is_none_or(|at| now.since(at) >= timing.renewal_interval),
        }
    }

    pub(super) fn next_command(&mut self, number: u64, now: Instant) -> Command {
        self.pending_since = Some(now);
        let (action, server) = match &self.phase {
            Phase::Revoking(previous, _) => (Action::Release, previous.holder.clone()),
            Phase::Grantable => {
                self.hold_bound.sent.record_due(number, now);
                (Action::Grant, self.segment.holder.clone())
            }
        };
        Command {
            number,
            action,
            server,
            from: self.segment.from,
            to: self.segment.to,
            fence: self.segment.fence,
            handover: self.handover.clone().filter(|_| !self.accepted),
        }
    }

    /// Records a time by which a grant had arrived, or never will; `None` if it was not sent.
    ///
    /// Every state has to be told: the grant counts for keys that have been split or joined since.
    pub(super) fn record_arrival(
        &mut self,
        grant: &Command,
        arrived_at: Option<Instant>,
        seeded_fault: SeededFault,
    ) {
        let mut found = self
            .hold_bound
            .sent
            .record_outcome(grant.number, arrived_at);
        if let Phase::Revoking(_, hold_bound) = &mut self.phase {
            found |= hold_bound.sent.record_outcome(grant.number, arrived_at);
        }
        if found || !self.overlaps(grant) || seeded_fault == SeededFault::DropLateOutcome {
            return;
        }
        // An earlier granter of this process sent it, or the keys have been freed since.
        let Some(arrived_at) = arrived_at else {
            return;
        };
        if grant.server.id == self.segment.holder.id {
            self.hold_bound.sent.record_arrival(arrived_at);
        }
        if let Phase::Revoking(_, hold_bound) = &mut self.phase {
            hold_bound.sent.record_arrival(arrived_at);
        }
    }

    pub(super) fn drop_late_outcomes(&mut self, timing: &Timing, now: Instant) {
        self.hold_bound.sent.drop_late_outcomes(timing, now);
        if let Phase::Revoking(_, hold_bound) = &mut self.phase {
            hold_bound.sent.drop_late_outcomes(timing, now);
        }
    }

    fn overlaps(&self, command: &Command) -> bool {
        self.segment.from <= command.to && command.from <= self.segment.to
    }

    /// Records the outcome of a command. Returns whether the holder accepted the keys for the first
    /// time, and the keys if it gave them up.
    ///
    /// Some of the command's keys may have been reassigned since, so each segment decides on its
    /// own.
    pub(super) fn record_outcome(
        &mut self,
        command: &Command,
        due_at: Instant,
        outcome: &CommandOutcome,
    ) -> (bool, Option<Freed>) {
        if command.fence != self.segment.fence || !self.overlaps(command) {
            return (false, None);
        }
        match (command.action, outcome) {
            (Action::Release, CommandOutcome::Done { handover }) => {
                if let Phase::Revoking(previous, _) = &self.phase
                    && previous.holder == command.server
                {
                    self.handover.clone_from(handover);
                    return (false, self.free(Reason::Released));
                }
                (false, None)
            }
            (Action::Grant, CommandOutcome::Done { .. }) => {
                let first = !self.accepted;
                self.accepted = true;
                self.pending_since = None;
                self.granted_at = Some(self.granted_at.map_or(due_at, |at| at.max(due_at)));
                (first, None)
            }
            (Action::Grant, CommandOutcome::StaleFence) => {
                self.stale_fence = true;
                self.pending_since = None;
                (false, None)
            }
            (_, CommandOutcome::NotSent | CommandOutcome::Refused | CommandOutcome::Unknown)
            | (Action::Release, CommandOutcome::StaleFence) => (false, None),
        }
    }
}
