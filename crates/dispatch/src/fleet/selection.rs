//! Choice of a backend server for a request without a key.
//!
//! A host that sends each server many requests knows the servers' queues and compares all of them.
//! A host that seldom sends to a server does not: the server that looks least loaded to it looks so
//! to the other hosts as well, and would receive the requests of all of them. Such a host samples a
//! few servers in proportion to their capacity and compares only these.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use crate::admission::Pressure;

use super::estimate::{AttemptClass, Baseline, Distance, Load};
use super::{
    CONNECT_PENALTY, Criteria, EXPLORE_PART, Fleet, MISSING_PENALTY, NOISE_SPREAD, Pick,
    RETRIED_PENALTY, Refusal, Server, server_random,
};

/// Number of servers of a sample. Samples of 4 met the objective less often under load; larger ones
/// approach the comparison of all servers.
const SAMPLE_SIZE: usize = 8;
/// Number of servers in other regions that are sampled in addition while the region is short of
/// room.
const FAR_SAMPLE_SIZE: usize = 2;
/// Factor of the weight of servers in the own zone.
const ZONE_WEIGHT: f64 = 2.0;
/// Power of a sampled server's slowness in its cost. With 1, the fastest server of each sample would
/// receive more than its capacity; with 0, slow servers receive requests while fast ones are idle.
const SLOWNESS_POWER: f64 = 0.3;
/// Requests per slot of the best server in the region from which on servers in other regions are
/// sampled: a new request would wait for about the time of another one.
const SHORT_LOAD: f64 = 2.0;
/// Rate at which a host has to send requests to each server to know its queue, per second. The load
/// reports are then 0.8 s old on average, which is twice their half-life.
const KNOWN_QUEUE_RATE: f64 = 1.25;
/// Time over which the rate of requests is averaged, in seconds.
const RATE_TIME_S: f64 = 3.0;
/// Weight of the newest report in the mean load of a service's servers.
const MEAN_GAIN: f64 = 0.15;
/// Cost factor of a server that refused a request a short time ago.
const AVOIDED_PENALTY: f64 = 4.0;
/// Shortest and longest time after which room is expected, in milliseconds.
const WAIT_BOUNDS_MS: (f64, f64) = (100.0, 2_000.0);
/// Fraction of the load at which servers refuse requests from which on a server looks full.
const FULL_PART: f64 = 0.8;

/// Requests of this host to the servers of one service, and the load that these report.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traffic {
    rate: f64,
    rated_at: Instant,
    /// Mean load per slot of the servers in this region and in the other ones.
    means: [f64; 2],
    /// Load per slot at which servers refused requests, if one reported it.
    refusal_load: Option<f64>,
    /// Counts since the last report to the granter.
    counts: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    attempts: u32,
    refused: u32,
    waiting: u32,
    slots: u32,
}

impl Traffic {
    /// Records the end of a request at a server with `slots` slots.
    pub(super) fn record(
        &mut self,
        distance: Distance,
        load: Option<Load>,
        class: AttemptClass,
        slots: u32,
        now: Instant,
    ) {
        let refused = matches!(class, AttemptClass::Shed | AttemptClass::Reset);
        // Of the others, some were never sent.
        let answered = !matches!(class, AttemptClass::Abandoned | AttemptClass::Unreachable);
        self.counts.attempts += u32::from(answered);
        self.counts.refused += u32::from(refused);
        self.rate = self.rate(now) + RATE_TIME_S.recip();
        self.rated_at = now;
        let Some(load) = load else {
            return;
        };
        self.counts.waiting = self.counts.waiting.saturating_add(load.waiting);
        self.counts.slots = self.counts.slots.saturating_add(slots);
        let per_slot = f64::from(load.running + load.waiting) / f64::from(slots.max(1));
        let mean = &mut self.means[usize::from(distance == Distance::Far)];
        *mean += MEAN_GAIN * (per_slot - *mean);
        if refused {
            let known = self.refusal_load.get_or_insert(per_slot);
            *known += MEAN_GAIN * (per_slot - *known);
        }
    }

    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.since(self.rated_at).as_secs_f64();
        self.rate * (-elapsed / RATE_TIME_S).exp()
    }

    fn mean(&self, distance: Distance) -> f64 {
        self.means[usize::from(distance == Distance::Far)]
    }
}

/// Server with the data that its choice depends on.
#[derive(Clone, Copy)]
struct Candidate<'a> {
    server: &'a Server,
    distance: Distance,
    untried: bool,
    avoided: bool,
}

