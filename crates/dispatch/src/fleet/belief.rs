//! What the requests of this host tell about one backend server.

use std::time::Duration;

use tarragon_model::time::Instant;

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How a request at a backend server ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// Time since it was sent.
    pub elapsed: Duration,
    /// Load that came with the answer.
    pub load: Option<Load>,
    /// Size of the answer's body, in bytes.
    pub bytes: usize,
    /// What it says about the server.
    pub class: AttemptClass,
}

/// What the end of a request says about the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptClass {
    /// It ran the request.
    Served,
    /// It refused the request without running it.
    Shed,
    /// It failed the request, or its answer was lost or spoilt.
    Failed,
    /// It could not be reached.
    Unreachable,
    /// The caller left, or the time was over.
    Abandoned,
}

/// Mean behaviour of a service's backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Norm {
    /// Time of a request on an idle server of mean speed, in milliseconds.
    pub work_ms: f64,
    /// Size of an answer, in bytes.
    pub bytes: f64,
    /// Answers seen, as far as they matter.
    samples: f64,
}

impl Default for Norm {
    fn default() -> Self {
        Self {
            work_ms: 50.0,
            bytes: 1_000.0,
            samples: 0.0,
        }
    }
}

/// How far a backend server stands from the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the same failure domain.
    Zone,
    /// In the same region.
    Region,
    /// In another region.
    Far,
}

/// Time that the way to another region and back takes, in milliseconds.
const FAR_MS: f64 = 24.0;
/// Time that the way to another failure domain and back takes, in milliseconds.
const REGION_MS: f64 = 2.0;
/// Delay that a kilobyte from another region is worth avoiding, in milliseconds.
const FAR_MS_PER_KB: f64 = 12.0;
/// Delay that a kilobyte from another failure domain is worth avoiding, in milliseconds.
const REGION_MS_PER_KB: f64 = 1.5;
/// Size from which an answer counts as large, in bytes.
const LARGE_BYTES: f64 = 50_000.0;
/// Longest delay that bytes are worth avoiding, in milliseconds.
const MAX_FAR_MS: f64 = 1_000.0;

impl Norm {
    /// Returns what the distance counts, in milliseconds.
    pub(super) fn far(&self, distance: Distance, large: bool) -> f64 {
        let bytes = if large {
            self.bytes.max(LARGE_BYTES)
        } else {
            self.bytes
        };
        let kilobytes = bytes / 1_000.0;
        match distance {
            Distance::Zone => 0.0,
            Distance::Region => REGION_MS + (kilobytes * REGION_MS_PER_KB).min(MAX_FAR_MS / 8.0),
            Distance::Far => FAR_MS + (kilobytes * FAR_MS_PER_KB).min(MAX_FAR_MS),
        }
    }
}

/// Weight of the newest sample in a server's averages.
const SERVER_GAIN: f64 = 0.1;
/// Answers that a service's averages are taken over.
const NORM_SAMPLES: f64 = 100.0;
/// Answers that the assumed time of a request weighs: the first ones may have waited.
const ASSUMED_SAMPLES: f64 = 9.0;
/// Weight of the newest sample in the part of failures.
const FAIL_GAIN: f64 = 0.15;
/// Bounds of how much slower than the mean a server may count.
const SLOWNESS: (f64, f64) = (0.25, 20.0);
/// Age at which a load report says half of what it said.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
/// Part by which a server with all slots in use counts as slower than an idle one.
const USE_PENALTY: f64 = 0.35;
/// How much a server that fails everything counts as slower.
const FAIL_PENALTY: f64 = 8.0;
/// How much slower a server is that has just started.
const COLD_PENALTY: f64 = 2.0;
/// Pause after the first failure to reach a server; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause.
const LAST_PAUSE: Duration = Duration::from_millis(1_600);

/// What one host believes about one backend server.
#[derive(Debug)]
pub(super) struct Belief {
    in_flight: u32,
    others: f64,
    reported: Instant,
    slowness: f64,
    failing: f64,
    unreachable: u32,
    blocked_until: Instant,
    cold_until: Instant,
    used: bool,
    sample: Sample,
}

