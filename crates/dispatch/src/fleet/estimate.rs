//! Estimate of one backend server's performance, from the requests of this host.

use std::time::Duration;

use tarragon_model::time::Instant;

/// Load that a backend server reports with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Time that work takes on the server's machine at present, in percent of the usual.
    pub pace: Option<u32>,
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Time since it was sent.
    pub elapsed: Duration,
    /// Load reported with the response.
    pub load: Option<Load>,
    /// Size of the response body, in bytes.
    pub bytes: usize,
    /// What it says about the server.
    pub class: AttemptClass,
}

/// What the end of a request says about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptClass {
    /// The server processed the request.
    Served,
    /// The server refused the request without running it.
    Shed,
    /// The server failed the request, or its response was malformed.
    Failed,
    /// The connection ended before the response, which a full server may cause.
    Reset,
    /// The server could not be reached.
    Unreachable,
    /// The server accepted the connection and closed it before the request was written; a full one
    /// does so.
    Closed,
    /// The caller disconnected, or the request timed out.
    Abandoned,
}

/// Mean behavior of a service's backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Baseline {
    /// Processing time of a request on an idle server of mean speed, in milliseconds.
    pub request_ms: f64,
    /// Size of a response, in bytes.
    pub bytes: f64,
    /// Number of samples, up to [`BASELINE_SAMPLES`].
    samples: f64,
}

impl Default for Baseline {
    fn default() -> Self {
        Self {
            request_ms: 50.0,
            bytes: 1_000.0,
            samples: 0.0,
        }
    }
}

/// Distance between this host and a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// Same failure domain.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Round-trip time to another region, in milliseconds.
const FAR_ROUND_TRIP_MS: f64 = 24.0;
/// Round-trip time to another failure domain of the region, in milliseconds.
const REGION_ROUND_TRIP_MS: f64 = 2.0;
/// Penalty for each kilobyte transferred from another region, in milliseconds.
const FAR_MS_PER_KB: f64 = 12.0;
/// Penalty for each kilobyte transferred from another failure domain of the region, in
/// milliseconds.
const REGION_MS_PER_KB: f64 = 1.5;
/// Minimum size assumed for a large response, in bytes.
const LARGE_BYTES: f64 = 50_000.0;
/// Maximum penalty for transferred bytes, in milliseconds.
const MAX_TRANSFER_PENALTY_MS: f64 = 1_000.0;

impl Baseline {
    /// Returns the cost of the distance to a server, in milliseconds.
    ///
    /// The bytes of the request and those expected of its response count alike.
    pub(super) fn distance_ms(&self, distance: Distance, large: bool, request: usize) -> f64 {
        let bytes = if large {
            self.bytes.max(LARGE_BYTES)
        } else {
            self.bytes
        };
        let request = f64::from(u32::try_from(request).unwrap_or(u32::MAX));
        let kilobytes = (bytes + request) / 1_000.0;
        match distance {
            Distance::Zone => 0.0,
            Distance::Region => {
                REGION_ROUND_TRIP_MS
                    + (kilobytes * REGION_MS_PER_KB).min(MAX_TRANSFER_PENALTY_MS / 8.0)
            }
            Distance::Far => {
                FAR_ROUND_TRIP_MS + (kilobytes * FAR_MS_PER_KB).min(MAX_TRANSFER_PENALTY_MS)
            }
        }
    }
}

/// Weight of the newest sample in a server's averages.
const SERVER_GAIN: f64 = 0.1;
/// Number of samples that a service's averages cover.
const BASELINE_SAMPLES: f64 = 100.0;
/// Number of samples that the assumed processing time counts as. The first measured requests may
/// have waited.
const ASSUMED_SAMPLES: f64 = 9.0;
/// Weight of the newest sample in the failure rate.
const FAILURE_GAIN: f64 = 0.15;
/// Lower and upper bound of a server's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.25, 20.0);
/// Age at which a load report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Relative slowdown of a server with all slots in use, compared to an idle one.
const UTILIZATION_PENALTY: f64 = 0.35;
/// Relative slowdown assumed for a server that fails every request.
const FAILURE_PENALTY: f64 = 8.0;
/// Slowdown factor of a server that is still warming up.
const WARMUP_PENALTY: f64 = 2.0;
/// Pause after the first failure to reach a server; it doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Time for which a server that refused a request as full, or reset its connection, is avoided. A
/// queue of a few requests per slot shortens noticeably in this time.
const AVOIDANCE_TIME: Duration = Duration::from_millis(400);
/// Age up to which a reported pace counts: a machine's pace changes several times a second.
const PACE_TTL: Duration = Duration::from_millis(300);
/// Lower and upper bound of a pace, as a factor of the usual time.
const PACE_BOUNDS: (f64, f64) = (0.2, 10.0);
/// Maximum pause.
const MAX_PAUSE: Duration = Duration::from_millis(1_600);

