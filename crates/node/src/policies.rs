//! Which registered policies a shard's leader uses.

use tarragon_policy::placement::Planner;
use tarragon_policy::{admission, choice, placement, scheduler};

/// Name that stands for the baseline of every decision.
pub const BASELINE: &str = "baseline";
/// Choice among backend servers that serves as baseline.
const BASELINE_CHOICE: &str = "random";

/// Names of the policies in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policies {
    /// Admission and queueing.
    pub admission: String,
    /// Choice of a backend server where keys have no owner.
    pub choice: String,
    /// Placement of keys.
    pub placement: String,
}

impl Default for Policies {
    fn default() -> Self {
        Self {
            admission: admission::DEFAULT.to_owned(),
            choice: choice::DEFAULT.to_owned(),
            placement: placement::DEFAULT.to_owned(),
        }
    }
}

impl Policies {
    /// Returns the policies in use with the named one in its place, or all baselines; `None` when
    /// nothing of that name is registered.
    ///
    /// ```
    /// use tarragon_node::policies::Policies;
    ///
    /// assert_eq!(Policies::named("fifo").unwrap().admission, "fifo");
    /// assert!(Policies::named("nothing").is_none());
    /// ```
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        let mut policies = Self::default();
        if name == BASELINE {
            admission::BASELINE.clone_into(&mut policies.admission);
            BASELINE_CHOICE.clone_into(&mut policies.choice);
            placement::BASELINE.clone_into(&mut policies.placement);
        } else if admission::names().any(|known| known == name) {
            name.clone_into(&mut policies.admission);
        } else if choice::names().any(|known| known == name) {
            name.clone_into(&mut policies.choice);
        } else if placement::names().any(|known| known == name) {
            name.clone_into(&mut policies.placement);
        } else {
            return None;
        }
        Some(policies)
    }

    /// Puts the names into a scheduler's settings.
    #[must_use]
    pub fn applied(&self, settings: scheduler::Settings) -> scheduler::Settings {
        scheduler::Settings {
            admission: self.admission.clone(),
            choice: self.choice.clone(),
            ..settings
        }
    }

    /// Creates the planner.
    #[must_use]
    pub fn planner(&self) -> Option<Box<dyn Planner>> {
        placement::create(&self.placement)
    }
}
