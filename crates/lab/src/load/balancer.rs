//! Load balancer of the platform: directs callers to hosts that recently reported ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::clock;

/// Interval between readiness checks of a host.
const CHECK_PERIOD: Duration = Duration::from_millis(250);
/// Timeout of one readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Age up to which a readiness report counts, in microseconds.
const READY_TTL_US: u64 = 1_000_000;

/// Host that callers can be directed to.
#[derive(Debug)]
pub struct Target {
    /// Identifier of the host.
    pub id: String,
    /// Region of the host.
    pub region: String,
    /// Address for the requests of callers.
    pub caller_addr: SocketAddr,
    /// Address of the admin endpoint, which serves `/readyz`.
    pub admin_addr: SocketAddr,
    /// Start of the latest check that found the host ready, in microseconds; 0 if not ready.
    ready_us: AtomicU64,
}

impl Target {
    /// Creates a target that counts as not ready until a check finds it ready.
    #[must_use]
    pub fn new(id: &str, region: &str, caller_addr: SocketAddr, admin_addr: SocketAddr) -> Self {
        Self {
            id: id.to_owned(),
            region: region.to_owned(),
            caller_addr,
            admin_addr,
            ready_us: AtomicU64::new(0),
        }
    }

    fn is_ready(&self) -> bool {
        let ready_us = self.ready_us.load(Ordering::Relaxed);
        ready_us > 0 && clock::now_us().saturating_sub(ready_us) < READY_TTL_US
    }
}

/// Load balancer over all hosts.
#[derive(Clone, Debug)]
pub struct Balancer {
    targets: Arc<[Arc<Target>]>,
}

impl Balancer {
    /// Creates a balancer over the given hosts.
    #[must_use]
    pub fn new(targets: Vec<Target>) -> Self {
        Self {
            targets: targets.into_iter().map(Arc::new).collect(),
        }
    }

    /// Checks the readiness of each host periodically until cancelled.
    pub fn watch(&self, client: &Client, stop: &CancellationToken) {
        for target in self.targets.iter() {
            let (target, client) = (Arc::clone(target), client.clone());
            tokio::spawn(
                stop.clone()
                    .run_until_cancelled_owned(poll_readiness(target, client)),
            );
        }
    }

    /// Chooses a random ready host: preferably one in the region and not in `avoid`, then any in
    /// the region, then any.
    pub fn choose(
        &self,
        rng: &mut impl Rng,
        region: &str,
        avoid: &[String],
    ) -> Option<&Arc<Target>> {
        let ready = || self.targets.iter().filter(|target| target.is_ready());
        let in_region = || ready().filter(|target| target.region == region);
        let not_avoided = |target: &&Arc<Target>| !avoid.contains(&target.id);
        let chosen = in_region().filter(not_avoided).choose(rng);
        let chosen = chosen.or_else(|| in_region().choose(rng));
        chosen.or_else(|| ready().choose(rng))
    }

    /// Returns the number of ready hosts.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.targets
            .iter()
            .filter(|target| target.is_ready())
            .count()
    }
}

async fn poll_readiness(target: Arc<Target>, client: Client) {
    let mut ticks = tokio::time::interval(CHECK_PERIOD);
    loop {
        ticks.tick().await;
        let sent_us = clock::now_us();
        let addr = target.admin_addr;
        let response = client
            .call(Method::GET, addr, "/readyz", Bytes::new(), CHECK_TIMEOUT)
            .await;
        match response {
            Ok(found) if found.status == 200 => target.ready_us.store(sent_us, Ordering::Relaxed),
            Ok(_) => target.ready_us.store(0, Ordering::Relaxed),
            Err(_) => {}
        }
    }
}
