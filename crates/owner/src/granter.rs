//! Decides which commands to send to backend servers. Keys are granted to a backend server only when
//! no other one can still hold them.

use std::collections::HashSet;
use std::time::Duration;

use tarragon_model::time::Instant;

use self::freed::Freed;
use self::segment::{Phase, SegmentState};
use crate::balance::{self, Candidate, Inputs};
use crate::loads::Rates;
use crate::plan::{Holder, Plan, Segment};

pub mod freed;
mod held_back;
mod segment;

/// Intervals and timeouts of a granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Duration of a grant, counted from its arrival at the backend server.
    pub grant_duration: Duration,
    /// Interval between renewals of a grant.
    pub renewal_interval: Duration,
    /// Maximum time between a grant becoming due and being sent; after that it is never sent.
    pub max_send_delay: Duration,
    /// Time after which a grant without a response is given up: its connection is closed, and bytes
    /// that have not left the host are discarded.
    pub response_timeout: Duration,
    /// Maximum time for which bytes that left the host are still on their way when a grant is given
    /// up, or copies of them when its response arrives.
    pub max_transit: Duration,
    /// Time after which a grant without a response is sent again.
    pub grant_retry: Duration,
    /// Time after which a release without a response is sent again. A release waits for running
    /// requests.
    pub release_retry: Duration,
    /// Time added to the end of a grant, since the clocks of backend servers may run slow.
    pub clock_margin: Duration,
    /// Minimum time between two transfers of the same keys.
    pub move_cooldown: Duration,
    /// The same for keys whose request rate has just risen.
    pub surge_cooldown: Duration,
}

impl Timing {
    /// Derives all intervals and timeouts from the grant duration.
    #[must_use]
    pub fn with_grant_duration(grant_duration: Duration) -> Self {
        Self {
            grant_duration,
            renewal_interval: grant_duration / 4,
            max_send_delay: Duration::from_millis(600),
            response_timeout: Duration::from_millis(450),
            max_transit: Duration::from_millis(500),
            grant_retry: Duration::from_millis(500),
            release_retry: Duration::from_millis(1_200),
            clock_margin: grant_duration / 25 + Duration::from_millis(50),
            move_cooldown: Duration::from_millis(1_500),
            surge_cooldown: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// Returns the time after which a grant that became due can no longer arrive.
    pub(crate) fn max_exchange(&self) -> Duration {
        self.max_send_delay + self.response_timeout + self.max_transit
    }

    /// Returns the time for which a grant that has arrived may hold keys, by the granter's clock.
    pub(crate) fn max_hold(&self) -> Duration {
        self.grant_duration + self.clock_margin
    }
}

/// Whether the process of a holder may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The process may still run.
    MaybeAlive,
    /// The process has ended, and a later one with the same identifier runs.
    Restarted,
    /// The process has ended. Commands to it reach nobody that executes them.
    Ended,
}

/// Command to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Identifies the command among those for one service by one process.
    pub number: u64,
    /// What the server is asked to do.
    pub action: Action,
    /// Backend server that receives the command.
    pub server: Holder,
    /// First key.
    pub from: u16,
    /// Last key, inclusive.
    pub to: u16,
    /// Fencing token.
    pub fence: u64,
    /// State that the previous holder handed over; only in the first grant after a transfer.
    pub handover: Option<String>,
}

/// What a command asks a backend server to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hold the keys, or extend the current grant.
    Grant,
    /// Give up the keys.
    Release,
}

/// Outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command was executed.
    Done {
        /// State handed over by the previous holder; only in response to a release.
        handover: Option<String>,
    },
    /// The command was not sent.
    NotSent,
    /// The receiver states that it did not execute the command.
    Refused,
    /// The backend server has seen a higher fencing token.
    StaleFence,
    /// It is unknown whether the command was, or will be, executed.
    Unknown,
}

/// Fault that is put in on purpose, so that a test can prove that it would be noticed.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SeededFault {
    /// No fault.
    #[default]
    None,
    /// Grants keys to the next holder without waiting for the previous holder's grant to expire.
    SkipWait,
    /// Keeps renewing grants after being told that another process is the granter.
    RenewAfterStepDown,
    /// Computes the expiry of a grant from its due time instead of its send time.
    ExpiryFromDue,
    /// Takes a grant that was given up for one that can no longer arrive.
    IgnoreTransit,
    /// Takes a grant without an outcome for arrived after some time, and ignores a later outcome.
    DropLateOutcome,
    /// Forgets the grants of a server that keys return to before it gave them up.
    DropRevokedBound,
}

/// Grants the keys of one service.
#[derive(Debug)]
pub struct Granter {
    timing: Timing,
    plan: Plan,
    states: Vec<SegmentState>,
    /// When every earlier granter was known to have stopped, if it is known.
    sole_since: Option<Instant>,
    /// Whether only renewals are sent until the grants of unknown granters have expired.
    held_back: bool,
    /// Keys that were freed and not taken by the caller yet.
    freed: Vec<Freed>,
    /// Number of the next command.
    next_number: u64,
    seeded_fault: SeededFault,
    stepped_down: bool,
}

