//! Counts of refusals, put into the time line once a second.
//!
//! Under overload a router refuses thousands of requests a second; one event for each would push
//! everything else out of the time line. So refusals of one kind, shard and reason become one event
//! a second with their count and one of their keys.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarragon_model::outcome::Reason;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use crate::shared::Shared;

/// Time over which refusals are summed up.
const SPAN: Duration = Duration::from_secs(1);

/// What refusals are counted by.
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

/// Refusals that are not in the time line yet.
#[derive(Debug, Default)]
pub struct Tally(Mutex<BTreeMap<Group, Sum>>);

impl Tally {
    /// Counts a request that was refused to its caller.
    pub fn refused(&self, reason: Reason) {
        self.add(Kind::RequestRefused, None, reason, None);
    }

    /// Counts a request that the leader of its shard refused, when the reason tells of its key.
    pub fn decided(&self, shard: &shard::Id, key: &str, reason: Reason) {
        let kind = match reason {
            Reason::OwnerLost => Kind::OwnerPending,
            Reason::Quarantined => Kind::Quarantined,
            _ => return,
        };
        self.add(kind, Some(shard), reason, Some(key));
    }

    /// Returns an event for each sum, and starts anew.
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

/// Puts the sums into the time line until the process stops.
pub async fn run(shared: Shared) {
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = tokio::time::sleep(SPAN) => {}
        }
        for draft in shared.tally.take() {
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
