//! Load: callers in each region, skewed keys, swinging demand and stragglers.

pub mod attempt;
pub mod balancer;
pub mod body;
pub mod caller;
pub mod demand;
pub mod key;
pub mod stats;

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use uuid::Uuid;

use crate::deployment::{
    Deployment, PLAIN_WEIGHT, Service, URGENT_PREFIX, URGENT_WEIGHT, Workload,
};
use attempt::Request;
use caller::Caller;
use demand::Demand;
use key::Zipf;

/// Ordinary rate of all callers together, in requests per second.
pub const BASE_RATE: f64 = 500.0;
/// Requests open at once, at most.
const OPEN_MAX: usize = 1_500;
/// Downloads open at once, at most.
const DOWNLOADS_MAX: usize = 16;
/// Share of the requests that write.
const WRITE_SHARE: f64 = 0.2;
/// Share of the requests that download.
const DOWNLOAD_SHARE: f64 = 0.008;
/// Share of the reads that callers wait for at once.
const URGENT_SHARE: f64 = 0.3;
/// Share of the work that takes much longer.
const STRAGGLER_SHARE: f64 = 0.02;
/// Factor by which a straggler takes longer.
const STRAGGLER_FACTOR: u64 = 50;
/// Work of a read or download at speed 1, in microseconds.
const READ_US: std::ops::Range<u64> = 2_000..20_000;
/// Work of a write at speed 1, in microseconds.
const WRITE_US: std::ops::Range<u64> = 10_000..60_000;
/// Size of a short answer, in bytes.
const SHORT_BYTES: std::ops::Range<u64> = 64..4_096;
/// Size of an ordinary download, in bytes.
const DOWNLOAD_BYTES: std::ops::Range<u64> = 1_000_000..6_000_000;
/// Share of the downloads that are large.
const LARGE_SHARE: f64 = 0.03;
/// Size of a large download, in bytes.
const LARGE_BYTES: std::ops::Range<u64> = 40_000_000..100_000_000;
/// Changes of the hot keys during a run.
const HOT_CHANGES: u64 = 6;
/// Shortest and longest time for which hot keys stay, in milliseconds.
const HOT_MS: std::ops::Range<u64> = 3_000..120_000;

/// Generator of one run's load.
pub struct Generator {
    deployment: Arc<Deployment>,
    caller: Caller,
    demand: Demand,
    keys: Zipf,
    rate: f64,
    open: Arc<Semaphore>,
    downloads: Arc<Semaphore>,
}

impl Generator {
    /// Creates the generator of a run of `seconds` at `rate` requests per second.
    #[must_use]
    pub fn new(
        deployment: Arc<Deployment>,
        caller: Caller,
        rate: f64,
        seed: u64,
        seconds: u64,
    ) -> Self {
        let stay_ms = (seconds * 1_000 / HOT_CHANGES).clamp(HOT_MS.start, HOT_MS.end);
        Self {
            deployment,
            caller,
            demand: Demand::draw(seed, seconds),
            keys: Zipf::new(stay_ms),
            rate,
            open: Arc::new(Semaphore::new(OPEN_MAX)),
            downloads: Arc::new(Semaphore::new(DOWNLOADS_MAX)),
        }
    }

    /// Makes requests at random times until cancelled, then waits for those that are open.
    pub async fn run(self, seed: u64, stop: CancellationToken) {
        let mut rng = StdRng::seed_from_u64(seed);
        let tracker = TaskTracker::new();
        let start = Instant::now();
        let mut next = start;
        while !stop.is_cancelled() {
            let at_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let rate = self.rate * self.demand.factor(at_ms);
            let share: f64 = rng.random_range(f64::EPSILON..1.0);
            next += Duration::from_secs_f64(-share.ln() / rate.max(1.0));
            tokio::time::sleep_until(next).await;
            self.start(&mut rng, at_ms, &tracker);
        }
        tracker.close();
        tracker.wait().await;
    }

    fn start(&self, rng: &mut StdRng, at_ms: u64, tracker: &TaskTracker) {
        let share = rng.random_range(0.0..1.0);
        let (workload, limit) = if share < DOWNLOAD_SHARE {
            (Workload::Download, &self.downloads)
        } else if share < DOWNLOAD_SHARE + WRITE_SHARE {
            (Workload::Write, &self.open)
        } else {
            (Workload::Read, &self.open)
        };
        let Some(service) = self.deployment.service(workload) else {
            return;
        };
        let region = rng.random_range(0..self.deployment.regions.len());
        let region = self.deployment.regions[region].name;
        let (order, weight) = self.order(rng, service, at_ms);
        let Ok(permit) = Arc::clone(limit).try_acquire_owned() else {
            stats::count(&self.caller.stats.skipped);
            return;
        };
        let caller = self.caller.clone();
        tracker.spawn(async move {
            caller.request(&order, region, weight).await;
            drop(permit);
        });
    }

    fn order(&self, rng: &mut StdRng, service: &Service, at_ms: u64) -> (Request, u32) {
        let urgent = service.workload == Workload::Read && rng.random_bool(URGENT_SHARE);
        let straggler = !urgent && rng.random_bool(STRAGGLER_SHARE);
        let factor = if straggler { STRAGGLER_FACTOR } else { 1 };
        let work_us = match service.workload {
            Workload::Write => rng.random_range(WRITE_US) * factor,
            Workload::Read | Workload::Download => rng.random_range(READ_US) * factor,
        };
        let bytes = match service.workload {
            Workload::Download if rng.random_bool(LARGE_SHARE) => rng.random_range(LARGE_BYTES),
            Workload::Download => rng.random_range(DOWNLOAD_BYTES),
            Workload::Read | Workload::Write => rng.random_range(SHORT_BYTES),
        };
        let segment = if urgent { URGENT_PREFIX } else { "plain" };
        let idempotent = service.workload != Workload::Write;
        let order = Request {
            idempotent,
            service: service.name.to_owned(),
            key: self.keys.draw(rng, at_ms),
            path_and_query: format!("{segment}?work_us={work_us}&bytes={bytes}"),
            bytes,
            deadline: Duration::from_millis(u64::from(service.deadline_ms)),
            idempotency_key: (!idempotent).then(|| Uuid::now_v7().to_string()),
        };
        (order, if urgent { URGENT_WEIGHT } else { PLAIN_WEIGHT })
    }
}
