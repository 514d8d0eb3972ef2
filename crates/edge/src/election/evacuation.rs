//! Zones under evacuation in the heartbeats of the granter.

use std::time::Duration;

use tarragon_dispatch::evacuation::Set;

use super::{Participant, Role};

impl Participant {
    /// Applies the set in a heartbeat; one of the followed granter replaces this host's own calls.
    ///
    /// The store's revision tells which set is later, whoever sends it.
    pub(super) fn on_evacuations(&self, link: u64, age_ms: u64, set: Option<&Set>) {
        let Some(set) = set else {
            return;
        };
        self.cluster.apply_evacuations(&self.state, set);
        if matches!(&self.role, Role::Following(followed) if followed.link == link) {
            let age = Duration::from_millis(age_ms);
            self.cluster
                .confirm_relayed_evacuations(age, self.state.now());
        }
    }
}
