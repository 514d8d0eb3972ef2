//! What all requests of one backend server share.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::fault::{Faults, Load};
use super::grant::{Grants, Refusal};
use super::options::Options;
use super::record::Recorder;
use super::run::Order;
use super::slots::Slots;
use super::stats::Stats;
use crate::standin::clock;
use crate::standin::error::Error;

/// Factor of the time of work while the process is cold.
const COLD_FACTOR: f64 = 4.0;
/// Longest work, in seconds.
const MAX_WORK_S: f64 = 86_400.0;

/// State of one backend server.
pub struct State {
    /// Arguments of the process.
    pub options: Options,
    /// Unique text of this run of the process.
    pub instance: String,
    /// Record file.
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

    /// Returns the faults.
    pub fn faults(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the grants.
    pub fn grants(&self) -> MutexGuard<'_, Grants> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the counts.
    pub fn stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops taking new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Tells whether no new work is taken.
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

    /// Checks an order against the grants, if this backend server checks.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the order's fence has no grant in force.
    pub fn check(&self, order: &Order) -> Result<(), Refusal> {
        if !self.options.checks {
            return Ok(());
        }
        let (Some(shard), Some(fence)) = (&order.shard, order.fence) else {
            return Err(Refusal::Fence);
        };
        self.grants().check(shard, fence, clock::millis())
    }

    /// Returns how long work of `work_us` microseconds at speed 1 takes now.
    pub fn time_of(&self, work_us: u64) -> Duration {
        let cold = self.start.elapsed() < self.options.cold;
        let cold = if cold { COLD_FACTOR } else { 1.0 };
        let factor = cold * self.faults().factor() / self.options.speed;
        let plain = Duration::from_micros(work_us).as_secs_f64();
        Duration::from_secs_f64((plain * factor).clamp(0.0, MAX_WORK_S))
    }
}
