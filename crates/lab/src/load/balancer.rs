//! The platform's balancer: sends callers to hosts that said lately that they are ready.

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

/// Time between two looks at a host.
const PERIOD: Duration = Duration::from_millis(250);
/// Longest time for one look.
const LIMIT: Duration = Duration::from_millis(250);
/// Time for which a host's readiness counts, in microseconds.
const FRESH_US: u64 = 1_000_000;

/// Host as callers see it.
#[derive(Debug)]
pub struct Target {
    /// Name of the host.
    pub id: String,
    /// Region of the host.
    pub region: String,
    /// Address of the callers' port.
    pub caller_addr: SocketAddr,
    /// Address of the operators' port.
    pub admin_addr: SocketAddr,
    ready_us: AtomicU64,
}

impl Target {
    /// Creates a host that has not said yet that it is ready.
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
        ready_us > 0 && clock::now_us().saturating_sub(ready_us) < FRESH_US
    }
}

/// Balancer over all hosts.
#[derive(Clone, Debug)]
pub struct Balancer {
    targets: Arc<[Arc<Target>]>,
}

impl Balancer {
    /// Creates a balancer over these hosts.
    #[must_use]
    pub fn new(targets: Vec<Target>) -> Self {
        Self {
            targets: targets.into_iter().map(Arc::new).collect(),
        }
    }

    /// Looks at each host until cancelled.
    pub fn watch(&self, client: &Client, stop: &CancellationToken) {
        for target in self.targets.iter() {
            let (target, client) = (Arc::clone(target), client.clone());
            tokio::spawn(stop.clone().run_until_cancelled_owned(look(target, client)));
        }
    }

    /// Chooses a ready host: one that is not to be avoided and in the region, if there is one.
    pub fn choose(
        &self,
        rng: &mut impl Rng,
        region: &str,
        avoid: &[String],
    ) -> Option<&Arc<Target>> {
        let ready = || self.targets.iter().filter(|target| target.is_ready());
        let near = || ready().filter(|target| target.region == region);
        let fresh = |target: &&Arc<Target>| !avoid.contains(&target.id);
        let best = near().filter(fresh).choose(rng);
        let best = best.or_else(|| near().choose(rng));
        best.or_else(|| ready().choose(rng))
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

async fn look(target: Arc<Target>, client: Client) {
    let mut ticks = tokio::time::interval(PERIOD);
    loop {
        ticks.tick().await;
        let sent_us = clock::now_us();
        let addr = target.admin_addr;
        let answer = client
            .call(Method::GET, addr, "/readyz", Bytes::new(), LIMIT)
            .await;
        match answer {
            Ok(answer) if answer.status == 200 => target.ready_us.store(sent_us, Ordering::Relaxed),
            Ok(_) => target.ready_us.store(0, Ordering::Relaxed),
            Err(_) => {}
        }
    }
}
