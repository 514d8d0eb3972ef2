//! State of one backend server, shared by all its requests.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::fault::{Faults, Load};
use super::grant::{Grants, Refusal};
use super::options::Options;
use super::record::Recorder;
use super::run::Attempt;
use super::slots::Slots;
use super::stats::Stats;
use crate::standin::clock;
use crate::standin::error::Error;

/// Factor for the duration of work while the process is cold.
const COLD_FACTOR: f64 = 4.0;
/// Maximum duration of work, in seconds.
const MAX_WORK_S: f64 = 86_400.0;

/// State of one backend server.
pub struct State {
    /// Command line options of the process.
    pub options: Options,
    /// Unique identifier of this process instance.
    pub instance: String,
    /// Writer of the record file.
    pub recorder: Recorder,
    /// Slots for running requests.
    pub slots: Slots,
    start: Instant,
    connections: Arc<AtomicUsize>,
    draining: AtomicBool,
    grants: Mutex<Grants>,
    faults: Mutex<Faults>,
    stats: Mutex<Stats>,
}

impl State {
    /// Creates the state and opens the record file.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when the record file cannot be opened.
    pub fn new(options: Options, connections: Arc<AtomicUsize>) -> Result<Self, Error> {
        let recorder = Recorder::open(&options.record)?;
        let pid = std::process::id();
        let instance = format!("{}-{pid}-{}", options.id, clock::micros());
        Ok(Self {
            instance,
            recorder,
            slots: Slots::new(options.slots, options.queue),
            start: Instant::now(),
            connections,
            draining: AtomicBool::new(false),
            grants: Mutex::new(Grants::new(clock::millis())),
            faults: Mutex::default(),
            stats: Mutex::default(),
            options,
        })
    }

    /// Locks the active faults.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the grants.
    pub fn grants(&self) -> MutexGuard<'_, Grants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the counters.
    pub fn stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts refusing new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the true load.
    pub fn load(&self) -> Load {
        Load {
            running: self.slots.running(),
            queued: self.slots.queued(),
            connections: self.connections.load(Ordering::Relaxed),
        }
    }

    /// Checks an attempt against the grants; without `--checks`, every attempt passes.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the attempt's fence has no valid grant.
    pub fn check(&self, attempt: &Attempt) -> Result<(), Refusal> {
        if !self.options.checks {
            return Ok(());
        }
        let (Some(shard), Some(fence)) = (&attempt.shard, attempt.fence) else {
            return Err(Refusal::Fence);
        };
        self.grants().check(shard, fence, clock::millis())
    }

    /// Returns the current duration of work that takes `work_us` microseconds at speed 1.
    pub fn work_time(&self, work_us: u64) -> Duration {
        let cold = self.start.elapsed() < self.options.cold;
        let cold = if cold { COLD_FACTOR } else { 1.0 };
        let factor = cold * self.faults().factor() / self.options.speed;
        let at_speed_one = Duration::from_micros(work_us).as_secs_f64();
        Duration::from_secs_f64((at_speed_one * factor).clamp(0.0, MAX_WORK_S))
    }
}
