//! Forwarding of a response body that is too large to be buffered whole.
//!
//! A task reads the body from the backend server, ahead of the caller by a bounded number of bytes.
//! The time for which the body may occupy its connection therefore does not depend on whether the
//! caller reads.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use smallvec::SmallVec;
use tarragon_dispatch::fleet::Fleet;
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::{Body, BodyError};
use crate::body::{Memory, Reservation};
use crate::pool::Connection;
use crate::state::State;

/// Bytes by which the reading of a body may be ahead of its caller. A frame of the HTTP library has
/// at most 64 KiB.
const READ_AHEAD_BYTES: usize = 256 * 1024;
/// Memory of a frame beside its bytes. A server may send chunks of one byte.
const FRAME_BYTES: usize = 128;
/// Rate at which a caller has to take a response, on average, once the time of its server is over.
/// Each caller of a host of 10 Mbit/s has more while fewer than 19 of them take such responses.
const MIN_BYTES_PER_S: f64 = 64.0 * 1024.0;
/// Time without a byte taken after which a caller counts as stalled, once the time of the server is
/// over. It covers a few losses of a packet on the way.
const STALL_TIME: Duration = Duration::from_secs(3);

/// Multiple of the time for which a caller waits, after which a body that may have no end is cut even
/// if its caller and its server keep up.
const ENDLESS_WAITS: u32 = 8;

/// Limit on the time that a response body may take.
pub(super) struct Limit {
    fleet: Rc<RefCell<Fleet>>,
    memory: Arc<Memory>,
    server: String,
    /// Time until which the server has to send the body, unless its caller delays it.
    end: Instant,
    /// Limit on the whole time of a body that may have no end: its length is not declared, or is
    /// beyond what the operators allow for a request.
    endless: Option<Instant>,
}

impl Limit {
    /// Limits a body to the time for which the caller waits, and to twice that time if the server
    /// declared its length: a late response is still delivered.
    pub(super) fn new(
        state: &State,
        server: &str,
        sent: Instant,
        deadline: Instant,
        declared: Option<u64>,
    ) -> Self {
        let max_bytes = state.catalog().limits.body_bytes;
        let has_end = declared.is_some_and(|bytes| bytes <= max_bytes);
        let wait = deadline.saturating_duration_since(sent);
        Self {
            fleet: Rc::clone(&state.fleet),
            memory: Arc::clone(&state.body_memory),
            server: server.to_owned(),
            end: declared.map_or(deadline, |_| deadline + wait),
            endless: (!has_end).then(|| deadline + wait * ENDLESS_WAITS),
        }
    }

    /// Returns the time until which the caller has to take the next bytes.
    fn caller_end(&self, progress: &Progress) -> Instant {
        let taken = u32::try_from(progress.taken.get()).unwrap_or(u32::MAX);
        let paid = Duration::from_secs_f64(f64::from(taken) / MIN_BYTES_PER_S);
        let stalled = progress.taken_at.get() + STALL_TIME;
        self.end.max(stalled.min(self.end + paid))
    }

    /// Returns the time until which the server has to send the body if its caller has delayed it.
    fn server_end(&self, delay: Duration) -> Instant {
        if self.endless.is_some() {
            self.end
        } else {
            self.end + delay
        }
    }

    /// Logs that the body is cut; `failed` is whether that is the server's fault.
    fn cut(&self, error: &BodyError, failed: bool) {
        log::warn!(
            "event=response-cut server={} cause={} error=\"{error}\"",
            self.server,
            if failed { "server" } else { "caller" }
        );
        if failed {
            self.fleet.borrow_mut().record_failure(&self.server);
        }
    }
}

/// What the caller has taken of a body.
struct Progress {
    /// Bytes that were read and not taken.
    queued: Cell<usize>,
    /// Whether the caller's connection waits for the next frame.
    wanted: Cell<bool>,
    taken: Cell<usize>,
    taken_at: Cell<Instant>,
    changed: Notify,
}

impl Progress {
    fn request(&self) {
        self.wanted.set(true);
        self.changed.notify_one();
    }

    fn take(&self, bytes: usize) {
        self.queued.set(self.queued.get().saturating_sub(bytes));
        self.taken.set(self.taken.get().saturating_add(bytes));
        self.taken_at.set(Instant::now());
        self.changed.notify_one();
    }
}

