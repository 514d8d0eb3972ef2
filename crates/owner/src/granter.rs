//! Sends grants, and proves before each that nobody else can hold its keys.

use std::time::Duration;

use tarragon_model::time::Instant;

use crate::balance::{self, Candidate, Scene};
use crate::held::Held;
use crate::loads::Rates;
use crate::plan::{Former, Holder, Plan, Segment};

/// Times that the granter goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time that a grant holds, from its arrival.
    pub hold: Duration,
    /// Time between two renewals of a grant.
    pub renewal: Duration,
    /// Time after a grant is due within which it leaves its host, or never does.
    pub late: Duration,
    /// Time after which a grant without an answer is sent again.
    pub retry: Duration,
    /// Time after which a release without an answer is sent again; it waits for running work.
    pub release: Duration,
    /// Time after a grant's end for which it may still hold: clocks of backend servers run slow.
    pub margin: Duration,
    /// Time for which keys stay where they are after a transfer.
    pub rest: Duration,
}

impl Timing {
    /// Derives all times from how long a grant holds.
    #[must_use]
    pub fn with_hold(hold: Duration) -> Self {
        Self {
            hold,
            renewal: hold / 4,
            late: Duration::from_millis(900),
            retry: Duration::from_millis(300),
            release: Duration::from_millis(1_200),
            margin: hold / 25 + Duration::from_millis(200),
            rest: Duration::from_millis(1_500),
        }
    }
}

/// What the granter knows of the process that a holder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It may run.
    Possible,
    /// That process has ended, by proof.
    Ended,
}

/// Order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// What is ordered.
    pub task: Task,
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
pub enum Task {
    /// Hold the keys, or hold them longer.
    Grant,
    /// Give the keys back.
    Release,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was carried out; a release may hand something over.
    Done {
        /// What the former holder handed over.
        handover: Option<String>,
    },
    /// It did not leave this host.
    NotSent,
    /// The backend server has seen a higher fence number.
    Outdated,
    /// Whether it was, or will be, carried out is not known.
    Unknown,
}

/// Seeded faults, for tests that must be able to fail.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flaw {
    /// No fault.
    #[default]
    None,
    /// Grants keys on without waiting for the end of the former holder's grant.
    NoWait,
    /// Goes on renewing after it was told that another process grants.
    RenewAfterYield,
    /// Reckons a grant from when it was due and not from when it left.
    FromDue,
}

/// What stands between the former and the next holder of some keys.
#[derive(Clone, Debug)]
enum Stage {
    /// The former holder may hold them.
    Freeing(Former, Hold),
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
    fn end(&self, alone_since: Option<Instant>, timing: &Timing) -> Option<Instant> {
        let own = self.own.until(timing);
        if !self.inherited {
            return Some(own);
        }
        Some(own.max(alone_since? + timing.late + timing.hold + timing.margin))
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
    outdated: bool,
}

/// Grants the keys of one service.
#[derive(Debug)]
pub struct Granter {
    timing: Timing,
    plan: Plan,
    tenures: Vec<Tenure>,
    /// When every earlier granter had surely stopped, if that is known.
    alone_since: Option<Instant>,
    flaw: Flaw,
    yielded: bool,
}

/// What the granter needs to know to plan.
pub struct View<'a> {
    /// Servers that take keys.
    pub candidates: &'a [Candidate],
    /// Requests a second.
    pub rates: &'a Rates,
    /// Time of a request on a server of mean speed, in seconds.
    pub work_s: f64,
    /// Number that the next plan's sequence is not below.
    pub floor: u64,
}

impl Granter {
    /// Takes up a plan that the store holds.
    ///
    /// `alone` says that no earlier granter can still send orders.
    #[must_use]
    pub fn new(plan: Plan, alone: bool, timing: Timing, now: Instant) -> Self {
        let tenures = plan
            .segments
            .iter()
            .map(|segment| Tenure::inherit(segment, now))
            .collect();
        Self {
            timing,
            plan,
            tenures,
            alone_since: alone.then_some(now),
            flaw: Flaw::None,
            yielded: false,
        }
    }

    /// Seeds a fault.
    #[doc(hidden)]
    #[must_use]
    pub fn flawed(mut self, flaw: Flaw) -> Self {
        self.flaw = flaw;
        self
    }

