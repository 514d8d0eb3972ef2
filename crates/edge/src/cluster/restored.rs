//! Cluster state from a store that came back from an older copy.

use tarragon_dispatch::catalog::Catalog;
use tarragon_dispatch::fleet::{Entry, Status};
use tarragon_store::object::Version;

use super::Cache;
use crate::state::State;

impl Cache {
    /// Notes the revision of a list of all entries. In a new era, entries that it lacks may be
    /// written again.
    pub(super) fn note_era(&self, state: &State, revision: Version) {
        let known = self.entries_revision.get();
        if known == Version::ABSENT || revision.era() <= known.era() {
            return;
        }
        log::warn!(
            "event=store-restored era={} before={} revision={revision} known={known}",
            revision.era(),
            known.era()
        );
        state.metrics.count_state_change("era");
        self.outages.borrow_mut().record_restore(state.now());
    }
}

/// Returns whether an entry that says ready may be older than the leave of its server.
///
/// The first entry that is read in a new era may be that of the copy. What the server writes
/// afterwards has a later revision of the same era and counts.
pub(super) fn hides_leave(state: &State, entry: &Entry, version: Version) -> bool {
    let fleet = state.fleet.borrow();
    let hidden = fleet.get(&entry.id).is_some_and(|known| {
        Version(known.revision).era() < version.era()
            && known.entry.start_ms == entry.start_ms
            && known.entry.addr == entry.addr
            && known.status != Status::Ready
    });
    if hidden && !entry.draining {
        log::info!("event=restored-entry-older id={} kept=leaving", entry.id);
    }
    hidden
}

/// Logs a catalog of the copy that is older than the one in force, which stays.
pub(super) fn log_older(state: &State, catalog: &Catalog, version: Version) {
    let known = state.catalog_revision();
    let in_force = state.catalog().version;
    if known > 0 && Version(known).era() < version.era() && catalog.version < in_force {
        log::warn!(
            "event=restored-catalog-older version={} revision={version} kept={in_force}",
            catalog.version
        );
    }
}