/// Servers drawn so far: those with the smallest draws of an exponential distribution whose rate is
/// the weight, so that each is drawn in proportion to its weight.
struct Sample<'a> {
    drawn: SmallVec<[(f64, Candidate<'a>); SAMPLE_SIZE]>,
    size: usize,
}

impl<'a> Sample<'a> {
    fn new(size: usize) -> Self {
        Self {
            drawn: SmallVec::new(),
            size,
        }
    }

    fn offer(&mut self, candidate: Candidate<'a>, weight: f64, random: f64) {
        let draw = -(1.0 - random).max(f64::MIN_POSITIVE).ln() / weight;
        if self.drawn.len() == self.size {
            if self.drawn.last().is_some_and(|(last, _)| *last <= draw) {
                return;
            }
            self.drawn.pop();
        }
        let position = self.drawn.partition_point(|(other, _)| *other < draw);
        self.drawn.insert(position, (draw, candidate));
    }
}

/// Choice and what is compared of it.
#[derive(Clone, Copy)]
struct Choice<'a> {
    cost: f64,
    expected_ms: f64,
    /// Requests per slot that the server is expected to have.
    load: f64,
    candidate: Candidate<'a>,
}

impl Fleet {
    /// Chooses the backend server with the lowest expected cost, of all or of a sample.
    ///
    /// The cost is the expected response time plus a penalty for distance, which grows with the
    /// size of the response. `has_idle_connection` tells whether an open connection to a server is
    /// idle. A sample is compared where this host sends the servers of the service so few requests
    /// that it does not know their queues.
    ///
    /// # Errors
    ///
    /// Returns why no server was chosen; the request was not sent then.
    pub fn pick(
        &self,
        criteria: &Criteria<'_>,
        has_idle_connection: &dyn Fn(&str) -> bool,
        now: Instant,
    ) -> Result<Pick, Refusal> {
        let baseline = self.baselines.get(criteria.service);
        let comparison = Comparison {
            criteria,
            has_idle_connection,
            baseline: baseline.copied().unwrap_or_default(),
            traffic: self
                .traffic
                .get(criteria.service)
                .copied()
                .unwrap_or_default(),
            now,
        };
        let eligible = self.servers.values().filter(|server| {
            server.entry.service == criteria.service
                && self.is_eligible(server, criteria, now)
                && self.admits(server, now)
        });
        let candidates: SmallVec<[Candidate<'_>; 32]> = eligible
            .map(|server| Candidate {
                server,
                distance: self.distance(&server.entry.zone),
                untried: !criteria.tried.contains(&server.entry.id),
                avoided: server.estimate.is_avoided(now),
            })
            .collect();
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let is_known = candidates.len() <= SAMPLE_SIZE
            || comparison.traffic.rate(now) >= KNOWN_QUEUE_RATE * f64::from(count);
        let chosen = if is_known {
            if let Some(unknown) = comparison.unexplored(&candidates) {
                return Ok(unknown.pick());
            }
            comparison.cheapest(&candidates)
        } else {
            comparison
                .sampled(&candidates)
                .or_else(|| comparison.cheapest(&candidates))
        };
        let Some(choice) = chosen else {
            return Err(self.refusal(criteria, now));
        };
        comparison.check(&choice)?;
        Ok(choice.candidate.server.pick())
    }

    /// Returns what the servers of each service reported since the last call.
    pub fn take_pressure(&mut self) -> Vec<Pressure> {
        let services = self.traffic.iter_mut().filter_map(|(service, traffic)| {
            let counts = std::mem::take(&mut traffic.counts);
            (counts.attempts > 0).then(|| Pressure {
                service: service.clone(),
                attempts: counts.attempts,
                refused: counts.refused,
                waiting: counts.waiting,
                slots: counts.slots,
            })
        });
        services.collect()
    }
}

/// Comparison of the servers for one request.
struct Comparison<'a> {
    criteria: &'a Criteria<'a>,
    has_idle_connection: &'a dyn Fn(&str) -> bool,
    baseline: Baseline,
    traffic: Traffic,
    now: Instant,
}

