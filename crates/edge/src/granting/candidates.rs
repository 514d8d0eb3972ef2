//! Backend servers that may get keys.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::balance::Candidate;
use tarragon_owner::plan::Holder;

use super::Grants;

/// Exponent of a server's slowness in its capacity. Above 1, a slow server gets less than its share,
/// since its requests are nearer to their objective before they wait for others.
const SLOWNESS_EXPONENT: f64 = 1.5;
/// Fraction of its slots that a backend server counts with just after its start.
const COLD_CAPACITY_RATIO: f64 = 0.5;
/// Time for which a backend server counts as just started.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Time of failed commands after which a backend server gets no keys.
const UNREACHABLE_TIME: Duration = Duration::from_millis(1_200);

impl Grants {
    /// Returns the backend servers that may get keys.
    pub(super) fn candidates(&self, name: &str, now: Instant) -> Vec<Candidate> {
        let fleet = self.state.fleet.borrow();
        let servers = fleet.iter().filter(|server| {
            server.entry.service == name
                && fleet.accepts_keys(server)
                && !self.is_unreachable(&server.entry.id, now)
        });
        let speeds = self.services.get(name).map(|service| &service.speeds);
        let homes = self.state.catalog().homes(name);
        let revision = self.state.catalog_revision();
        let servers =
            self.homes_unmet
                .servers_at_home(&fleet, (name, &homes, revision), servers.collect());
        let servers = fleet.warm_or_all(servers.into_iter(), now);
        let candidates = servers.into_iter().map(|server| {
            let slowness = speeds.map_or(1.0, |speeds| speeds.slowness(&server.entry.id));
            let cold = server.known_for(now) < COLD_TIME && !server.entry.warmup.is_zero();
            let ratio = if cold { COLD_CAPACITY_RATIO } else { 1.0 };
            let slots = f64::from(server.entry.slots) * ratio;
            Candidate {
                holder: Holder {
                    id: server.entry.id.clone(),
                    start_ms: server.entry.start_ms,
                },
                capacity: slots / slowness.powf(SLOWNESS_EXPONENT),
                throughput: slots / slowness,
            }
        });
        candidates.collect()
    }

    fn is_unreachable(&self, id: &str, now: Instant) -> bool {
        self.failures.get(id).is_some_and(|(first, last)| {
            last.since(*first) >= UNREACHABLE_TIME && now.since(*last) < UNREACHABLE_TIME * 4
        })
    }
}
