//! Rate and count of the bytes of one direction, shared by the links of a group.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Bytes that may go out at once after a pause, as a time at the rate.
const BURST: Duration = Duration::from_millis(5);
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Bytes of one direction.
#[derive(Debug, Default)]
pub struct Way {
    rate: Option<Rate>,
    bytes: AtomicU64,
}

impl Way {
    /// Creates a way with a rate in megabits a second, or without limit.
    pub fn new(mbit_per_s: Option<f64>) -> Self {
        Self {
            rate: mbit_per_s.map(Rate::new),
            bytes: AtomicU64::new(0),
        }
    }

    /// Counts bytes that go out.
    pub fn count(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the bytes that went out.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Waits until bytes may go out.
    pub async fn pass(&self, bytes: usize) {
        if let Some(rate) = &self.rate {
            tokio::time::sleep_until(rate.reserve(bytes)).await;
        }
    }
}

/// Rate of a shared line, on which bytes go out one after the other.
#[derive(Debug)]
struct Rate {
    bytes_per_s: f64,
    free: Mutex<Instant>,
}

impl Rate {
    fn new(mbit_per_s: f64) -> Self {
        Self {
            bytes_per_s: mbit_per_s * BYTES_PER_MBIT,
            free: Mutex::new(Instant::now()),
        }
    }

    /// Takes the line for some bytes, and returns when they are out.
    fn reserve(&self, bytes: usize) -> Instant {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let time = Duration::from_secs_f64(f64::from(bytes) / self.bytes_per_s);
        let now = Instant::now();
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        *free = (*free).max(now.checked_sub(BURST).unwrap_or(now)) + time;
        *free
    }
}
