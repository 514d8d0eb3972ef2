//! Relative speeds of backend servers, learned from the work they did.
//!
//! Nobody has measured the backend servers, and their load reports mislead. What the leader does
//! know is how long each request took. Requests of the same class are compared over the servers:
//! for each pair of class and server the median of the latest durations is kept (in logarithms,
//! so stragglers do not matter), and a median polish of that table separates the effect of the
//! class from the effect of the server.
//!
//! While input is missing: a server with fewer than [`MIN_SAMPLES`] samples counts as average
//! (speed 1), since either guess is wrong by at most the spread of the fleet. While input is
//! stale, that is for [`STALE_AFTER`] without a sample, the last estimate is kept for that time
//! and then dropped, because the server may have been replaced or repaired.

use std::time::Duration;

use smallvec::SmallVec;
use tarragon_model::time::Instant;

use crate::window::{Window, median};

/// Samples of a class on a server from which on they count.
pub const MIN_SAMPLES: usize = 5;
/// Time without a sample after which a server counts as unknown.
pub const STALE_AFTER: Duration = Duration::from_mins(1);
/// Time between two evaluations of the table.
const REFRESH: Duration = Duration::from_millis(50);
/// Sweeps of the median polish; the table has few rows and columns.
const SWEEPS: usize = 4;
/// Largest ratio of a speed to the average that is believed.
const MAX_RATIO: f64 = 16.0;

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
    refreshed: Instant,
}

/// What is known of one backend server.
#[derive(Clone, Debug)]
struct Server {
    classes: SmallVec<[Window; 4]>,
    latest: Instant,
    speed: f64,
}

impl Default for Server {
    fn default() -> Self {
        Self {
            classes: SmallVec::new(),
            latest: Instant::ZERO,
            speed: 1.0,
        }
    }
}

impl Estimator {
    /// Records that `backend` took `duration` for one request of `class`.
    pub fn observe(&mut self, now: Instant, class: u8, backend: u16, duration: Duration) {
        let server = self.server(backend);
        let class = usize::from(class);
        if server.classes.len() <= class {
            server.classes.resize(class + 1, Window::default());
        }
        server.classes[class].push(logarithm(duration));
        server.latest = now;
        if now.since(self.refreshed) >= REFRESH {
            self.refresh(now);
        }
    }

    /// Forgets what was learned of a backend server, because another process runs there now.
    pub fn forget(&mut self, backend: u16) {
        let server = self.server(backend);
        for window in &mut server.classes {
            window.clear();
        }
        server.speed = 1.0;
    }

    /// Returns the speed relative to the average of the shard; 1 while unknown.
    #[must_use]
    pub fn speed(&self, backend: u16) -> f64 {
        self.servers
            .get(usize::from(backend))
            .map_or(1.0, |server| server.speed)
    }

    /// Evaluates the table anew, dropping what is stale.
    pub fn refresh(&mut self, now: Instant) {
        self.refreshed = now;
        for server in &mut self.servers {
            if now.since(server.latest) >= STALE_AFTER {
                server.classes.clear();
            }
        }
        let effects = self.polish();
        let known: SmallVec<[f32; 8]> = effects.iter().flatten().copied().collect();
        let count = u16::try_from(known.len().max(1)).unwrap_or(u16::MAX);
        let centre = known.iter().copied().sum::<f32>() / f32::from(count);
        for (server, effect) in self.servers.iter_mut().zip(effects) {
            server.speed = effect.map_or(1.0, |effect| speed_of(effect - centre));
        }
    }

    /// Returns each server's effect on the logarithm of durations, where it is known.
    fn polish(&self) -> SmallVec<[Option<f32>; 8]> {
        let mut effects: SmallVec<[Option<f32>; 8]> =
            self.servers.iter().map(Server::initial_effect).collect();
        for _ in 0..SWEEPS {
            let rows = self.class_effects(&effects);
            for (server, effect) in self.servers.iter().zip(&mut effects) {
                *effect = effect.and_then(|_| server.effect(&rows));
            }
        }
        effects
    }

    /// Returns each class's effect, given the servers' effects.
    fn class_effects(&self, effects: &[Option<f32>]) -> SmallVec<[Option<f32>; 4]> {
        let classes = self.servers.iter().map(|server| server.classes.len());
        let count = classes.max().unwrap_or_default();
        (0..count)
            .map(|class| {
                let rests: SmallVec<[f32; 8]> = self
                    .servers
                    .iter()
                    .zip(effects)
                    .filter_map(|(server, effect)| Some(server.cell(class)? - (*effect)?))
                    .collect();
                (!rests.is_empty()).then(|| median(&rests))
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
    /// Returns the median of one class, once there are samples enough.
    fn cell(&self, class: usize) -> Option<f32> {
        self.classes.get(class)?.median(MIN_SAMPLES)
    }

    /// Starts the polish at no effect for each server that is known at all.
    fn initial_effect(&self) -> Option<f32> {
        (0..self.classes.len())
            .any(|class| self.cell(class).is_some())
            .then_some(0.0)
    }

    /// Returns the median of what the classes' effects leave unexplained.
    fn effect(&self, rows: &[Option<f32>]) -> Option<f32> {
        let rests: SmallVec<[f32; 4]> = rows
            .iter()
            .enumerate()
            .filter_map(|(class, row)| Some(self.cell(class)? - (*row)?))
            .collect();
        (!rests.is_empty()).then(|| median(&rests))
    }
}

/// Returns the natural logarithm of a duration in microseconds.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a logarithm needs few digits"
)]
fn logarithm(duration: Duration) -> f32 {
    (duration.as_secs_f64() * 1e6).max(1.0).ln() as f32
}

/// Turns an effect on the logarithm of durations into a speed.
fn speed_of(effect: f32) -> f64 {
    (-f64::from(effect)).exp().clamp(1.0 / MAX_RATIO, MAX_RATIO)
}
