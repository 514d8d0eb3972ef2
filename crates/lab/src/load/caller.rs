//! One request of a caller: attempts through different hosts until one tells its fate.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::RngExt;
use smallvec::SmallVec;
use tarragon_model::outcome::{Outcome, Reason};
use tokio::time::Instant;
use volo_http::client::Client;

use super::attempt::{self, Request};
use super::balancer::Balancer;
use super::stats::{Stats, count};
use crate::trace::{Attempt, Ending};

/// Attempts for one idempotent request.
const READ_ATTEMPTS: u32 = 3;
/// Attempts for one non-idempotent request.
const WRITE_ATTEMPTS: u32 = 6;
/// First pause between two attempts; it doubles.
const PAUSE: Duration = Duration::from_millis(50);

/// What all callers share.
#[derive(Clone)]
pub struct Caller {
    /// Client with the callers' connections.
    pub client: Client,
    /// Balancer of the platform.
    pub balancer: Balancer,
    /// Log.
    pub stats: Arc<Stats>,
    /// Number of the last attempt.
    pub next_attempt: Arc<AtomicU64>,
    /// Time on the way to a host.
    pub one_way_delay: Duration,
}

impl Caller {
    /// Makes one attempt at a random ready host near the region.
    ///
    /// Returns `None` when no host is ready.
    pub async fn attempt(
        &self,
        request: &Request,
        region: &str,
        avoid: &[String],
    ) -> Option<Attempt> {
        let target = self
            .balancer
            .choose(&mut rand::rng(), region, avoid)?
            .clone();
        let next_attempt = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.one_way_delay).await;
        let made = attempt::send(&self.client, &target, request, format!("r-{next_attempt}")).await;
        Some(made)
    }

    /// Makes attempts until the request is served, its fate is settled or no attempt is left.
    pub async fn request(&self, request: &Request, region: &str, weight: u32) {
        count(&self.stats.requests);
        self.stats
            .weight
            .fetch_add(u64::from(weight), Ordering::Relaxed);
        let start = Instant::now();
        let fate = self.persist(request, region, start).await;
        match fate {
            Fate::Served => self.served(request, start, weight),
            Fate::Unknown => count(&self.stats.unknown),
            Fate::NotRun => {}
        }
    }

    fn served(&self, request: &Request, start: Instant, weight: u32) {
        let taken = start.elapsed();
        if taken <= request.deadline || !request.idempotent {
            count(&self.stats.served);
            let served = &self.stats.served_weight;
            served.fetch_add(u64::from(weight), Ordering::Relaxed);
        }
        if request.bytes < SHORT_BYTES {
            self.stats
                .record_latency(u64::try_from(taken.as_micros()).unwrap_or(u64::MAX));
        }
    }

    async fn persist(&self, request: &Request, region: &str, start: Instant) -> Fate {
        let attempts = if request.idempotent {
            READ_ATTEMPTS
        } else {
            WRITE_ATTEMPTS
        };
        let mut fate = Fate::NotRun;
        let mut pause = PAUSE;
        let mut tried: SmallVec<[String; 6]> = SmallVec::new();
        for _ in 0..attempts {
            if let Some(made) = self.attempt(request, region, &tried).await {
                self.stats.record_attempt(&made);
                tried.push(made.host.clone());
                fate = fate.after(&made);
                if fate == Fate::Served || is_final(&made) {
                    return fate;
                }
            }
            if request.idempotent && start.elapsed() + pause > request.deadline {
                return fate;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(pause.mul_f64(jitter)).await;
            pause *= 2;
        }
        fate
    }
}

/// Size from which an answer counts as a download.
const SHORT_BYTES: u64 = 65_536;

/// Fate of a request over its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Served,
    Unknown,
    NotRun,
}

impl Fate {
    /// Returns the fate after one more attempt; a refusal does not settle an earlier doubt.
    fn after(self, made: &Attempt) -> Self {
        match made.ending {
            Ending::Answered(Outcome::Done) => Self::Served,
            Ending::Answered(Outcome::NotRun) | Ending::Unsent => self,
            _ => Self::Unknown,
        }
    }
}

/// Tells whether another attempt would be answered in the same way.
fn is_final(made: &Attempt) -> bool {
    let reasons = [
        Reason::BadRequest,
        Reason::NoService,
        Reason::NoIdentifier,
        Reason::IdentifierMismatch,
        Reason::Quarantined,
        Reason::IdentifierExpired,
    ];
    reasons.iter().any(|reason| reason.as_str() == made.reason)
}
