//! Leaving the fleet without cutting anything.

use std::time::Duration;

use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::Now;
use crate::output::Output;

/// Time in which others take this process's duties over before it leaves all the same.
const PATIENCE: Duration = Duration::from_secs(15);
/// Time for the others to replace this process as a standby.
const STANDBY_PATIENCE: Duration = Duration::from_secs(6);

impl Node {
    /// Starts to leave.
    pub(super) fn drain(&mut self, now: Now, out: &mut Vec<Output>) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now.at);
        self.view_changed();
        out.push(Output::Event(Draft::new(Kind::HostDraining)));
        self.heartbeat(now, out);
    }

    /// Hands shards over as their standbys become ready for it.
    pub(super) fn go_on_leaving(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(since) = self.draining else {
            return;
        };
        if self.drained {
            return;
        }
        let waited = now.at.since(since);
        let acting: Vec<shard::Id> = self
            .slots
            .values()
            .filter(|slot| slot.is_acting(now.at))
            .map(|slot| slot.id.clone())
            .collect();
        for id in &acting {
            let ready = self
                .slots
                .get(id)
                .is_some_and(|slot| self.may_resign(now, slot));
            if ready || waited >= PATIENCE {
                self.resign(now, id, out);
            }
        }
        let stands = self.slots.values().any(|slot| {
            let record = slot.record.as_ref();
            record.is_some_and(|record| record.replica_set.contains(&self.settings.me))
        });
        let released = !stands || self.store_away || waited >= STANDBY_PATIENCE;
        let handed = acting.is_empty() || waited >= PATIENCE;
        if handed && released {
            self.drained = true;
            out.push(Output::Event(
                Draft::new(Kind::HostStopped).with(Name::Step, "handed-over"),
            ));
            out.push(Output::Drained);
        }
    }

    /// Takes in that the store does not answer, or answers again.
    pub(super) fn note_store(&mut self, away: bool, out: &mut Vec<Output>) {
        if self.store_away == away {
            return;
        }
        self.store_away = away;
        let kind = if away {
            Kind::StoreUnavailable
        } else {
            Kind::StoreAvailable
        };
        out.push(Output::Event(Draft::new(kind)));
    }
}
