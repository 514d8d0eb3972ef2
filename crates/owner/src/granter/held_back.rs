//! Grants that are held back, since the store may have forgotten plans and granters.
//!
//! After the store came back from an older copy, servers may hold keys under plans that nobody
//! knows. Their grants expire; until then, only what this granter knows to be held is renewed.

use tarragon_model::time::Instant;

use super::Granter;
use crate::plan::{Plan, Segment};

impl Granter {
    /// Holds back all grants but renewals until every grant of a granter that the store has
    /// forgotten has expired.
    ///
    /// `sole` tells whether no earlier granter can still send commands. If not, the time counts from
    /// [`Granter::confirm_sole`].
    pub fn hold_back(&mut self, sole: bool, now: Instant) {
        self.held_back = true;
        self.sole_since = sole.then_some(now);
    }

    /// Returns whether all grants but renewals are held back.
    #[must_use]
    pub fn is_held_back(&self, now: Instant) -> bool {
        let passed =
            |since: Instant| now > since + self.timing.max_exchange() + self.timing.max_hold();
        self.held_back && !self.sole_since.is_some_and(passed)
    }
}

impl Plan {
    /// Returns the plan with the same holders and new fencing tokens, all of them `sequence`.
    ///
    /// It is for a plan whose latest changes may be lost: previous holders are not known.
    ///
    /// ```
    /// use tarragon_owner::plan::{Holder, Plan};
    ///
    /// let holder = Holder { id: "a".to_owned(), start_ms: 1 };
    /// let plan = Plan::assign(&[(holder.clone(), 1.0)], 7).renewed(20);
    /// assert_eq!(plan.sequence, 20);
    /// assert_eq!((&plan.segments[0].holder, plan.segments[0].fence), (&holder, 20));
    /// ```
    #[must_use]
    pub fn renewed(&self, sequence: u64) -> Self {
        let segments = self.segments.iter().map(|segment| Segment {
            fence: sequence,
            previous: None,
            ..segment.clone()
        });
        Self {
            sequence,
            segments: segments.collect(),
        }
    }
}