/// What one host has observed of one backend server.
#[derive(Debug)]
pub(super) struct Estimate {
    in_flight: u32,
    other_hosts: f64,
    reported_at: Instant,
    slowness: f64,
    failure_rate: f64,
    /// Part of the requests that the server refused or whose connection it reset.
    refusal_rate: f64,
    unreachable_count: u32,
    blocked_until: Instant,
    avoided_until: Instant,
    /// Time that work takes on the machine, as a factor of the usual, and when this was reported.
    pace: (f64, Instant),
    warmup_until: Instant,
    tried: bool,
    sample: Sample,
}

/// Processing times of requests that a backend server processed, without the time spent waiting for
/// a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Number of requests.
    pub count: u32,
    /// Sum of their processing times, in milliseconds.
    pub sum_ms: f64,
}

impl Estimate {
    pub(super) fn new(warmup_until: Instant) -> Self {
        Self {
            in_flight: 0,
            other_hosts: 0.0,
            reported_at: Instant::ZERO,
            slowness: 1.0,
            failure_rate: 0.0,
            refusal_rate: 0.0,
            unreachable_count: 0,
            blocked_until: Instant::ZERO,
            avoided_until: Instant::ZERO,
            pace: (1.0, Instant::ZERO),
            warmup_until,
            tried: false,
            sample: Sample::default(),
        }
    }

    /// Sets until when the server is slow because it is cold.
    pub(super) fn set_warmup(&mut self, until: Instant) {
        self.warmup_until = until;
    }

    pub(super) fn record_sent(&mut self) {
        self.in_flight += 1;
        self.tried = true;
    }

