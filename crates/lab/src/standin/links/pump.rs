//! One direction of one connection: a delay line between two sockets.
//!
//! The delay is counted from the time at which a part was read, so that a delayed link carries
//! many parts at once. The timer's resolution is one millisecond; shorter delays are rounded up.

use std::io;
use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

use super::fault::Direction;
use super::link::Link;

/// Room that is made for a part, in bytes.
const PART_BYTES: usize = 16 * 1024;
/// Bytes that are under way in one direction of a connection, at most.
///
/// One part may exceed it by what the buffer had room for.
const WINDOW_BYTES: u32 = 1024 * 1024;

/// What comes out of a socket.
enum Event {
    Bytes(Bytes),
    End,
    Broken(io::Error),
}

impl Event {
    /// Returns the room that it takes in the window, zero for the last event.
    fn size(&self) -> u32 {
        match self {
            Self::Bytes(bytes) => {
                u32::try_from(bytes.len()).map_or(WINDOW_BYTES, |size| size.min(WINDOW_BYTES))
            }
            Self::End | Self::Broken(_) => 0,
        }
    }
}

struct Part {
    exit: Instant,
    event: Event,
    _room: OwnedSemaphorePermit,
}

/// Carries bytes until the end of the stream; `first` were read already.
///
/// # Errors
///
/// The failure of either socket, once everything before it has been carried.
pub async fn carry(
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
    sender: mpsc::UnboundedSender<Part>,
) {
    let mut buffer = BytesMut::from(first);
    let mut exit = Instant::now();
    let window = Arc::new(Semaphore::new(WINDOW_BYTES as usize));
    loop {
        let event = if buffer.is_empty() {
            buffer.reserve(PART_BYTES);
            next(&mut from, &mut buffer).await
        } else {
            Event::Bytes(buffer.split().freeze())
        };
        exit = exit.max(link.exit_time());
        let size = event.size();
        let Ok(room) = Arc::clone(&window).acquire_many_owned(size).await else {
            return;
        };
        let part = Part {
            exit,
            event,
            _room: room,
        };
        if sender.send(part).is_err() || size == 0 {
            return;
        }
    }
}

async fn next(from: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> Event {
    match from.read_buf(buffer).await {
        Ok(0) => Event::End,
        Ok(_) => Event::Bytes(buffer.split().freeze()),
        Err(error) => Event::Broken(error),
    }
}

async fn write(
    link: &Link,
    direction: Direction,
    mut receiver: mpsc::UnboundedReceiver<Part>,
    mut to: impl AsyncWrite + Unpin,
) -> io::Result<()> {
    while let Some(part) = receiver.recv().await {
        if part.exit > Instant::now() {
            tokio::time::sleep_until(part.exit).await;
        }
        link.open(direction).await;
        match part.event {
            Event::Bytes(bytes) => {
                link.shared.way(direction).pass(bytes.len()).await;
                to.write_all(&bytes).await?;
                link.count(direction, bytes.len());
            }
            Event::End => return to.shutdown().await,
            Event::Broken(error) => return Err(error),
        }
    }
    Ok(())
}
