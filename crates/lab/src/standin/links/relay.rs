//! Copies one direction of a connection from one socket to another, with a delay.
//!
//! The delay starts when a chunk is read, so that many chunks can be in transit at a time. The
//! timer has a resolution of one millisecond; shorter delays are rounded up.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

use super::fault::Direction;
use super::link::Link;

/// Buffer space reserved for reading a chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes in transit in one direction of a connection.
///
/// A chunk is read before it gets its share of this limit, so one more chunk may be in memory.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// Result of reading from a socket.
enum Event {
    Bytes(Bytes),
    End,
    Failed(io::Error),
}

impl Event {
    /// Returns the number of bytes it occupies in the window, zero for the last event.
    fn size(&self) -> u32 {
        match self {
            Self::Bytes(bytes) => {
                u32::try_from(bytes.len()).map_or(WINDOW_BYTES, |size| size.min(WINDOW_BYTES))
            }
            Self::End | Self::Failed(_) => 0,
        }
    }
}

struct Chunk {
    deliver_at: Instant,
    event: Event,
    _permit: OwnedSemaphorePermit,
}

/// Copies bytes until the end of the stream, starting with `first`, which were read before.
///
/// # Errors
///
/// The error of either socket; a read error is returned after the bytes before it are written.
pub async fn copy(
    link: &Link,
    direction: Direction,
    first: Bytes,
    from: impl AsyncRead + Unpin,
    to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    let (sender, receiver) = mpsc::unbounded_channel();
    let reading = read(link, first, from, sender);
    let writing = write(link, direction, receiver, to);
    tokio::pin!(writing);
    tokio::select! {
        biased;
        written = &mut writing => written,
        () = reading => writing.await,
    }
}

async fn read(
    link: &Link,
    first: Bytes,
    mut from: impl AsyncRead + Unpin,
    sender: mpsc::UnboundedSender<Chunk>,
) {
    let mut buffer = BytesMut::from(first);
    let mut deliver_at = Instant::now();
    let window = Arc::new(Semaphore::new(WINDOW_BYTES as usize));
    loop {
        let event = if buffer.is_empty() {
            buffer.reserve(CHUNK_BYTES);
            next(&mut from, &mut buffer).await
        } else {
            Event::Bytes(buffer.split().freeze())
        };
        deliver_at = deliver_at.max(link.delivery_time());
        let size = event.size();
        let Ok(permit) = Arc::clone(&window).acquire_many_owned(size).await else {
            return;
        };
        let chunk = Chunk {
            deliver_at,
            event,
            _permit: permit,
        };
        if sender.send(chunk).is_err() || size == 0 {
            return;
        }
    }
}

async fn next(from: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> Event {
    match from.read_buf(buffer).await {
        Ok(0) => Event::End,
        Ok(_) => Event::Bytes(buffer.split().freeze()),
        Err(error) => Event::Failed(error),
    }
}

async fn write(
    link: &Link,
    direction: Direction,
    mut receiver: mpsc::UnboundedReceiver<Chunk>,
    mut to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    while let Some(chunk) = receiver.recv().await {
        if chunk.deliver_at > Instant::now() {
            tokio::time::sleep_until(chunk.deliver_at).await;
        }
        link.wait_open(direction).await;
        match chunk.event {
            Event::Bytes(bytes) => {
                link.shared.limiter(direction).acquire(bytes.len()).await;
                to.write_all(&bytes).await?;
                link.count(direction, bytes.len());
            }
            Event::End => return to.shutdown().await,
            Event::Failed(error) => return Err(error),
        }
    }
    Ok(())
}
