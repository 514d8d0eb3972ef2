//! Sends grants, and proves before each that nobody else can hold its keys.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::balance::{self, Candidate, Inputs};
use crate::held::Held;
use crate::loads::Rates;
use crate::plan::{Holder, Plan, PreviousHolder, Segment};

/// Times that the granter goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time that a grant holds, from its arrival.
    pub grant_duration: Duration,
    /// Time between two renewals of a grant.
    pub renewal_interval: Duration,
    /// Time after a grant is due within which it leaves its host, or never does.
    pub max_send_delay: Duration,
    /// Time after which a grant without an answer is sent again.
    pub grant_retry: Duration,
    /// Time after which a release without an answer is sent again; it waits for running work.
    pub release_retry: Duration,
    /// Time after a grant's end for which it may still hold: clocks of backend servers run slow.
    pub clock_margin: Duration,
    /// Time for which keys stay where they are after a transfer.
    pub move_cooldown: Duration,
}

impl Timing {
    /// Derives all times from how long a grant holds.
    #[must_use]
    pub fn with_grant_duration(grant_duration: Duration) -> Self {
        Self {
            grant_duration,
            renewal_interval: grant_duration / 4,
            max_send_delay: Duration::from_millis(900),
            grant_retry: Duration::from_millis(300),
            release_retry: Duration::from_millis(1_200),
            clock_margin: grant_duration / 25 + Duration::from_millis(200),
            move_cooldown: Duration::from_millis(1_500),
        }
    }
}

/// What the granter knows of the process that a holder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It may run.
    MaybeAlive,
    /// That process has ended, by proof.
    Dead,
}

/// Order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// What is ordered.
    pub action: Action,
    /// Backend server that gets the order.
    pub server: Holder,
    /// First key.
    pub from: u16,
    /// Last key.
    pub to: u16,
    /// Fence number.
    pub fence: u64,
    /// What the former holder handed over, for the first grant after a transfer.
    pub handover: Option<String>,
}

/// What an order is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Hold the keys, or hold them longer.
    Grant,
    /// Give the keys back.
    Release,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// It was carried out; a release may hand something over.
    Done {
        /// What the former holder handed over.
        handover: Option<String>,
    },
    /// It did not leave this host.
    NotSent,
    /// The backend server has seen a higher fence number.
    StaleFence,
    /// Whether it was, or will be, carried out is not known.
    Unknown,
}

/// Seeded faults, for tests that must be able to fail.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SeededFault {
    /// No fault.
    #[default]
    None,
    /// Grants keys on without waiting for the end of the former holder's grant.
    SkipWait,
    /// Goes on renewing after it was told that another process grants.
    RenewAfterStepDown,
    /// Reckons a grant from when it was due and not from when it left.
    ExpiryFromDue,
}

/// What stands between the former and the next holder of some keys.
#[derive(Clone, Debug)]
enum Stage {
    /// The former holder may hold them.
    Freeing(PreviousHolder, Hold),
    /// The holder may be granted them.
    Free,
}

/// What is known of until when a holder may hold keys.
#[derive(Clone, Debug)]
struct Hold {
    /// By orders of this granter.
    own: Held,
    /// Whether a granter before this one may have sent grants under the same fence number.
    inherited: bool,
}

impl Hold {
    /// What holds before anything was ordered.
    fn none() -> Self {
        Self {
            own: Held::default(),
            inherited: false,
        }
    }

    /// Returns when the keys are surely not held; `None` while nobody can say so.
    fn end(&self, sole_since: Option<Instant>, timing: &Timing) -> Option<Instant> {
        let own = self.own.until(timing);
        if !self.inherited {
            return Some(own);
        }
        Some(
            own.max(
                sole_since? + timing.max_send_delay + timing.grant_duration + timing.clock_margin,
            ),
        )
    }
}

/// One segment of the plan in force, and what was ordered for it.
#[derive(Clone, Debug)]
struct Tenure {
    segment: Segment,
    stage: Stage,
    handover: Option<String>,
    /// Until when the holder may hold the keys.
    hold: Hold,
    /// Whether the holder has taken a grant under this fence number.
    taken: bool,
    pending: Option<Instant>,
    renewed: Option<Instant>,
    since: Instant,
    stale_fence: bool,
}