/// Frame of a body, with the bytes that it counts for.
type Queued = (Result<Frame<Bytes>, BodyError>, usize);

/// Ends the reading of a body that its caller no longer wants.
struct Reading(AbortHandle);

impl Drop for Reading {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Returns a body that begins with the parts of `start` and forwards the rest of `body`.
///
/// A body that breaks off or exceeds the limit ends with an error, so that the caller does not take
/// it for complete. The connection stays checked out of the pool until the body has been read, is cut,
/// or is dropped.
pub(super) fn stream_body(
    start: SmallVec<[Bytes; 2]>,
    body: Incoming,
    connection: Connection,
    limit: Limit,
) -> Body {
    let progress = Rc::new(Progress {
        queued: Cell::new(0),
        wanted: Cell::new(false),
        taken: Cell::new(0),
        taken_at: Cell::new(Instant::now()),
        changed: Notify::new(),
    });
    let (sender, receiver) = mpsc::unbounded_channel();
    let task = tokio::task::spawn_local(read(body, connection, limit, sender, progress.clone()));
    let reading = Reading(task.abort_handle());
    let first = futures::stream::iter(start.into_iter().map(|part| (Ok(Frame::data(part)), 0)));
    let source = (receiver, reading, Rc::clone(&progress));
    let rest = futures::stream::unfold(source, |(mut receiver, reading, progress)| async move {
        progress.request();
        let next: Queued = receiver.recv().await?;
        progress.wanted.set(false);
        Some((next, (receiver, reading, progress)))
    });
    let all = first.chain(rest).map(move |(frame, bytes)| {
        let length = frame.as_ref().ok().and_then(Frame::data_ref);
        progress.take(bytes.max(length.map_or(0, Bytes::len)));
        frame
    });
    Box::pin(StreamBody::new(all))
}

/// Reads a body into a queue until its end or the limit, and closes the connection.
async fn read(
    mut body: Incoming,
    connection: Connection,
    limit: Limit,
    queue: mpsc::UnboundedSender<Queued>,
    progress: Rc<Progress>,
) {
    let mut delay = Duration::ZERO;
    let (error, failed): (BodyError, bool) = loop {
        let before = Instant::now();
        if !wait_for_room(&limit, &progress).await {
            break ("the caller did not take the response in time".into(), false);
        }
        delay += before.elapsed();
        if limit.endless.is_some_and(|latest| Instant::now() >= latest) {
            break ("the response has no end".into(), true);
        }
        let frame = connection.next_frame(&mut body);
        let frame = match tokio::time::timeout_at(limit.server_end(delay), frame).await {
            Ok(None) => return,
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => break (Box::new(error), true),
            Err(_) => break ("the response did not end in time".into(), true),
        };
        let (frame, bytes) = reserve(frame, &limit.memory);
        progress.queued.set(progress.queued.get() + bytes);
        if queue.send((Ok(frame), bytes)).is_err() {
            return;
        }
    };
    limit.cut(&error, failed);
    // The caller is gone if it is not received.
    let _ = queue.send((Err(error), 0));
}

/// Waits until the next frame may be read; returns `false` if the caller did not make room in time.
async fn wait_for_room(limit: &Limit, progress: &Progress) -> bool {
    loop {
        let queued = progress.queued.get();
        let memory_left = limit.memory.left() >= READ_AHEAD_BYTES;
        // Without memory a frame is read when it is wanted.
        if (queued == 0 && progress.wanted.get()) || (queued < READ_AHEAD_BYTES && memory_left) {
            return true;
        }
        let end = limit.caller_end(progress);
        let changed = progress.changed.notified();
        if tokio::time::timeout_at(end, changed).await.is_err()
            && Instant::now() >= limit.caller_end(progress)
        {
            return false;
        }
    }
}

/// Reserves memory for a frame, as far as there is some, until its bytes are written.
fn reserve(frame: Frame<Bytes>, memory: &Arc<Memory>) -> (Frame<Bytes>, usize) {
    let data = match frame.into_data() {
        Ok(data) => data,
        Err(trailers) => return (trailers, FRAME_BYTES),
    };
    let bytes = data.len() + FRAME_BYTES;
    let mut reservation = Reservation::new(Arc::clone(memory));
    let data = if reservation.grow_to(bytes) {
        reservation.keep_for(data)
    } else {
        data
    };
    (Frame::data(data), bytes)
}
