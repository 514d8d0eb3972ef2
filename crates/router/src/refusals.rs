//! Counts of refused requests, recorded in the timeline once per second.
//!
//! Under overload, a router refuses thousands of requests per second. One event for each would
//! evict all others from the timeline, so refusals of the same kind, shard and reason are recorded
//! as one event per second that carries their count and one of their keys.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarragon_model::outcome::Reason;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use crate::shared::Shared;

/// Interval at which the counts are recorded.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Refusals that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    kind: Kind,
    shard: Option<shard::Id>,
    reason: &'static str,
}

#[derive(Clone, Debug, Default)]
struct Sum {
    count: u64,
    key: Option<String>,
}

/// Refusals since the last recording, by group.
#[derive(Debug, Default)]
pub struct Counts(Mutex<BTreeMap<Group, Sum>>);

impl Counts {
    /// Counts a refusal that was sent to a caller.
    pub fn count_for_caller(&self, reason: Reason) {
        self.add(Kind::RequestRefused, None, reason, None);
    }

    /// Counts a refusal by the leader of a shard, if the reason concerns the key.
    pub fn count_by_leader(&self, shard: &shard::Id, key: &str, reason: Reason) {
        let kind = match reason {
            Reason::OwnerLost => Kind::OwnerPending,
            Reason::Quarantined => Kind::Quarantined,
            _ => return,
        };
        self.add(kind, Some(shard), reason, Some(key));
    }

    /// Returns one event per group and resets the counts.
    pub fn take(&self) -> Vec<Draft> {
        let sums = std::mem::take(&mut *self.lock());
        sums.into_iter()
            .map(|(group, sum)| draft(&group, &sum))
            .collect()
    }

    fn add(&self, kind: Kind, shard: Option<&shard::Id>, reason: Reason, key: Option<&str>) {
        let group = Group {
            kind,
            shard: shard.cloned(),
            reason: reason.as_str(),
        };
        let mut sums = self.lock();
        let sum = sums.entry(group).or_default();
        sum.count += 1;
        if sum.key.is_none() {
            sum.key = key.map(ToOwned::to_owned);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<Group, Sum>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records the counts in the timeline at a fixed interval until the process stops.
pub async fn run(shared: Shared) {
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
        }
        for draft in shared.refusals.take() {
            shared.record(draft);
        }
    }
}

fn draft(group: &Group, sum: &Sum) -> Draft {
    let mut draft = Draft::new(group.kind);
    if let Some(shard) = &group.shard {
        draft = draft.with(Name::Shard, shard);
    }
    draft = draft
        .with(Name::Reason, group.reason)
        .with(Name::Count, sum.count);
    match &sum.key {
        Some(key) => draft.with(Name::Key, key),
        None => draft,
    }
}