/// Grants the keys of one service.
#[derive(Debug)]
pub struct Granter {
    timing: Timing,
    plan: Plan,
    tenures: Vec<Tenure>,
    /// When every earlier granter had surely stopped, if that is known.
    sole_since: Option<Instant>,
    seeded_fault: SeededFault,
    stepped_down: bool,
}

/// What the granter needs to know to plan.
pub struct PlanInputs<'a> {
    /// Servers that take keys.
    pub candidates: &'a [Candidate],
    /// Requests a second.
    pub rates: &'a Rates,
    /// Time of a request on a server of mean speed, in seconds.
    pub request_time_s: f64,
    /// Number that the next plan's sequence is not below.
    pub min_sequence: u64,
}

impl Granter {
    /// Takes up a plan that the store holds.
    ///
    /// `alone` says that no earlier granter can still send orders.
    #[must_use]
    pub fn new(plan: Plan, sole: bool, timing: Timing, now: Instant) -> Self {
        let tenures = plan
            .segments
            .iter()
            .map(|segment| Tenure::inherit(segment, now))
            .collect();
        Self {
            timing,
            plan,
            tenures,
            sole_since: sole.then_some(now),
            seeded_fault: SeededFault::None,
            stepped_down: false,
        }
    }

    /// Seeds a fault.
    #[doc(hidden)]
    #[must_use]
    pub fn with_seeded_fault(mut self, seeded_fault: SeededFault) -> Self {
        self.seeded_fault = seeded_fault;
        self
    }

    /// Returns the plan in force.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Notes that every earlier granter has stopped.
    pub fn confirm_sole(&mut self, now: Instant) {
        self.sole_since.get_or_insert(now);
    }

    /// Notes that another process grants now; this one sends nothing more.
    pub fn step_down(&mut self) {
        self.stepped_down = self.seeded_fault != SeededFault::RenewAfterStepDown;
    }

    /// Tells whether the holder of a segment has taken its grant.
    #[must_use]
    pub fn is_accepted(&self, from: u16) -> bool {
        let tenure = self.tenures.iter().find(|t| t.segment.from == from);
        tenure.is_some_and(|tenure| tenure.taken)
    }

    /// Returns the next plan to write to the store, if the present one is to be changed.
    #[must_use]
    pub fn propose(
        &self,
        inputs: &PlanInputs<'_>,
        liveness: &dyn Fn(&Holder) -> Liveness,
        now: Instant,
    ) -> Option<Plan> {
        let movable = |segment: &Segment| {
            let tenure = self.tenure(segment);
            tenure.is_some_and(|tenure| self.movable(tenure, inputs, liveness, now))
        };
        let previous = |segment: &Segment| self.tenure(segment).map(Tenure::holder_to_free);
        let balance_inputs = Inputs {
            candidates: inputs.candidates,
            rates: inputs.rates,
            request_time_s: inputs.request_time_s,
            min_sequence: inputs.min_sequence,
            movable: &movable,
            previous: &previous,
        };
        let settled = self.settled();
        let next = balance::next_plan(&settled, &balance_inputs);
        if !self.has_stale_fence() {
            return next;
        }
        let next = next.unwrap_or_else(|| Plan {
            sequence: inputs.min_sequence.max(settled.sequence + 1),
            ..settled
        });
        Some(self.refence(next))
    }

    /// Gives a new fence number to the keys whose holder has seen a higher one than the plan's.
    fn refence(&self, mut plan: Plan) -> Plan {
        let sequence = plan.sequence;
        for segment in &mut plan.segments {
            let stale_fence = self
                .tenure(segment)
                .is_some_and(|tenure| tenure.stale_fence);
            if stale_fence && segment.fence != sequence {
                segment.fence = sequence;
            }
        }
        plan
    }

    /// Returns the plan in force without the former holders that are freed for good.
    fn settled(&self) -> Plan {
        let mut plan = self.plan.clone();
        for (segment, tenure) in plan.segments.iter_mut().zip(&self.tenures) {
            if tenure.taken {
                segment.previous = None;
            }
        }
        plan
    }

