//! Passing the body of an answer on, with bounded memory and bounded patience.
//!
//! A task of its own reads the sender's body into a short queue. So a caller that never reads
//! holds a few chunks of memory, and is cut off after a while. A body that breaks off ends with an
//! error, which closes the caller's connection: the caller cannot take a part for the whole.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use volo_http::body::Body;

use crate::connections::{Caller, Visit};
use crate::shared::{InFlight, Patience};

/// Chunks that may wait for the caller.
const QUEUE: usize = 4;

/// Error that ends a body early.
type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A body on its way to the caller.
pub struct Chunks {
    queue: mpsc::Receiver<Result<Bytes, BoxError>>,
    length: Option<u64>,
    caller: Arc<OnceLock<Caller>>,
}

/// Counts a request as running until its answer was passed on.
pub struct Guard {
    caller: Caller,
    _in_flight: InFlight,
    _visit: Visit,
}

impl Guard {
    /// Counts a request for the process and for the connection that it came over.
    #[must_use]
    pub fn new(in_flight: InFlight, caller: Caller) -> Self {
        Self {
            _in_flight: in_flight,
            _visit: caller.visit(),
            caller,
        }
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole body was handed to the caller's connection.
    Whole,
    /// The sender broke off, or sent nothing for too long.
    Cut,
    /// The caller went away, or read nothing for too long.
    CallerGone,
}

/// Why a body was cut.
#[derive(Debug, thiserror::Error)]
#[error("step=relay: the answer broke off")]
struct Broken;

/// Starts to pass a body on; `ended` is told how it ended.
pub fn start<F>(body: Body, idle: Patience, abort: CancellationToken, ended: F) -> Chunks
where
    F: FnOnce(End) + Send + 'static,
{
    use http_body::Body as _;
    let length = body.size_hint().exact();
    let (sender, queue) = mpsc::channel(QUEUE);
    let caller = Arc::<OnceLock<Caller>>::default();
    let reader = Arc::clone(&caller);
    tokio::spawn(async move {
        let end = pump(body, length, &idle, &abort, &sender).await;
        ended(end);
        let taken = match end {
            End::Whole => true,
            End::CallerGone => sender.is_closed(),
            End::Cut => break_off(&sender, &idle).await,
        };
        if !taken && let Some(caller) = reader.get() {
            caller.cut();
        }
    });
    Chunks {
        queue,
        length,
        caller,
    }
}

/// Ends a body with an error; tells whether the caller took it.
async fn break_off(sender: &mpsc::Sender<Result<Bytes, BoxError>>, idle: &Patience) -> bool {
    tokio::select! {
        _ = sender.send(Err(Box::new(Broken) as BoxError)) => true,
        () = idle.ends() => false,
    }
}

async fn pump(
    mut body: Body,
    mut left: Option<u64>,
    idle: &Patience,
    abort: &CancellationToken,
    sender: &mpsc::Sender<Result<Bytes, BoxError>>,
) -> End {
    loop {
        // The server drops a body as soon as its declared length was passed on, so the end of the
        // sender's body is looked at before the end of the caller's interest.
        let frame = tokio::select! {
            biased;
            () = abort.cancelled() => return End::Cut,
            frame = body.frame() => frame,
            () = sender.closed() => return gone(left),
            () = idle.ends() => return End::Cut,
        };
        let frame = match frame {
            None => return End::Whole,
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return End::Cut,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        left = left.map(|left| left.saturating_sub(bytes.len() as u64));
        let sent = tokio::select! {
            sent = sender.send(Ok(bytes)) => sent.is_ok(),
            () = idle.ends() => false,
        };
        if !sent {
            return End::CallerGone;
        }
    }
}

/// Tells how a body ended whose receiver was dropped with `left` bytes to come.
fn gone(left: Option<u64>) -> End {
    if left == Some(0) {
        End::Whole
    } else {
        End::CallerGone
    }
}

impl Chunks {
    /// Makes the body of an HTTP answer.
    #[must_use]
    pub fn into_body(self, guard: Guard) -> Body {
        let _ = self.caller.set(guard.caller.clone());
        Body::from_body(Outgoing {
            chunks: self,
            _guard: guard,
            done: false,
        })
    }
}

/// Body that counts as in flight until it is dropped.
struct Outgoing {
    chunks: Chunks,
    _guard: Guard,
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
