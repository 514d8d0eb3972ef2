//! Slots, in which a bounded number of requests run, and the queue before them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Why no slot was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Too many requests run and wait.
    Full,
    /// The deadline passed in the queue.
    Deadline,
}

/// Slots of one backend server.
#[derive(Clone, Debug)]
pub struct Slots {
    total: usize,
    free: Arc<Semaphore>,
    queue: usize,
    queued: Arc<AtomicUsize>,
}

impl Slots {
    /// Creates free slots and an empty queue of a bounded length.
    #[must_use]
    pub fn new(total: usize, queue: usize) -> Self {
        Self {
            total,
            free: Arc::new(Semaphore::new(total)),
            queue,
            queued: Arc::default(),
        }
    }

    /// Returns how many requests run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.total - self.free.available_permits()
    }

    /// Returns how many requests wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }

    /// Takes a slot, in the order of arrival, within `limit`.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the queue is full or the limit passes.
    pub async fn take(&self, limit: Option<Duration>) -> Result<OwnedSemaphorePermit, Refusal> {
        if let Ok(slot) = Arc::clone(&self.free).try_acquire_owned() {
            return Ok(slot);
        }
        if self.queued() >= self.queue {
            return Err(Refusal::Full);
        }
        let _place = Place::new(&self.queued);
        let slot = Arc::clone(&self.free).acquire_owned();
        let slot = match limit {
            Some(limit) => tokio::time::timeout(limit, slot)
                .await
                .map_err(|_| Refusal::Deadline)?,
            None => slot.await,
        };
        slot.map_err(|_| Refusal::Full)
    }
}

/// Place in the queue, given up when dropped.
struct Place<'a>(&'a AtomicUsize);

impl<'a> Place<'a> {
    fn new(queued: &'a AtomicUsize) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        Self(queued)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
