//! Load generator: callers in each region, skewed keys, varying demand and straggler requests.

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

/// Base rate of all callers together, in requests per second.
pub const BASE_RATE: f64 = 500.0;
/// Maximum number of reads and writes in flight.
const MAX_IN_FLIGHT: usize = 1_500;
/// Maximum number of downloads in flight.
const MAX_DOWNLOADS: usize = 16;
/// Share of writes among the requests.
const WRITE_SHARE: f64 = 0.2;
/// Share of downloads among the requests.
const DOWNLOAD_SHARE: f64 = 0.008;
/// Share of urgent requests, for which the caller is waiting, among the reads.
const URGENT_SHARE: f64 = 0.3;
/// Share of stragglers among the requests that are not urgent.
const STRAGGLER_SHARE: f64 = 0.02;
/// Factor by which the work of a straggler exceeds that of other requests.
const STRAGGLER_FACTOR: u64 = 50;
/// Processing time of a read or download at speed 1, in microseconds.
const READ_US: std::ops::Range<u64> = 2_000..20_000;
/// Processing time of a write at speed 1, in microseconds.
const WRITE_US: std::ops::Range<u64> = 10_000..60_000;
/// Response size of a read or write, in bytes.
const RESPONSE_BYTES: std::ops::Range<u64> = 64..4_096;
/// Response size of an ordinary download, in bytes.
const DOWNLOAD_BYTES: std::ops::Range<u64> = 1_000_000..6_000_000;
/// Share of large ones among the downloads.
const LARGE_SHARE: f64 = 0.03;
/// Response size of a large download, in bytes.
const LARGE_BYTES: std::ops::Range<u64> = 40_000_000..100_000_000;
/// Rotations of the hot keys during a run, unless [`ROTATION_MS`] limits them.
const ROTATIONS: u64 = 6;
/// Shortest and longest interval between rotations of the hot keys, in milliseconds.
const ROTATION_MS: std::ops::Range<u64> = 3_000..120_000;

/// Load generator of one run.
pub struct Generator {
    deployment: Arc<Deployment>,
    caller: Caller,
    demand: Demand,
    keys: Zipf,
    rate: f64,
    in_flight: Arc<Semaphore>,
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
        let rotation_ms = (seconds * 1_000 / ROTATIONS).clamp(ROTATION_MS.start, ROTATION_MS.end);
        Self {
            deployment,
            caller,
            demand: Demand::draw(seed, seconds),
            keys: Zipf::new(rotation_ms),
            rate,
            in_flight: Arc::new(Semaphore::new(MAX_IN_FLIGHT)),
            downloads: Arc::new(Semaphore::new(MAX_DOWNLOADS)),
        }
    }

    /// Starts requests with exponentially distributed gaps until cancelled, then waits for those in
    /// flight.
    pub async fn run(self, seed: u64, stop: CancellationToken) {
        let mut rng = StdRng::seed_from_u64(seed);
        let tracker = TaskTracker::new();
        let start = Instant::now();
        let mut next = start;
        while !stop.is_cancelled() {
            let at_ms = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let rate = self.rate * self.demand.factor(at_ms);
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            next += Duration::from_secs_f64(-uniform.ln() / rate.max(1.0));
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
            (Workload::Write, &self.in_flight)
        } else {
            (Workload::Read, &self.in_flight)
        };
        let Some(service) = self.deployment.service(workload) else {
            return;
        };
        let region = rng.random_range(0..self.deployment.regions.len());
        let region = self.deployment.regions[region].name;
        let (request, weight) = self.draw_request(rng, service, at_ms);
        let Ok(permit) = Arc::clone(limit).try_acquire_owned() else {
            stats::count(&self.caller.stats.skipped);
            return;
        };
        let caller = self.caller.clone();
        tracker.spawn(async move {
            caller.request(&request, region, weight).await;
            drop(permit);
        });
    }

    /// Draws a request to the service and its weight.
    fn draw_request(&self, rng: &mut StdRng, service: &Service, at_ms: u64) -> (Request, u32) {
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
            Workload::Read | Workload::Write => rng.random_range(RESPONSE_BYTES),
        };
        let segment = if urgent { URGENT_PREFIX } else { "plain" };
        let idempotent = service.workload != Workload::Write;
        let request = Request {
            idempotent,
            service: service.name.to_owned(),
            key: self.keys.draw(rng, at_ms),
            path_and_query: format!("{segment}?work_us={work_us}&bytes={bytes}"),
            bytes,
            deadline: Duration::from_millis(u64::from(service.deadline_ms)),
            idempotency_key: (!idempotent).then(|| Uuid::now_v7().to_string()),
        };
        (request, if urgent { URGENT_WEIGHT } else { PLAIN_WEIGHT })
    }
}
