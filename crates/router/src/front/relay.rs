//! Relays response bodies to callers with bounded memory and idle timeouts.
//!
//! A separate task reads the sender's body into a short queue, so a caller that never reads
//! occupies only a few chunks of memory and is disconnected after the timeout. A truncated body ends with an
//! error, which closes the caller's connection: the caller cannot mistake a part for the whole.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use crate::connections::{ActiveRequest, ConnectionRef};
use crate::shared::{IdleTimeout, InFlight};

/// Maximum number of chunks queued for the caller.
const QUEUE_CAPACITY: usize = 4;

/// Error that ends a body early.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body that is being relayed to the caller.
pub struct Chunks {
    queue: mpsc::Receiver<Result<Bytes, BoxError>>,
    length: Option<u64>,
    connection: Arc<OnceLock<ConnectionRef>>,
}

/// Counts a request as running until its response is fully relayed.
pub struct RequestGuard {
    connection: ConnectionRef,
    _in_flight: InFlight,
    _active_request: ActiveRequest,
}

impl RequestGuard {
    /// Counts a request as running, both in the process and on its connection.
    #[must_use]
    pub fn new(in_flight: InFlight, connection: ConnectionRef) -> Self {
        Self {
            _in_flight: in_flight,
            _active_request: connection.begin_request(),
            connection,
        }
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole body was passed to the caller's connection.
    Complete,
    /// The sender closed the body early or was idle for too long, or the relay was aborted.
    Truncated,
    /// The caller disconnected or read nothing for too long.
    CallerGone,
}

/// Error by which the caller learns that a body is truncated.
#[derive(Debug, thiserror::Error)]
#[error("step=relay: the response body is truncated")]
struct TruncatedBody;

/// Starts to relay a body; `ended` is called with how the body ended.
pub fn start<F>(body: Body, idle: IdleTimeout, abort: CancellationToken, ended: F) -> Chunks
where
    F: FnOnce(End) + Send + 'static,
{
    use http_body::Body as _;
    let length = body.size_hint().exact();
    let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
    let connection = Arc::<OnceLock<ConnectionRef>>::default();
    let caller_connection = Arc::clone(&connection);
    tokio::spawn(async move {
        let end = pump(body, length, &idle, &abort, &sender).await;
        ended(end);
        let delivered = match end {
            End::Complete => true,
            End::CallerGone => sender.is_closed(),
            End::Truncated => send_error(&sender, &idle).await,
        };
        if !delivered && let Some(connection) = caller_connection.get() {
            connection.close();
        }
    });
    Chunks {
        queue,
        length,
        connection,
    }
}

/// Ends a body with an error; returns whether the caller received it before the timeout.
async fn send_error(sender: &mpsc::Sender<Result<Bytes, BoxError>>, idle: &IdleTimeout) -> bool {
    tokio::select! {
        _ = sender.send(Err(Box::new(TruncatedBody) as BoxError)) => true,
        () = idle.elapsed() => false,
    }
}

/// Copies the body into the queue until it ends or the caller is gone.
async fn pump(
    mut body: Body,
    mut remaining: Option<u64>,
    idle: &IdleTimeout,
    abort: &CancellationToken,
    sender: &mpsc::Sender<Result<Bytes, BoxError>>,
) -> End {
    loop {
        // The server drops a body as soon as its declared length is sent, so the end of the
        // sender's body is polled before the closing of the caller's queue.
        let frame = tokio::select! {
            biased;
            () = abort.cancelled() => return End::Truncated,
            frame = body.frame() => frame,
            () = sender.closed() => return end_after_close(remaining),
            () = idle.elapsed() => return End::Truncated,
        };
        let frame = match frame {
            None => return End::Complete,
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return End::Truncated,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        remaining = remaining.map(|remaining| remaining.saturating_sub(bytes.len() as u64));
        let sent = tokio::select! {
            sent = sender.send(Ok(bytes)) => sent.is_ok(),
            () = idle.elapsed() => false,
        };
        if !sent {
            return End::CallerGone;
        }
    }
}

/// Returns how a body ended whose receiver was dropped with `remaining` bytes outstanding.
fn end_after_close(remaining: Option<u64>) -> End {
    if remaining == Some(0) {
        End::Complete
    } else {
        End::CallerGone
    }
}

impl Chunks {
    /// Converts into an HTTP body, which holds `guard` until it is dropped.
    #[must_use]
    pub fn into_body(self, guard: RequestGuard) -> Body {
        let _ = self.connection.set(guard.connection.clone());
        Body::from_body(Outgoing {
            chunks: self,
            _guard: guard,
            done: false,
        })
    }
}

/// HTTP body that counts its request as running until it is dropped.
struct Outgoing {
    chunks: Chunks,
    _guard: RequestGuard,
    done: bool,
}

impl http_body::Body for Outgoing {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, BoxError>>> {
        let next = self.chunks.queue.poll_recv(cx);
        if let Poll::Ready(None) = next {
            self.done = true;
        }
        next.map(|item| item.map(|bytes| bytes.map(http_body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.done
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self.chunks.length {
            Some(length) => http_body::SizeHint::with_exact(length),
            None => http_body::SizeHint::default(),
        }
    }
}