/// Times of requests that a backend server served, without waiting for a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Requests.
    pub count: u32,
    /// Sum of their times, in milliseconds.
    pub sum_ms: f64,
}

impl Belief {
    pub(super) fn new(cold_until: Instant) -> Self {
        Self {
            in_flight: 0,
            others: 0.0,
            reported: Instant::ZERO,
            slowness: 1.0,
            failing: 0.0,
            unreachable: 0,
            blocked_until: Instant::ZERO,
            cold_until,
            used: false,
            sample: Sample::default(),
        }
    }

    pub(super) fn sent(&mut self) {
        self.in_flight += 1;
        self.used = true;
    }

    pub(super) fn ended(&mut self, seen: Observation, norm: &mut Norm, slots: u32, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = seen.load {
            let all = f64::from(load.running + load.waiting);
            self.others = (all - f64::from(self.in_flight)).max(0.0);
            self.reported = now;
        }
        match seen.class {
            AttemptClass::Served => self.served(seen, norm, slots, now),
            AttemptClass::Shed | AttemptClass::Failed => {
                self.failing += FAIL_GAIN * (1.0 - self.failing);
                self.unreachable = 0;
            }
            AttemptClass::Unreachable => self.unreached(now),
            AttemptClass::Abandoned => {}
        }
    }

    fn served(&mut self, seen: Observation, norm: &mut Norm, slots: u32, now: Instant) {
        self.unreachable = 0;
        self.failing -= FAIL_GAIN * self.failing;
        norm.samples = (norm.samples + 1.0).min(NORM_SAMPLES);
        norm.bytes += norm.samples.recip()
            * (f64::from(u32::try_from(seen.bytes).unwrap_or(u32::MAX)) - norm.bytes);
        // Waiting for a slot is the load's doing and not the server's.
        let crowd = (self.load(now) + 1.0) / f64::from(slots.max(1));
        let elapsed = seen.elapsed.as_secs_f64() * 1_000.0 / crowd.max(1.0);
        if now >= self.cold_until {
            self.sample.count += 1;
            self.sample.sum_ms += elapsed;
            let gain = (norm.samples + ASSUMED_SAMPLES).min(NORM_SAMPLES).recip();
            norm.work_ms += gain * (elapsed / self.slowness.max(0.5) - norm.work_ms);
            let ratio = (elapsed / norm.work_ms.max(0.1)).clamp(SLOWNESS.0, SLOWNESS.1);
            self.slowness += SERVER_GAIN * (ratio - self.slowness);
        }
    }

    fn unreached(&mut self, now: Instant) {
        let doubled = FIRST_PAUSE * 2_u32.saturating_pow(self.unreachable.min(6));
        self.blocked_until = now + doubled.min(LAST_PAUSE);
        self.unreachable += 1;
    }

    /// Returns the requests that run or wait there.
    fn load(&self, now: Instant) -> f64 {
        let age = now.since(self.reported).as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64();
        f64::from(self.in_flight) + self.others * 0.5_f64.powf(age)
    }

    /// Returns the expected time of one more request, in milliseconds.
    pub(super) fn finish(&self, norm: &Norm, slots: u32, now: Instant) -> f64 {
        let part = (self.load(now) + 1.0) / f64::from(slots.max(1));
        let crowd = 1.0_f64.max(part) + USE_PENALTY * part.min(1.0);
        let cold = if now < self.cold_until {
            COLD_PENALTY
        } else {
            1.0
        };
        norm.work_ms * self.slowness * cold * crowd * (1.0 + FAIL_PENALTY * self.failing)
    }

    /// Tells whether one more request has to wait for a slot.
    pub(super) fn full(&self, slots: u32, now: Instant) -> bool {
        self.load(now) >= f64::from(slots)
    }

    pub(super) fn blocked(&self, now: Instant) -> bool {
        now < self.blocked_until
    }

    pub(super) fn fresh(&self) -> bool {
        !self.used
    }

    /// Returns the times gathered since the last call.
    pub(super) fn take_sample(&mut self) -> Sample {
        std::mem::take(&mut self.sample)
    }
}
