//! Slots, which bound the number of running requests, and the bounded queue for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Reason why no slot was acquired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// All slots are in use and the queue is full.
    Full,
    /// The deadline passed while waiting in the queue.
    Deadline,
}

/// Slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    total: usize,
    permits: Arc<Semaphore>,
    max_queued: usize,
    queued: Arc<AtomicUsize>,
}

impl Slots {
    /// Creates `total` free slots and an empty queue of at most `max_queued` requests.
    #[must_use]
    pub fn new(total: usize, max_queued: usize) -> Self {
        Self {
            total,
            permits: Arc::new(Semaphore::new(total)),
            max_queued,
            queued: Arc::default(),
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.total - self.permits.available_permits()
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    /// Acquires a slot in order of arrival; waits at most `limit`, or without a limit if `None`.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the queue is full or `limit` passes.
    pub async fn acquire(&self, limit: Option<Duration>) -> Result<OwnedSemaphorePermit, Refusal> {
        if let Ok(slot) = Arc::clone(&self.permits).try_acquire_owned() {
            return Ok(slot);
        }
        if self.queued() >= self.max_queued {
            return Err(Refusal::Full);
        }
        let _queued = QueueGuard::new(&self.queued);
        let slot = Arc::clone(&self.permits).acquire_owned();
        let slot = match limit {
            Some(limit) => tokio::time::timeout(limit, slot)
                .await
                .map_err(|_| Refusal::Deadline)?,
            None => slot.await,
        };
        slot.map_err(|_| Refusal::Full)
    }
}

/// Counts one request as queued until it is dropped.
struct QueueGuard<'a>(&'a AtomicUsize);

impl<'a> QueueGuard<'a> {
    fn new(queued: &'a AtomicUsize) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        Self(queued)
    }
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
