//! Memory for the bodies that a host keeps, and the reading of request bodies into it.
//!
//! A request body is read to its end before a backend server is chosen. A slow caller then occupies
//! no server, and a request of which no byte was sent can still go to another server.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

/// Fraction of the host's memory that bodies may use.
const MEMORY_DIVISOR: usize = 4;

/// Bytes of bodies that a host keeps at one time, with an upper limit.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    used: AtomicUsize,
}

impl Memory {
    /// Creates the budget of a host with `memory` bytes in all.
    #[must_use]
    pub fn of_host(memory: usize) -> Arc<Self> {
        Arc::new(Self {
            limit: memory / MEMORY_DIVISOR,
            used: AtomicUsize::new(0),
        })
    }

    /// Returns the number of bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that are left.
    ///
    /// ```
    /// use tarragon_edge::body::{Memory, Reservation};
    ///
    /// let memory = Memory::of_host(400);
    /// assert!(Reservation::new(memory.clone()).grow_to(60));
    /// assert_eq!(memory.left(), 100);
    /// ```
    #[must_use]
    pub fn left(&self) -> usize {
        self.limit.saturating_sub(self.used())
    }
}

/// Part of the memory that one body uses, until dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    #[must_use]
    pub const fn new(memory: Arc<Memory>) -> Self {
        Self { memory, bytes: 0 }
    }

    /// Raises the reservation to `bytes`; returns `false` if so much is not left.
    ///
    /// ```
    /// use tarragon_edge::body::{Memory, Reservation};
    ///
    /// let memory = Memory::of_host(400);
    /// let mut first = Reservation::new(memory.clone());
    /// assert!(first.grow_to(60));
    /// assert!(!Reservation::new(memory.clone()).grow_to(41));
    /// drop(first);
    /// assert_eq!(memory.used(), 0);
    /// ```
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if self.memory.used().saturating_add(more) > self.memory.limit {
            return false;
        }
        self.memory.used.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        true
    }

    /// Returns `bytes`, which keep the reservation until the last copy of them is dropped.
    #[must_use]
    pub fn keep_for(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Reserved {
            bytes,
            _reservation: self,
        })
    }
}

/// Bytes with the memory that they use.
struct Reserved {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Why the body of a request was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body is larger than the operators allow.
    #[error("body too large")]
    TooLarge,
    /// The bodies of other requests use the memory.
    #[error("no memory for the body")]
    NoMemory,
    /// The caller did not send it before its deadline.
    #[error("body too slow")]
    TooSlow,
    /// The connection failed or the encoding is invalid.
    #[error("body broke off")]
    Broken,
}

/// Reads the body of a request of at most `max_bytes`.
///
/// A body whose length is declared is read only if there is memory for all of it. If it is not
/// read, the rest is discarded in the background, so that the caller can receive the response.
///
/// # Errors
///
/// Returns why the body was not read; no backend server has seen the request.
pub async fn read(
    mut body: Incoming,
    memory: &Arc<Memory>,
    max_bytes: usize,
    deadline: Instant,
) -> Result<(Bytes, Reservation), Error> {
    let mut reservation = Reservation::new(Arc::clone(memory));
    let declared = body.size_hint().lower();
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    let collected = collect(&mut body, &mut reservation, declared, max_bytes);
    match tokio::time::timeout_at(deadline, collected).await {
        Ok(Ok(bytes)) => Ok((bytes, reservation)),
        Ok(Err(error)) => {
            if error != Error::Broken {
                tokio::task::spawn_local(discard(body, max_bytes, deadline));
            }
            Err(error)
        }
        Err(_) => Err(Error::TooSlow),
    }
}

async fn collect(
    body: &mut Incoming,
    reservation: &mut Reservation,
    declared: usize,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    if declared > max_bytes {
        return Err(Error::TooLarge);
    }
    if !reservation.grow_to(declared) {
        return Err(Error::NoMemory);
    }
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            log::debug!("event=caller-body-failed error=\"{error}\"");
            Error::Broken
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let read = first.len().max(rest.len()) + data.len();
        if read > max_bytes {
            return Err(Error::TooLarge);
        }
        // Beyond the declared length, `rest` doubles its capacity when it grows.
        let capacity = if first.is_empty() || read <= declared {
            read
        } else {
            read.next_power_of_two().min(max_bytes)
        };
        if !reservation.grow_to(capacity) {
            return Err(Error::NoMemory);
        }
        if first.is_empty() {
            first = data;
            continue;
        }
        rest.reserve(declared.max(capacity).saturating_sub(rest.len()));
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
    }
    Ok(if rest.is_empty() {
        first
    } else {
        rest.freeze()
    })
}

/// Reads and drops the rest of a body until its end, `max_bytes` or the deadline.
async fn discard(mut body: Incoming, max_bytes: usize, deadline: Instant) {
    let mut left = max_bytes;
    let all = async {
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else {
                return;
            };
            left = rest;
        }
    };
    if tokio::time::timeout_at(deadline, all).await.is_err() {
        log::debug!("event=caller-body-failed error=\"not discarded in time\"");
    }
}
