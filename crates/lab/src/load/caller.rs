//! Runs one request of a caller: retries through different hosts until its outcome is known.

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

/// Maximum number of attempts for an idempotent request.
const READ_ATTEMPTS: u32 = 3;
/// Maximum number of attempts for a non-idempotent request.
const WRITE_ATTEMPTS: u32 = 6;
/// Delay before the first retry; it doubles with each retry and varies randomly by up to half.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Sender of requests; clones share the connections and statistics.
#[derive(Clone)]
pub struct Caller {
    /// HTTP client with the connections of the callers.
    pub client: Client,
    /// Load balancer that directs the attempts.
    pub balancer: Balancer,
    /// Statistics of all requests.
    pub stats: Arc<Stats>,
    /// Number of the next attempt, which is part of its identifier.
    pub next_attempt: Arc<AtomicU64>,
    /// Delay added before each attempt: the one-way network delay to a host.
    pub one_way_delay: Duration,
}

impl Caller {
    /// Makes one attempt at a random ready host, preferably in the region and not in `avoid`.
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
        let number = self.next_attempt.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(self.one_way_delay).await;
        let attempt = attempt::send(&self.client, &target, request, format!("r-{number}")).await;
        Some(attempt)
    }

    /// Makes attempts until the request is served, a retry cannot change the response, or no
    /// attempt or time is left.
    pub async fn request(&self, request: &Request, region: &str, weight: u32) {
        count(&self.stats.requests);
        self.stats
            .weight
            .fetch_add(u64::from(weight), Ordering::Relaxed);
        let start = Instant::now();
        let outcome = self.retry(request, region, start).await;
        match outcome {
            RequestOutcome::Served => self.record_served(request, start, weight),
            RequestOutcome::Unknown => count(&self.stats.unknown),
            RequestOutcome::NotRun => {}
        }
    }

    fn record_served(&self, request: &Request, start: Instant, weight: u32) {
        let latency = start.elapsed();
        if latency <= request.deadline || !request.idempotent {
            count(&self.stats.served);
            let served = &self.stats.served_weight;
            served.fetch_add(u64::from(weight), Ordering::Relaxed);
        }
        if request.bytes < MIN_DOWNLOAD_BYTES {
            self.stats
                .record_latency(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
    }

    async fn retry(&self, request: &Request, region: &str, start: Instant) -> RequestOutcome {
        let attempts = if request.idempotent {
            READ_ATTEMPTS
        } else {
            WRITE_ATTEMPTS
        };
        let mut outcome = RequestOutcome::NotRun;
        let mut backoff = INITIAL_BACKOFF;
        let mut tried: SmallVec<[String; 6]> = SmallVec::new();
        for _ in 0..attempts {
            if let Some(attempt) = self.attempt(request, region, &tried).await {
                self.stats.record_attempt(&attempt);
                tried.push(attempt.host.clone());
                outcome = outcome.after(&attempt);
                if outcome == RequestOutcome::Served || is_final(&attempt) {
                    return outcome;
                }
            }
            if request.idempotent && start.elapsed() + backoff > request.deadline {
                return outcome;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(backoff.mul_f64(jitter)).await;
            backoff *= 2;
        }
        outcome
    }
}

/// Response size in bytes from which a request counts as a download, whose latency is not recorded.
const MIN_DOWNLOAD_BYTES: u64 = 65_536;

/// Outcome of a request over all its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOutcome {
    Served,
    Unknown,
    NotRun,
}

impl RequestOutcome {
    /// Returns the outcome after one more attempt. A refusal does not resolve an earlier unknown
    /// outcome, since the earlier attempt may have run.
    fn after(self, attempt: &Attempt) -> Self {
        match attempt.ending {
            Ending::Answered(Outcome::Done) => Self::Served,
            Ending::Answered(Outcome::NotRun) | Ending::Unsent => self,
            _ => Self::Unknown,
        }
    }
}

/// Returns whether another attempt would get the same response.
fn is_final(attempt: &Attempt) -> bool {
    let reasons = [
        Reason::BadRequest,
        Reason::NoService,
        Reason::NoIdentifier,
        Reason::IdentifierMismatch,
        Reason::Quarantined,
        Reason::IdentifierExpired,
    ];
    reasons
        .iter()
        .any(|reason| reason.as_str() == attempt.reason)
}