impl<'a> Comparison<'a> {
    /// Returns a server of this region that was never tried, for a part of the requests.
    fn unexplored(&self, candidates: &[Candidate<'a>]) -> Option<&'a Server> {
        if self.criteria.random >= EXPLORE_PART {
            return None;
        }
        let mut near = candidates
            .iter()
            .filter(|candidate| candidate.untried && candidate.distance != Distance::Far);
        near.find(|candidate| candidate.server.estimate.is_untried())
            .map(|candidate| candidate.server)
    }

    /// Returns the cheapest of all servers by what this host knows.
    fn cheapest(&self, candidates: &[Candidate<'a>]) -> Option<Choice<'a>> {
        let choices = candidates.iter().map(|candidate| {
            let server = candidate.server;
            let estimate = &server.estimate;
            let slots = server.entry.slots;
            let expected_ms = estimate.expected_ms(&self.baseline, slots, self.now);
            let load = estimate.load(self.now) / f64::from(slots.max(1));
            let cost = self.cost(candidate, expected_ms);
            Choice {
                cost,
                expected_ms,
                load,
                candidate: *candidate,
            }
        });
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the cheapest of a sample, or `None` if all servers are avoided.
    ///
    /// Servers in other regions are sampled only if those of this region look full: bytes to other
    /// regions are expensive.
    fn sampled(&self, candidates: &[Candidate<'a>]) -> Option<Choice<'a>> {
        let mut near = Sample::new(SAMPLE_SIZE);
        let mut far = Sample::new(FAR_SAMPLE_SIZE);
        for (index, candidate) in candidates.iter().enumerate() {
            let server = candidate.server;
            let usable = candidate.untried && !candidate.avoided;
            if !usable || server.missing_since.is_some() {
                continue;
            }
            let capacity = f64::from(server.entry.slots) / server.estimate.slowness(self.now);
            let random = spread(self.criteria.random, index);
            match candidate.distance {
                Distance::Zone => near.offer(*candidate, capacity * ZONE_WEIGHT, random),
                Distance::Region => near.offer(*candidate, capacity, random),
                Distance::Far => far.offer(*candidate, capacity, random),
            }
        }
        let best = |sample: &Sample<'a>| {
            let choices = sample.drawn.iter().map(|(_, one)| self.sampled_choice(one));
            choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
        };
        let near = best(&near);
        let short = self
            .refusal_limit()
            .map_or(SHORT_LOAD, |limit| limit.min(SHORT_LOAD));
        if near.is_some_and(|choice| choice.load < short) {
            return near;
        }
        let choices = near.into_iter().chain(best(&far));
        choices.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns the cost of a sampled server.
    ///
    /// What this host does not know of the server's load is taken from the mean of the service. The
    /// usual speed of the server counts less than in the expected response time, since the sample
    /// takes it into account.
    fn sampled_choice(&self, candidate: &Candidate<'a>) -> Choice<'a> {
        let server = candidate.server;
        let slots = server.entry.slots;
        let mean = self.traffic.mean(candidate.distance);
        let load = server.estimate.likely_load(mean, slots, self.now);
        let ms = server
            .estimate
            .expected_ms_at(load, &self.baseline, slots, self.now);
        let slowness = server.estimate.slowness(self.now);
        let cost = self.cost(candidate, ms * slowness.powf(SLOWNESS_POWER - 1.0));
        Choice {
            cost,
            expected_ms: ms,
            load: load / f64::from(slots.max(1)),
            candidate: *candidate,
        }
    }

    fn cost(&self, candidate: &Candidate<'a>, expected_ms: f64) -> f64 {
        let criteria = self.criteria;
        let server = candidate.server;
        let factor = |applies, penalty| if applies { penalty } else { 1.0 };
        let retried = factor(!candidate.untried, RETRIED_PENALTY);
        let missing = factor(server.missing_since.is_some(), MISSING_PENALTY);
        let avoided = factor(candidate.avoided, AVOIDED_PENALTY);
        let noise = 1.0 + NOISE_SPREAD * server_random(criteria.random, &server.entry.id);
        let has_connection = (self.has_idle_connection)(&server.entry.id);
        let connect = factor(!has_connection, CONNECT_PENALTY);
        let distance_ms = self.baseline.distance_ms(
            candidate.distance,
            criteria.large_response,
            criteria.request_bytes,
        );
        (expected_ms * connect + distance_ms) * retried * missing * avoided * noise
    }

    /// Returns the load per slot from which on a server may refuse a request, if one did.
    fn refusal_limit(&self) -> Option<f64> {
        let refused_at = self.traffic.refusal_load?;
        Some(refused_at * FULL_PART)
    }

    /// Refuses a request that would be late at the best server.
    fn check(&self, choice: &Choice<'_>) -> Result<(), Refusal> {
        let allowed = self.criteria.allowed_ms();
        let is_full = choice.load >= 1.0;
        if choice.expected_ms > allowed && is_full {
            let wait = spread_wait(choice.expected_ms - allowed, self.criteria.random);
            return Err(Refusal::Overloaded(wait));
        }
        Ok(())
    }
}

/// Returns the time after which to retry where room is expected after `ms`.
///
/// It is spread over half as long again: callers that return together would find servers full again.
pub(super) fn spread_wait(ms: f64, random: f64) -> Duration {
    let ms = ms.clamp(WAIT_BOUNDS_MS.0, WAIT_BOUNDS_MS.1);
    let part = 1.0 + 0.5 * spread(random, usize::MAX);
    Duration::from_secs_f64(ms * part / 1_000.0)
}

/// Derives a number between 0 and 1 for the server at `index` from one random number.
fn spread(random: f64, index: usize) -> f64 {
    let index = u64::try_from(index).unwrap_or_default();
    let mut mixed = random.to_bits() ^ index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    f64::from(u32::try_from(mixed >> 32).unwrap_or_default()) / f64::from(u32::MAX)
}
