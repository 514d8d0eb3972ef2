//! Rate limit and byte count of one direction, shared by the links of a group.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Burst allowed after idle time, as the time that it takes at the rate limit.
const BURST: Duration = Duration::from_millis(5);
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Limits the rate of one direction and counts its bytes.
#[derive(Debug, Default)]
pub struct Limiter {
    rate: Option<Rate>,
    bytes: AtomicU64,
}

impl Limiter {
    /// Creates a limiter with a rate in megabits per second, or without a limit.
    pub fn new(mbit_per_s: Option<f64>) -> Self {
        Self {
            rate: mbit_per_s.map(Rate::new),
            bytes: AtomicU64::new(0),
        }
    }

    /// Counts sent bytes.
    pub fn count(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the number of sent bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Waits until the rate limit allows `bytes` more bytes.
    pub async fn acquire(&self, bytes: usize) {
        if let Some(rate) = &self.rate {
            tokio::time::sleep_until(rate.reserve(bytes)).await;
        }
    }
}

/// Rate limit that serializes the bytes of all its users.
#[derive(Debug)]
struct Rate {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl Rate {
    fn new(mbit_per_s: f64) -> Self {
        Self {
            bytes_per_s: mbit_per_s * BYTES_PER_MBIT,
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Reserves the time to send `bytes`, and returns its end.
    fn reserve(&self, bytes: usize) -> Instant {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let time = Duration::from_secs_f64(f64::from(bytes) / self.bytes_per_s);
        let now = Instant::now();
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(now.checked_sub(BURST).unwrap_or(now)) + time;
        *free_at
    }
}