    pub(super) fn record_ended(
        &mut self,
        observation: Observation,
        baseline: &mut Baseline,
        slots: u32,
        now: Instant,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = observation.load {
            let total = f64::from(load.running + load.waiting);
            self.other_hosts = (total - f64::from(self.in_flight)).max(0.0);
            self.reported_at = now;
            if let Some(percent) = load.pace {
                let factor = f64::from(percent) / 100.0;
                self.pace = (factor.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1), now);
            }
        }
        match observation.class {
            AttemptClass::Served => self.record_served(observation, baseline, slots, now),
            AttemptClass::Shed | AttemptClass::Reset => {
                self.refusal_rate += FAILURE_GAIN * (1.0 - self.refusal_rate);
                self.unreachable_count = 0;
                self.avoided_until = now + AVOIDANCE_TIME;
            }
            AttemptClass::Failed => {
                self.record_failure();
                self.unreachable_count = 0;
            }
            AttemptClass::Unreachable | AttemptClass::Closed => self.record_unreachable(now),
            AttemptClass::Abandoned => {}
        }
    }

    pub(super) fn record_failure(&mut self) {
        self.failure_rate += FAILURE_GAIN * (1.0 - self.failure_rate);
    }

    fn record_served(
        &mut self,
        observation: Observation,
        baseline: &mut Baseline,
        slots: u32,
        now: Instant,
    ) {
        self.unreachable_count = 0;
        self.failure_rate -= FAILURE_GAIN * self.failure_rate;
        self.refusal_rate -= FAILURE_GAIN * self.refusal_rate;
        baseline.samples = (baseline.samples + 1.0).min(BASELINE_SAMPLES);
        baseline.bytes += baseline.samples.recip()
            * (f64::from(u32::try_from(observation.bytes).unwrap_or(u32::MAX)) - baseline.bytes);
        // The wait for a slot is caused by the load, not by the server.
        let contention = (self.load(now) + 1.0) / f64::from(slots.max(1));
        let elapsed = observation.elapsed.as_secs_f64() * 1_000.0 / contention.max(1.0);
        if now >= self.warmup_until {
            self.sample.count += 1;
            self.sample.sum_ms += elapsed;
            let gain = (baseline.samples + ASSUMED_SAMPLES)
                .min(BASELINE_SAMPLES)
                .recip();
            baseline.request_ms += gain * (elapsed / self.slowness.max(0.5) - baseline.request_ms);
            let ratio = (elapsed / baseline.request_ms.max(0.1))
                .clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1);
            self.slowness += SERVER_GAIN * (ratio - self.slowness);
        }
    }

    fn record_unreachable(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.unreachable_count.min(6));
        self.blocked_until = now + pause.min(MAX_PAUSE);
        self.unreachable_count += 1;
    }

    /// Returns the number of requests that run or wait at the server.
    pub(super) fn load(&self, now: Instant) -> f64 {
        f64::from(self.in_flight) + self.other_hosts * self.report_weight(now)
    }

    /// Returns the number of requests that probably run or wait at the server, where servers have
    /// `mean` of them per slot: the older the report, the more likely it has as many as the others.
    pub(super) fn likely_load(&self, mean: f64, slots: u32, now: Instant) -> f64 {
        let unknown = mean * f64::from(slots) * (1.0 - self.report_weight(now));
        self.load(now) + unknown
    }

    /// Returns the weight of the latest load report.
    fn report_weight(&self, now: Instant) -> f64 {
        let age = now.since(self.reported_at).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(age)
    }

    /// Returns the usual processing time at the server, as a factor of the service's mean.
    pub(super) fn slowness(&self, now: Instant) -> f64 {
        let warmup = if now < self.warmup_until {
            WARMUP_PENALTY
        } else {
            1.0
        };
        self.slowness * warmup
    }

    /// Returns the expected response time of one more request, in milliseconds.
    pub(super) fn expected_ms(&self, baseline: &Baseline, slots: u32, now: Instant) -> f64 {
        let failures = 1.0 - (1.0 - self.failure_rate) * (1.0 - self.refusal_rate);
        self.response_ms(self.load(now), failures, baseline, slots, now)
    }

    /// Returns the expected response time of one more request at a server with `load` requests, in
    /// milliseconds.
    ///
    /// Refusals as full do not count. A host that seldom sends to the server would take it for full
    /// long after its queue has shortened.
    pub(super) fn expected_ms_at(
        &self,
        load: f64,
        baseline: &Baseline,
        slots: u32,
        now: Instant,
    ) -> f64 {
        self.response_ms(load, self.failure_rate, baseline, slots, now)
    }

    fn response_ms(
        &self,
        load: f64,
        failures: f64,
        baseline: &Baseline,
        slots: u32,
        now: Instant,
    ) -> f64 {
        let utilization = (load + 1.0) / f64::from(slots.max(1));
        let contention = 1.0_f64.max(utilization) + UTILIZATION_PENALTY * utilization.min(1.0);
        let pace = if now.since(self.pace.1) < PACE_TTL {
            self.pace.0
        } else {
            1.0
        };
        baseline.request_ms
            * self.slowness(now)
            * pace
            * contention
            * (1.0 + FAILURE_PENALTY * failures)
    }

    /// Returns whether the server refused a request as full, or reset its connection, a short time
    /// ago.
    pub(super) fn is_avoided(&self, now: Instant) -> bool {
        now < self.avoided_until
    }

    /// Returns whether one more request would have to wait for a slot.
    pub(super) fn is_full(&self, slots: u32, now: Instant) -> bool {
        self.load(now) >= f64::from(slots)
    }

    pub(super) fn is_blocked(&self, now: Instant) -> bool {
        now < self.blocked_until
    }

    /// Returns whether several attempts in a row failed to reach the server, and it is not tried.
    pub(super) fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_count > 1 && self.is_blocked(now)
    }

    pub(super) fn is_untried(&self) -> bool {
        !self.tried
    }

    /// Returns the times collected since the last call.
    pub(super) fn take_sample(&mut self) -> Sample {
        std::mem::take(&mut self.sample)
    }
}
