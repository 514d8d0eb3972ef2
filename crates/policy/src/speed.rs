//! Relative speeds of backend servers, estimated from request durations.
//!
//! The speeds are not configured, and load reports of backend servers are unreliable, but the
//! leader knows how long each request took. The estimator keeps the median of the latest
//! durations for each pair of class and server and compares servers by requests of the same
//! class. The median makes stragglers irrelevant. Durations are stored as logarithms, so the
//! effects of class and server add up and a median polish of the table separates them.
//!
//! A server with fewer than [`MIN_SAMPLES`] samples in every class counts as average (speed 1):
//! the error is at most the spread of speeds in the shard. A server without a sample for
//! [`STALE_AFTER`] keeps its last estimate for that time and then counts as average again,
//! because it may have been replaced or repaired.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use crate::window::{Window, median};

/// Minimum number of samples of a class on a server before they are used.
pub const MIN_SAMPLES: usize = 5;
/// Time without a sample after which the estimate of a server is dropped.
pub const STALE_AFTER: Duration = Duration::from_mins(1);
/// Minimum time between two evaluations of the table.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);
/// Sweeps of the median polish; a few suffice because the table is small.
const POLISH_SWEEPS: usize = 4;
/// Estimates are clamped to this ratio above and below the average speed.
const MAX_SPEED_RATIO: f64 = 16.0;

/// Estimates the relative speeds of the backend servers of one shard.
///
/// ```
/// use std::time::Duration;
/// use tarragon_model::time::Instant;
/// use tarragon_policy::speed::Estimator;
///
/// let mut estimator = Estimator::default();
/// for step in 0..20 {
///     let now = Instant::from_millis(step * 100);
///     estimator.observe(now, 0, 0, Duration::from_millis(40));
///     estimator.observe(now, 0, 1, Duration::from_millis(10));
/// }
/// let ratio = estimator.speed(1) / estimator.speed(0);
/// assert!((ratio - 4.0).abs() < 0.1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    servers: Vec<Server>,
    refreshed_at: Instant,
}

/// Samples of one backend server, by class, and its estimated speed.
#[derive(Clone, Debug)]
struct Server {
    classes: SmallVec<[Window; 4]>,
    last_sample_at: Instant,
    speed: f64,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            classes: SmallVec::new(),
            last_sample_at: Instant::ZERO,
            speed: 1.0,
        }
    }
}

impl Estimator {
    /// Records that `backend` took `duration` for a request of `class`.
    pub fn observe(&mut self, now: Instant, class: u8, backend: u16, duration: Duration) {
        let server = self.server(backend);
        let class = usize::from(class);
        if server.classes.len() <= class {
            server.classes.resize(class + 1, Window::default());
        }
        server.classes[class].push(log_micros(duration));
        server.last_sample_at = now;
        if now.since(self.refreshed_at) >= REFRESH_INTERVAL {
            self.refresh(now);
        }
    }

    /// Drops the samples of a backend server, because a new process runs there.
    pub fn forget(&mut self, backend: u16) {
        let server = self.server(backend);
        for window in &mut server.classes {
            window.clear();
        }
        server.speed = 1.0;
    }

    /// Returns the speed relative to the average of the shard, or 1 while it is unknown.
    #[must_use]
    pub fn speed(&self, backend: u16) -> f64 {
        self.servers
            .get(usize::from(backend))
            .map_or(1.0, |server| server.speed)
    }

    /// Recomputes all speeds and drops the samples of stale servers.
    pub fn refresh(&mut self, now: Instant) {
        self.refreshed_at = now;
        for server in &mut self.servers {
            if now.since(server.last_sample_at) >= STALE_AFTER {
                server.classes.clear();
            }
        }
        let effects = self.polish();
        let known: SmallVec<[f32; 8]> = effects.iter().flatten().copied().collect();
        let count = u16::try_from(known.len().max(1)).unwrap_or(u16::MAX);
        let mean_effect = known.iter().copied().sum::<f32>() / f32::from(count);
        for (server, effect) in self.servers.iter_mut().zip(effects) {
            server.speed = effect.map_or(1.0, |effect| speed_of(effect - mean_effect));
        }
    }

    /// Runs the median polish and returns the effect of each server on the logarithm of durations,
    /// `None` where it is unknown.
    fn polish(&self) -> SmallVec<[Option<f32>; 8]> {
        let mut effects: SmallVec<[Option<f32>; 8]> =
            self.servers.iter().map(Server::initial_effect).collect();
        for _ in 0..POLISH_SWEEPS {
            let rows = self.class_effects(&effects);
            for (server, effect) in self.servers.iter().zip(&mut effects) {
                *effect = effect.and_then(|_| server.effect(&rows));
            }
        }
        effects
    }

    /// Returns the effect of each class, given the effects of the servers.
    fn class_effects(&self, effects: &[Option<f32>]) -> SmallVec<[Option<f32>; 4]> {
        let classes = self.servers.iter().map(|server| server.classes.len());
        let count = classes.max().unwrap_or_default();
        (0..count)
            .map(|class| {
                let residuals: SmallVec<[f32; 8]> = self
                    .servers
                    .iter()
                    .zip(effects)
                    .filter_map(|(server, effect)| Some(server.cell(class)? - (*effect)?))
                    .collect();
                (!residuals.is_empty()).then(|| median(&residuals))
            })
            .collect()
    }

    fn server(&mut self, backend: u16) -> &mut Server {
        let index = usize::from(backend);
        if self.servers.len() <= index {
            self.servers.resize(index + 1, Server::default());
        }
        &mut self.servers[index]
    }
}

impl Server {
    /// Returns the median of one class, or `None` with fewer than [`MIN_SAMPLES`] samples.
    fn cell(&self, class: usize) -> Option<f32> {
        self.classes.get(class)?.median(MIN_SAMPLES)
    }

    /// Returns the start value of the polish: zero, or `None` without enough samples in any class.
    fn initial_effect(&self) -> Option<f32> {
        (0..self.classes.len())
            .any(|class| self.cell(class).is_some())
            .then_some(0.0)
    }

    /// Returns the median residual after the effects of the classes are subtracted.
    fn effect(&self, rows: &[Option<f32>]) -> Option<f32> {
        let residuals: SmallVec<[f32; 4]> = rows
            .iter()
            .enumerate()
            .filter_map(|(class, row)| Some(self.cell(class)? - (*row)?))
            .collect();
        (!residuals.is_empty()).then(|| median(&residuals))
    }
}

/// Returns the natural logarithm of a duration in microseconds, at least zero.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a logarithm needs few digits"
)]
fn log_micros(duration: Duration) -> f32 {
    (duration.as_secs_f64() * 1e6).max(1.0).ln() as f32
}

/// Converts an effect on the logarithm of durations into a relative speed.
fn speed_of(effect: f32) -> f64 {
    (-f64::from(effect))
        .exp()
        .clamp(1.0 / MAX_SPEED_RATIO, MAX_SPEED_RATIO)
}
