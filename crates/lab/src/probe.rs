//! Probes of fixed keys, which measure for how long a key is not served.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::config::Config;
use tarragon_model::key::Hash;
use tarragon_model::outcome::Reason;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::clock;
use crate::deployment::{Deployment, Service, URGENT_PREFIX};
use crate::load::attempt::{self, Request};
use crate::load::caller::Caller;
use crate::trace::{Attempt, Gap};

/// Time between two probes of a key.
const PERIOD: Duration = Duration::from_millis(100);
/// Deadline of a probe.
const DEADLINE: Duration = Duration::from_secs(1);
/// Work of a probe at speed 1, in microseconds.
const WORK_US: u64 = 200;
/// Size of the answer to a probe, in bytes.
const BYTES: u64 = 32;
/// Keys that are probed.
pub const KEYS: usize = 96;

/// Key that is probed, and the region of its shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Service.
    pub service: String,
    /// Text of the key.
    pub text: String,
    /// Region of the shard that the key belongs to.
    pub region: &'static str,
}

/// Chooses keys of a service, as many of each shard.
#[must_use]
pub fn keys(deployment: &Deployment, config: &Config, service: &Service, count: usize) -> Vec<Key> {
    let Some(configured) = config.service(service.name) else {
        return Vec::new();
    };
    let shards = service.shards.len();
    let quota = count.div_ceil(shards.max(1));
    let mut taken = vec![0; shards];
    let mut keys = Vec::with_capacity(count);
    for text in (0_u32..).map(|number| format!("probe-{number}")) {
        if keys.len() >= quota * shards {
            break;
        }
        let group = Hash::of(&text).group(configured.groups);
        let shard = usize::from(configured.shard_of(group).index);
        if taken[shard] < quota {
            taken[shard] += 1;
            let region = deployment.regions[shard % deployment.regions.len()].name;
            keys.push(Key {
                service: service.name.to_owned(),
                text,
                region,
            });
        }
    }
    keys
}

/// Gaps of all keys.
#[derive(Clone, Debug, Default)]
pub struct Gaps {
    closed: Arc<Mutex<Vec<Gap>>>,
}

impl Gaps {
    /// Returns the gaps that have ended.
    #[must_use]
    pub fn list(&self) -> Vec<Gap> {
        self.closed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn push(&self, gap: Gap) {
        self.closed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(gap);
    }
}

/// Probes each key until cancelled; a gap that is open then ends there.
pub async fn run(caller: Caller, keys: Vec<Key>, gaps: Gaps, stop: CancellationToken) {
    let tracker = TaskTracker::new();
    for key in keys {
        tracker.spawn(watch(caller.clone(), key, gaps.clone(), stop.clone()));
    }
    tracker.close();
    tracker.wait().await;
}

/// Probes a key once and tells whether it was served.
pub async fn once(caller: &Caller, key: &Key) -> bool {
    let made = caller.attempt(&order(key), key.region, &[]).await;
    made.as_ref().is_some_and(attempt::is_served)
}

async fn watch(caller: Caller, key: Key, gaps: Gaps, stop: CancellationToken) {
    let order = order(&key);
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open: Option<Gap> = None;
    let mut failed: SmallVec<[String; 4]> = SmallVec::new();
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let start_us = clock::now_us();
        let made = caller.attempt(&order, key.region, &failed).await;
        if let Some(made) = &made {
            caller.stats.record_attempt(made);
        }
        if made.as_ref().is_some_and(attempt::is_served) {
            failed.clear();
            close(&mut open, &gaps);
        } else if made.as_ref().is_none_or(|made| !is_overload(made)) {
            note(&mut failed, made.as_ref());
            open.get_or_insert_with(|| gap(&key, start_us, made.as_ref()));
        }
    }
    close(&mut open, &gaps);
}

/// Remembers the hosts that failed, so that the next probe takes another one as a caller would.
fn note(failed: &mut SmallVec<[String; 4]>, made: Option<&Attempt>) {
    let Some(made) = made else { return };
    if failed.contains(&made.host) {
        failed.clear();
    }
    failed.push(made.host.clone());
}

fn close(open: &mut Option<Gap>, gaps: &Gaps) {
    if let Some(mut gap) = open.take() {
        gap.to_us = clock::now_us();
        gaps.push(gap);
    }
}

/// Tells whether the probe was refused because of load alone, which is no loss of service.
fn is_overload(made: &Attempt) -> bool {
    let reasons = [Reason::Overloaded, Reason::Shed, Reason::Preset];
    reasons.iter().any(|reason| reason.as_str() == made.reason)
}

fn gap(key: &Key, from_us: u64, made: Option<&Attempt>) -> Gap {
    Gap {
        service: key.service.clone(),
        key: key.text.clone(),
        from_us,
        to_us: from_us,
        first: made.map_or_else(|| "no host is ready".to_owned(), Attempt::evidence),
        faults: Vec::new(),
        covered: true,
    }
}

/// Returns the request that probes a key.
#[must_use]
pub fn order(key: &Key) -> Request {
    Request {
        idempotent: true,
        service: key.service.clone(),
        key: key.text.clone(),
        path_and_query: format!("{URGENT_PREFIX}?work_us={WORK_US}&bytes={BYTES}"),
        bytes: BYTES,
        deadline: DEADLINE,
        idempotency_key: None,
    }
}