    /// Returns the plan in force.
    #[must_use]
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Notes that every earlier granter has stopped.
    pub fn alone(&mut self, now: Instant) {
        self.alone_since.get_or_insert(now);
    }

    /// Notes that another process grants now; this one sends nothing more.
    pub fn yield_office(&mut self) {
        self.yielded = self.flaw != Flaw::RenewAfterYield;
    }

    /// Tells whether the holder of a segment has taken its grant.
    #[must_use]
    pub fn taken(&self, from: u16) -> bool {
        let tenure = self.tenures.iter().find(|t| t.segment.from == from);
        tenure.is_some_and(|tenure| tenure.taken)
    }

    /// Returns the next plan to write to the store, if the present one is to be changed.
    #[must_use]
    pub fn propose(
        &self,
        view: &View<'_>,
        life: &dyn Fn(&Holder) -> Life,
        now: Instant,
    ) -> Option<Plan> {
        let movable = |segment: &Segment| {
            let tenure = self.tenure(segment);
            tenure.is_some_and(|tenure| self.movable(tenure, view, life, now))
        };
        let former = |segment: &Segment| self.tenure(segment).map(Tenure::holder_to_free);
        let scene = Scene {
            candidates: view.candidates,
            rates: view.rates,
            work_s: view.work_s,
            floor: view.floor,
            movable: &movable,
            former: &former,
        };
        let settled = self.settled();
        let next = balance::next(&settled, &scene);
        if !self.is_outdated() {
            return next;
        }
        let next = next.unwrap_or_else(|| Plan {
            sequence: view.floor.max(settled.sequence + 1),
            ..settled
        });
        Some(self.refence(next))
    }