    /// Tells whether the keys of a tenure may get another holder.
    ///
    /// Keys that still are to be freed of one holder are not promised to a third.
    fn movable(
        &self,
        tenure: &Tenure,
        inputs: &PlanInputs<'_>,
        liveness: &dyn Fn(&Holder) -> Liveness,
        now: Instant,
    ) -> bool {
        let holder = &tenure.segment.holder;
        let stays = inputs.candidates.iter().any(|c| c.holder == *holder);
        if let Stage::Freeing(..) = &tenure.stage {
            // Nothing was granted to the next holder yet, unless another granter did.
            return !tenure.hold.inherited && !stays && liveness(holder) == Liveness::Dead;
        }
        if !stays {
            return true;
        }
        if tenure.stale_fence {
            return false;
        }
        tenure.taken && now.since(tenure.since) >= self.timing.move_cooldown
    }

    fn tenure(&self, segment: &Segment) -> Option<&Tenure> {
        let index = self
            .tenures
            .partition_point(|tenure| tenure.segment.to < segment.from);
        self.tenures.get(index)
    }

    /// Puts a plan into force that the store has taken.
    pub fn adopt(&mut self, plan: Plan, now: Instant) {
        let former = std::mem::take(&mut self.tenures);
        self.tenures = plan
            .segments
            .iter()
            .map(|segment| Self::succeed(&former, segment, now))
            .collect();
        self.plan = plan;
    }

    /// Makes the tenure of a segment out of the one that had its keys before.
    fn succeed(former: &[Tenure], segment: &Segment, now: Instant) -> Tenure {
        let index = former.partition_point(|tenure| tenure.segment.to < segment.from);
        let Some(before) = former.get(index) else {
            return Tenure::inherit(segment, now);
        };
        if before.segment.fence == segment.fence {
            return Tenure {
                segment: segment.clone(),
                ..before.clone()
            };
        }
        let stage = match &segment.previous {
            None => Stage::Free,
            Some(former) => Stage::Freeing(former.clone(), before.hold_to_end()),
        };
        let hold = if before.segment.holder.id == segment.holder.id {
            // A new fence number alone does not end what the old one may hold.
            before.hold_to_end()
        } else {
            Hold::none()
        };
        Tenure {
            segment: segment.clone(),
            stage,
            handover: None,
            hold,
            taken: false,
            pending: None,
            renewed: None,
            since: now,
            stale_fence: false,
        }
    }

    /// Returns the orders that are due.
    ///
    /// `life` tells what is known of a holder's process.
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
        let mut commands = Vec::new();
        for tenure in &mut self.tenures {
            tenure.advance(sole_since, &timing, seeded_fault, now);
            if tenure.due(liveness, &timing, now) {
                commands.push(tenure.command(&timing, now));
            }
        }
        commands
    }

    /// Takes in how an order ended; returns whether the keys found their holder by it.
    ///
    /// `due` is when it was returned by [`Granter::commands`]; `left` is a moment by which it had
    /// surely left this host, unless it did not.
    pub fn record_outcome(
        &mut self,
        command: &Command,
        due: Instant,
        left: Option<Instant>,
        outcome: &CommandOutcome,
    ) -> bool {
        let index = self
            .tenures
            .partition_point(|tenure| tenure.segment.to < command.from);
        let left = match self.seeded_fault {
            SeededFault::ExpiryFromDue => left.map(|_| due),
            _ => left,
        };
        // A part of an order's keys may have been planned anew since: each tenure decides itself.
        let mut found = false;
        for tenure in &mut self.tenures[index..] {
            if tenure.segment.from > command.to {
                break;
            }
            found |= tenure.ended(command, (due, left), outcome, &self.timing);
        }
        found
    }

    /// Tells whether a backend server has seen a fence number that the plan does not know.
    #[must_use]
    pub fn has_stale_fence(&self) -> bool {
        self.tenures.iter().any(|tenure| tenure.stale_fence)
    }
}

impl Tenure {
    /// Takes up a segment of a plan that another granter may have acted on.
    fn inherit(segment: &Segment, now: Instant) -> Self {
        let hold = Hold {
            own: Held::default(),
            inherited: true,
        };
        let stage = match &segment.previous {
            None => Stage::Free,
            Some(former) => Stage::Freeing(former.clone(), hold.clone()),
        };
        Self {
            segment: segment.clone(),
            stage,
            handover: None,
            hold,
            taken: false,
            pending: None,
            renewed: None,
            since: now,
            stale_fence: false,
        }
    }