/// Input to [`Granter::propose`].
pub struct PlanInputs<'a> {
    /// Servers that accept keys.
    pub candidates: &'a [Candidate],
    /// Requests per second of each key.
    pub rates: &'a Rates,
    /// Processing time of a request on a server of mean speed, in seconds.
    pub request_time_s: f64,
    /// Lower bound of the next plan's sequence number.
    pub min_sequence: u64,
}

impl Granter {
    /// Creates a granter for a plan that was read from the store.
    ///
    /// `sole` tells whether no earlier granter can still send commands.
    #[must_use]
    pub fn new(plan: Plan, sole: bool, timing: Timing, now: Instant) -> Self {
        let states = plan
            .segments
            .iter()
            .map(|segment| SegmentState::inherited(segment, now))
            .collect();
        Self {
            timing,
            plan,
            states,
            sole_since: sole.then_some(now),
            held_back: false,
            freed: Vec::new(),
            // An earlier granter of this process used lower numbers: it gave out fewer than one in a
            // microsecond.
            next_number: now.as_micros(),
            seeded_fault: SeededFault::None,
            stepped_down: false,
        }
    }

    /// Returns the granter with the given seeded fault.
    #[doc(hidden)]
    #[must_use]
    pub fn with_seeded_fault(mut self, seeded_fault: SeededFault) -> Self {
        self.seeded_fault = seeded_fault;
        self
    }

    /// Returns the current plan.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Records that no earlier granter can still send commands.
    pub fn confirm_sole(&mut self, now: Instant) {
        self.sole_since.get_or_insert(now);
    }

    /// Records that another process is the granter now. This one sends no further commands.
    pub fn step_down(&mut self) {
        self.stepped_down = self.seeded_fault != SeededFault::RenewAfterStepDown;
    }

    /// Returns whether the holder of the segment that starts at `from` has accepted its grant.
    #[must_use]
    pub fn is_accepted(&self, from: u16) -> bool {
        let state = self.states.iter().find(|state| state.segment.from == from);
        state.is_some_and(|state| state.accepted)
    }

    /// Returns the next plan to write to the store, or `None` if the current one needs no change.
    #[must_use]
    pub fn propose(
        &self,
        inputs: &PlanInputs<'_>,
        liveness: &dyn Fn(&Holder) -> Liveness,
        now: Instant,
    ) -> Option<Plan> {
        if self.is_held_back(now) {
            return None;
        }
        let candidates = inputs.candidates.iter();
        let holders: HashSet<&Holder> = candidates.map(|candidate| &candidate.holder).collect();
        let movable = |segment: &Segment| {
            let state = self.state(segment);
            let is_candidate = holders.contains(&segment.holder);
            let surging = inputs.rates.is_surging(segment.from, segment.to);
            state.is_some_and(|state| self.movable(state, is_candidate, surging, liveness, now))
        };
        let settled = |segment: &Segment| {
            let state = self.state(segment);
            state.is_some_and(|state| {
                state.accepted && !state.stale_fence && matches!(state.phase, Phase::Grantable)
            })
        };
        let previous = |segment: &Segment| self.state(segment).map(SegmentState::holder_to_revoke);
        let balance_inputs = Inputs {
            candidates: inputs.candidates,
            rates: inputs.rates,
            request_time_s: inputs.request_time_s,
            min_sequence: inputs.min_sequence,
            movable: &movable,
            settled: &settled,
            previous: &previous,
        };
        let current = self.without_released_holders();
        let next = balance::next_plan(&current, &balance_inputs);
        if !self.has_stale_fence() {
            return next;
        }
        let next = next.unwrap_or_else(|| Plan {
            sequence: inputs.min_sequence.max(current.sequence + 1),
            ..current
        });
        Some(self.replace_stale_fences(next))
    }

    /// Assigns a new fencing token to the keys whose holder has seen a higher one than the plan's.
    fn replace_stale_fences(&self, mut plan: Plan) -> Plan {
        let sequence = plan.sequence;
        for segment in &mut plan.segments {
            let stale_fence = self.state(segment).is_some_and(|state| state.stale_fence);
            if stale_fence && segment.fence != sequence {
                segment.fence = sequence;
            }
        }
        plan
    }

    /// Returns the current plan without the previous holders that no longer hold their keys.
    fn without_released_holders(&self) -> Plan {
        let mut plan = self.plan.clone();
        for (segment, state) in plan.segments.iter_mut().zip(&self.states) {
            if state.accepted {
                segment.previous = None;
            }
        }
        plan
    }

