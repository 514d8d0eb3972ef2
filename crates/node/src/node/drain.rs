//! Draining: handing over all shards before the process stops.

use std::time::Duration;

use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::input::Now;
use crate::output::Output;

/// Time allowed for handing over the shards, after which the process stops regardless.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(15);
/// Time allowed for being replaced as a standby, after which the process no longer waits for it.
const STANDBY_REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(6);

impl Node {
    /// Starts to drain.
    pub(super) fn drain(&mut self, now: Now, out: &mut Vec<Output>) {
        if self.draining.is_some() {
            return;
        }
        self.draining = Some(now.at);
        self.mark_view_changed();
        out.push(Output::Event(Draft::new(Kind::HostDraining)));
        self.heartbeat(now, out);
    }

    /// Hands shards over as their standbys become ready, and reports when draining has finished.
    pub(super) fn continue_drain(&mut self, now: Now, out: &mut Vec<Output>) {
        let Some(since) = self.draining else {
            return;
        };
        if self.drained {
            return;
        }
        let waited = now.at.since(since);
        let acting: Vec<shard::Id> = self
            .shards
            .values()
            .filter(|local_shard| local_shard.is_acting(now.at))
            .map(|local_shard| local_shard.id.clone())
            .collect();
        for id in &acting {
            let ready = self
                .shards
                .get(id)
                .is_some_and(|local_shard| self.may_resign(now, local_shard));
            if ready || waited >= HANDOVER_TIMEOUT {
                self.resign(now, id, out);
            }
        }
        let in_replica_set = self.shards.values().any(|local_shard| {
            let record = local_shard.record.as_ref();
            record.is_some_and(|record| record.replica_set.contains(&self.settings.me))
        });
        let released =
            !in_replica_set || self.store_unavailable || waited >= STANDBY_REPLACEMENT_TIMEOUT;
        let handed_over = acting.is_empty() || waited >= HANDOVER_TIMEOUT;
        if handed_over && released {
            self.drained = true;
            out.push(Output::Event(
                Draft::new(Kind::HostStopped).with(Name::Step, "handed-over"),
            ));
            out.push(Output::Drained);
        }
    }

    /// Records whether the store responds.
    pub(super) fn set_store_unavailable(&mut self, unavailable: bool, out: &mut Vec<Output>) {
        if self.store_unavailable == unavailable {
            return;
        }
        self.store_unavailable = unavailable;
        let kind = if unavailable {
            Kind::StoreUnavailable
        } else {
            Kind::StoreAvailable
        };
        out.push(Output::Event(Draft::new(kind)));
    }
}