    /// Returns until when anyone may hold the keys.
    fn hold_to_end(&self) -> Hold {
        match &self.stage {
            Stage::Freeing(_, hold) => hold.clone(),
            Stage::Free => self.hold.clone(),
        }
    }

    /// Returns who must be freed of the keys before yet another server gets them.
    fn holder_to_free(&self) -> PreviousHolder {
        match &self.stage {
            Stage::Freeing(former, _) => former.clone(),
            Stage::Free => PreviousHolder {
                holder: self.segment.holder.clone(),
                fence: self.segment.fence,
            },
        }
    }

    /// Ends the wait for the former holder where it is over.
    ///
    /// A former holder that started anew may have taken a renewal that was meant for its former
    /// life, so only a higher fence number at the same server needs no wait.
    fn advance(
        &mut self,
        sole_since: Option<Instant>,
        timing: &Timing,
        seeded_fault: SeededFault,
        now: Instant,
    ) {
        let Stage::Freeing(former, hold) = &self.stage else {
            return;
        };
        let end = hold.end(sole_since, timing);
        let over = end.is_some_and(|end| now > end);
        let same = former.holder.id == self.segment.holder.id;
        if over || same || seeded_fault == SeededFault::SkipWait {
            self.stage = Stage::Free;
            self.pending = None;
        }
    }

    /// Tells whether an order should be sent now.
    fn due(&self, liveness: &dyn Fn(&Holder) -> Liveness, timing: &Timing, now: Instant) -> bool {
        let retry = match &self.stage {
            Stage::Freeing(..) => timing.release_retry,
            Stage::Free => timing.grant_retry,
        };
        if self.pending.is_some_and(|at| now.since(at) < retry) || self.stale_fence {
            return false;
        }
        match &self.stage {
            // A grant that left after the release could be taken by a next life of the holder.
            Stage::Freeing(_, hold) => !hold.own.may_leave(now, timing),
            Stage::Free if liveness(&self.segment.holder) == Liveness::Dead => false,
            Stage::Free => self
                .renewed
                .is_none_or(|at| now.since(at) >= timing.renewal_interval),
        }
    }

    fn command(&mut self, timing: &Timing, now: Instant) -> Command {
        self.pending = Some(now);
        let (action, server) = match &self.stage {
            Stage::Freeing(former, _) => (Action::Release, former.holder.clone()),
            Stage::Free => {
                self.hold.own.due(now, timing);
                (Action::Grant, self.segment.holder.clone())
            }
        };
        Command {
            action,
            server,
            from: self.segment.from,
            to: self.segment.to,
            fence: self.segment.fence,
            handover: self.handover.clone().filter(|_| !self.taken),
        }
    }

    fn ended(
        &mut self,
        command: &Command,
        (due, left): (Instant, Option<Instant>),
        outcome: &CommandOutcome,
        timing: &Timing,
    ) -> bool {
        if command.action == Action::Grant {
            self.left(command, due, left, timing);
        }
        if command.fence != self.segment.fence {
            return false;
        }
        match (command.action, outcome) {
            (Action::Release, CommandOutcome::Done { handover }) => {
                if let Stage::Freeing(former, _) = &self.stage
                    && former.holder == command.server
                {
                    self.stage = Stage::Free;
                    self.handover.clone_from(handover);
                    self.pending = None;
                }
                false
            }
            (Action::Grant, CommandOutcome::Done { .. }) => {
                let first = !self.taken;
                self.taken = true;
                self.pending = None;
                self.renewed = Some(self.renewed.map_or(due, |at| at.max(due)));
                first
            }
            (Action::Grant, CommandOutcome::StaleFence) => {
                self.stale_fence = true;
                self.pending = None;
                false
            }
            (_, CommandOutcome::NotSent | CommandOutcome::Unknown)
            | (Action::Release, CommandOutcome::StaleFence) => false,
        }
    }

    /// Notes when a grant to the holder, or to the former one, left this host.
    fn left(&mut self, command: &Command, due: Instant, left: Option<Instant>, timing: &Timing) {
        if command.fence == self.segment.fence {
            self.hold.own.left(due, left, timing);
        } else if let Stage::Freeing(former, hold) = &mut self.stage
            && former.fence == command.fence
        {
            hold.own.left(due, left, timing);
        }
    }
}