    /// Returns whether the keys of a segment may be assigned to another holder.
    ///
    /// Keys that still have to be revoked from one server are not assigned to a third one.
    fn movable(
        &self,
        state: &SegmentState,
        is_candidate: bool,
        surging: bool,
        liveness: &dyn Fn(&Holder) -> Liveness,
        now: Instant,
    ) -> bool {
        let holder = &state.segment.holder;
        if let Phase::Revoking(..) = &state.phase {
            // No grant was sent to the next holder yet, unless an earlier granter sent one.
            return !state.hold_bound.inherited
                && !is_candidate
                && liveness(holder) != Liveness::MaybeAlive;
        }
        if !is_candidate {
            return true;
        }
        if state.stale_fence {
            return false;
        }
        let cooldown = if surging {
            self.timing.surge_cooldown
        } else {
            self.timing.move_cooldown
        };
        state.accepted && now.since(state.assigned_at) >= cooldown
    }

    fn state(&self, segment: &Segment) -> Option<&SegmentState> {
        let index = self
            .states
            .partition_point(|state| state.segment.to < segment.from);
        self.states.get(index)
    }

    /// Makes a plan the current one after it was written to the store.
    pub fn adopt(&mut self, plan: Plan, now: Instant) {
        let previous = std::mem::take(&mut self.states);
        self.states = plan
            .segments
            .iter()
            .map(|segment| Self::next_state(&previous, segment, self.seeded_fault, now))
            .collect();
        self.plan = plan;
    }

    /// Derives the state of a segment from the states of those that contained its keys before.
    fn next_state(
        previous: &[SegmentState],
        segment: &Segment,
        seeded_fault: SeededFault,
        now: Instant,
    ) -> SegmentState {
        let first = previous.partition_point(|state| state.segment.to < segment.from);
        let last = previous.partition_point(|state| state.segment.from <= segment.to);
        let Some(predecessor) = previous.get(first) else {
            return SegmentState::inherited(segment, now);
        };
        if predecessor.segment.fence == segment.fence {
            return SegmentState {
                segment: segment.clone(),
                ..predecessor.clone()
            };
        }
        let predecessors = &previous[first..last.max(first + 1)];
        SegmentState::following(predecessors, segment, seeded_fault, now)
    }

    /// Returns the commands that are due.
    ///
    /// `liveness` tells whether the process of a holder may still run.
    pub fn commands(
        &mut self,
        liveness: &dyn Fn(&Holder) -> Liveness,
        now: Instant,
    ) -> Vec<Command> {
        if self.stepped_down {
            return Vec::new();
        }
        let timing = self.timing;
        let seeded_fault = self.seeded_fault;
        let sole_since = self.sole_since;
        let held_back = self.is_held_back(now);
        let mut commands = Vec::new();
        for state in &mut self.states {
            if seeded_fault == SeededFault::DropLateOutcome {
                state.drop_late_outcomes(&timing, now);
            }
            let freed = state.update_phase(liveness, sole_since, &timing, seeded_fault, now);
            self.freed.extend(freed);
            let allowed = !held_back || state.is_revoking() || state.accepted;
            if allowed && state.is_due(liveness, &timing, now) {
                commands.push(state.next_command(self.next_number, now));
                self.next_number += 1;
            }
        }
        commands
    }

    /// Records the outcome of a command. Returns whether the holder accepted the keys for the first
    /// time.
    ///
    /// Every grant needs an outcome: keys are not taken from its receiver on account of the time
    /// before. The outcomes of an earlier granter of the same process count as well.
    ///
    /// `due_at` is the time at which [`Granter::commands`] returned the command. `sent_at` is a
    /// time by which it had certainly been sent or was given up, or `None` if it was not sent.
    pub fn record_outcome(
        &mut self,
        command: &Command,
        due_at: Instant,
        sent_at: Option<Instant>,
        outcome: &CommandOutcome,
    ) -> bool {
        let sent_at = match self.seeded_fault {
            SeededFault::ExpiryFromDue => sent_at.map(|_| due_at),
            _ => sent_at,
        };
        let transit = match self.seeded_fault {
            SeededFault::IgnoreTransit => Duration::ZERO,
            _ => self.timing.max_transit,
        };
        let arrived_at = sent_at.map(|at| at + transit);
        let mut accepted = false;
        for state in &mut self.states {
            if command.action == Action::Grant {
                state.record_arrival(command, arrived_at, self.seeded_fault);
            }
            let (first, freed) = state.record_outcome(command, due_at, outcome);
            accepted |= first;
            self.freed.extend(freed);
        }
        accepted
    }

    /// Returns the keys that were freed since the last call. The caller takes them after each call
    /// of [`Granter::commands`] and [`Granter::record_outcome`].
    pub fn take_freed(&mut self) -> Vec<Freed> {
        std::mem::take(&mut self.freed)
    }

    /// Returns whether a backend server has seen a higher fencing token than the plan's.
    #[must_use]
    pub fn has_stale_fence(&self) -> bool {
        self.states.iter().any(|state| state.stale_fence)
    }
}