    /// Gives a new fence number to the keys whose holder has seen a higher one than the plan's.
    fn refence(&self, mut plan: Plan) -> Plan {
        let sequence = plan.sequence;
        for segment in &mut plan.segments {
            let outdated = self.tenure(segment).is_some_and(|tenure| tenure.outdated);
            if outdated && segment.fence != sequence {
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
                segment.former = None;
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
        view: &View<'_>,
        life: &dyn Fn(&Holder) -> Life,
        now: Instant,
    ) -> bool {
        let holder = &tenure.segment.holder;
        let stays = view.candidates.iter().any(|c| c.holder == *holder);
        if let Stage::Freeing(..) = &tenure.stage {
            // Nothing was granted to the next holder yet, unless another granter did.
            return !tenure.hold.inherited && !stays && life(holder) == Life::Ended;
        }
        if !stays {
            return true;
        }
        if tenure.outdated {
            return false;
        }
        tenure.taken && now.since(tenure.since) >= self.timing.rest
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
        let stage = match &segment.former {
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
            outdated: false,
        }
    }

    /// Returns the orders that are due.
    ///
    /// `life` tells what is known of a holder's process.
    pub fn orders(&mut self, life: &dyn Fn(&Holder) -> Life, now: Instant) -> Vec<Order> {
        if self.yielded {
            return Vec::new();
        }
        let timing = self.timing;
        let flaw = self.flaw;
        let alone_since = self.alone_since;
        let mut orders = Vec::new();
        for tenure in &mut self.tenures {
            tenure.advance(alone_since, &timing, flaw, now);
            if tenure.due(life, &timing, now) {
                orders.push(tenure.order(&timing, now));
            }
        }
        orders
    }

    /// Takes in how an order ended; returns whether the keys found their holder by it.
    ///
    /// `due` is when it was returned by [`Granter::orders`]; `left` is a moment by which it had
    /// surely left this host, unless it did not.
    pub fn ended(
        &mut self,
        order: &Order,
        due: Instant,
        left: Option<Instant>,
        reply: &Reply,
    ) -> bool {
        let index = self
            .tenures
            .partition_point(|tenure| tenure.segment.to < order.from);
        let left = match self.flaw {
            Flaw::FromDue => left.map(|_| due),
            _ => left,
        };
        // A part of an order's keys may have been planned anew since: each tenure decides itself.
        let mut found = false;
        for tenure in &mut self.tenures[index..] {
            if tenure.segment.from > order.to {
                break;
            }
            found |= tenure.ended(order, (due, left), reply, &self.timing);
        }
        found
    }

    /// Tells whether a backend server has seen a fence number that the plan does not know.
    #[must_use]
    pub fn is_outdated(&self) -> bool {
        self.tenures.iter().any(|tenure| tenure.outdated)
    }
}

impl Tenure {
    /// Takes up a segment of a plan that another granter may have acted on.
    fn inherit(segment: &Segment, now: Instant) -> Self {
        let hold = Hold {
            own: Held::default(),
            inherited: true,
        };
        let stage = match &segment.former {
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
            outdated: false,
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
    fn holder_to_free(&self) -> Former {
        match &self.stage {
            Stage::Freeing(former, _) => former.clone(),
            Stage::Free => Former {
                holder: self.segment.holder.clone(),
                fence: self.segment.fence,
            },
        }
    }

    /// Ends the wait for the former holder where it is over.
    ///
    /// A former holder that started anew may have taken a renewal that was meant for its former
    /// life, so only a higher fence number at the same server needs no wait.
    fn advance(&mut self, alone_since: Option<Instant>, timing: &Timing, flaw: Flaw, now: Instant) {
        let Stage::Freeing(former, hold) = &self.stage else {
            return;
        };
        let end = hold.end(alone_since, timing);
        let over = end.is_some_and(|end| now > end);
        let same = former.holder.id == self.segment.holder.id;
        if over || same || flaw == Flaw::NoWait {
            self.stage = Stage::Free;
            self.pending = None;
        }
    }

    /// Tells whether an order should be sent now.
    fn due(&self, life: &dyn Fn(&Holder) -> Life, timing: &Timing, now: Instant) -> bool {
        let retry = match &self.stage {
            Stage::Freeing(..) => timing.release,
            Stage::Free => timing.retry,
        };
        if self.pending.is_some_and(|at| now.since(at) < retry) || self.outdated {
            return false;
        }
        match &self.stage {
            // A grant that left after the release could be taken by a next life of the holder.
            Stage::Freeing(_, hold) => !hold.own.may_leave(now, timing),
            Stage::Free if life(&self.segment.holder) == Life::Ended => false,
            Stage::Free => self
                .renewed
                .is_none_or(|at| now.since(at) >= timing.renewal),
        }
    }

    fn order(&mut self, timing: &Timing, now: Instant) -> Order {
        self.pending = Some(now);
        let (task, server) = match &self.stage {
            Stage::Freeing(former, _) => (Task::Release, former.holder.clone()),
            Stage::Free => {
                self.hold.own.due(now, timing);
                (Task::Grant, self.segment.holder.clone())
            }
        };
        Order {
            task,
            server,
            from: self.segment.from,
            to: self.segment.to,
            fence: self.segment.fence,
            handover: self.handover.clone().filter(|_| !self.taken),
        }
    }

    fn ended(
        &mut self,
        order: &Order,
        (due, left): (Instant, Option<Instant>),
        reply: &Reply,
        timing: &Timing,
    ) -> bool {
        if order.task == Task::Grant {
            self.left(order, due, left, timing);
        }
        if order.fence != self.segment.fence {
            return false;
        }
        match (order.task, reply) {
            (Task::Release, Reply::Done { handover }) => {
                if let Stage::Freeing(former, _) = &self.stage
                    && former.holder == order.server
                {
                    self.stage = Stage::Free;
                    self.handover.clone_from(handover);
                    self.pending = None;
                }
                false
            }
            (Task::Grant, Reply::Done { .. }) => {
                let first = !self.taken;
                self.taken = true;
                self.pending = None;
                self.renewed = Some(self.renewed.map_or(due, |at| at.max(due)));
                first
            }
            (Task::Grant, Reply::Outdated) => {
                self.outdated = true;
                self.pending = None;
                false
            }
            (_, Reply::NotSent | Reply::Unknown) | (Task::Release, Reply::Outdated) => false,
        }
    }

    /// Notes when a grant to the holder, or to the former one, left this host.
    fn left(&mut self, order: &Order, due: Instant, left: Option<Instant>, timing: &Timing) {
        if order.fence == self.segment.fence {
            self.hold.own.left(due, left, timing);
        } else if let Stage::Freeing(former, hold) = &mut self.stage
            && former.fence == order.fence
        {
            hold.own.left(due, left, timing);
        }
    }
}
