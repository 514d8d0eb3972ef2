//! Periodic probes of a fixed set of keys, which measure how long a key is not served.

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

/// Interval between two probes of a key.
const INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of a probe.
const DEADLINE: Duration = Duration::from_secs(1);
/// Work of a probe for a backend server of nominal speed, in microseconds.
const WORK_US: u64 = 200;
/// Size of the response body of a probe, in bytes.
const BYTES: u64 = 32;
/// Default number of probed keys.
pub const DEFAULT_KEYS: usize = 96;

/// Probed key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Service that the key belongs to.
    pub service: String,
    /// Key as it stands in the request path.
    pub text: String,
    /// Region of the shard that the key belongs to.
    pub region: &'static str,
}

/// Selects about `count` keys of a service, the same number for each shard.
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

/// Periods in which a probed key was not served, for all keys.
#[derive(Clone, Debug, Default)]
pub struct Gaps {
    closed: Arc<Mutex<Vec<Gap>>>,
}

impl Gaps {
    /// Returns the closed gaps.
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

/// Probes each key until cancelled, which closes the gaps that are still open.
pub async fn run(caller: Caller, keys: Vec<Key>, gaps: Gaps, stop: CancellationToken) {
    let tracker = TaskTracker::new();
    for key in keys {
        tracker.spawn(probe_key(caller.clone(), key, gaps.clone(), stop.clone()));
    }
    tracker.close();
    tracker.wait().await;
}

/// Probes a key once and returns whether it was served.
pub async fn once(caller: &Caller, key: &Key) -> bool {
    let attempt = caller.attempt(&request(key), key.region, &[]).await;
    attempt.as_ref().is_some_and(attempt::is_served)
}

async fn probe_key(caller: Caller, key: Key, gaps: Gaps, stop: CancellationToken) {
    let request = request(&key);
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut open: Option<Gap> = None;
    let mut failed: SmallVec<[String; 4]> = SmallVec::new();
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let start_us = clock::now_us();
        let attempt = caller.attempt(&request, key.region, &failed).await;
        if let Some(attempt) = &attempt {
            caller.stats.record_attempt(attempt);
        }
        if attempt.as_ref().is_some_and(attempt::is_served) {
            failed.clear();
            close_gap(&mut open, &gaps);
        } else if attempt.as_ref().is_none_or(|attempt| !is_overload(attempt)) {
            avoid_host(&mut failed, attempt.as_ref());
            open.get_or_insert_with(|| open_gap(&key, start_us, attempt.as_ref()));
        }
    }
    close_gap(&mut open, &gaps);
}

/// Adds the host of a failed probe to those that the next probe avoids, as a retrying caller would.
///
/// The list starts anew when a host fails for the second time.
fn avoid_host(failed: &mut SmallVec<[String; 4]>, attempt: Option<&Attempt>) {
    let Some(attempt) = attempt else { return };
    if failed.contains(&attempt.host) {
        failed.clear();
    }
    failed.push(attempt.host.clone());
}

fn close_gap(open: &mut Option<Gap>, gaps: &Gaps) {
    if let Some(mut gap) = open.take() {
        gap.to_us = clock::now_us();
        gaps.push(gap);
    }
}

/// Returns whether the probe was refused because of load only, which does not count as a gap.
fn is_overload(attempt: &Attempt) -> bool {
    let reasons = [Reason::Overloaded, Reason::Shed, Reason::Preset];
    reasons
        .iter()
        .any(|reason| reason.as_str() == attempt.reason)
}

fn open_gap(key: &Key, from_us: u64, attempt: Option<&Attempt>) -> Gap {
    Gap {
        service: key.service.clone(),
        key: key.text.clone(),
        from_us,
        to_us: from_us,
        first: attempt.map_or_else(|| "no host is ready".to_owned(), Attempt::evidence),
        faults: Vec::new(),
        covered: true,
    }
}

/// Returns the request that probes a key.
#[must_use]
pub fn request(key: &Key) -> Request {
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
