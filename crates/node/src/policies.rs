//! Selection of the registered policies that a shard's leader uses.

use tarragon_policy::placement::Planner;
use tarragon_policy::{admission, choice, placement, scheduler};

/// Name that selects the baseline of every policy.
pub const BASELINE: &str = "baseline";
/// Baseline policy for the choice among backend servers.
const BASELINE_CHOICE: &str = "random";

/// Names of the selected policies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policies {
    /// Admission and queueing policy.
    pub admission: String,
    /// Policy that chooses a backend server where keys have no owner.
    pub choice: String,
    /// Policy that places keys on backend servers.
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
    /// Returns the defaults with the named policy in its place, or every baseline for [`BASELINE`];
    /// `None` if no policy of that name is registered.
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

    /// Applies the selected policies to a scheduler's settings.
    #[must_use]
    pub fn applied(&self, settings: scheduler::Settings) -> scheduler::Settings {
        scheduler::Settings {
            admission: self.admission.clone(),
            choice: self.choice.clone(),
            ..settings
        }
    }

    /// Creates the placement planner; `None` if its policy is not registered.
    #[must_use]
    pub fn planner(&self) -> Option<Box<dyn Planner>> {
        placement::create(&self.placement)
    }
}
