//! One direction of one connection: a delay line between two sockets.
//!
//! The delay is counted from the time at which a part was read, so that a delayed link carries
//! many parts at once. The timer's resolution is one millisecond; shorter delays are rounded up.

use std::io;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::fault::Direction;
use super::link::Link;

/// Room that is made for a part, in bytes.
const PART_BYTES: usize = 16 * 1024;
/// Parts that are under way in one direction of a connection, at most.
const PARTS: usize = 64;

/// What comes out of a socket.
enum Event {
    Bytes(Bytes),
    End,
    Broken(io::Error),
}

struct Part {
    exit: Instant,
    event: Event,
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
    let (sender, receiver) = mpsc::channel(PARTS);
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
    sender: mpsc::Sender<Part>,
) {
    let mut buffer = BytesMut::from(first);
    let mut exit = Instant::now();
    loop {
        let event = if buffer.is_empty() {
            buffer.reserve(PART_BYTES);
            next(&mut from, &mut buffer).await
        } else {
            Event::Bytes(buffer.split().freeze())
        };
        let last = !matches!(event, Event::Bytes(_));
        exit = exit.max(link.exit_time());
        if sender.send(Part { exit, event }).await.is_err() || last {
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
    mut receiver: mpsc::Receiver<Part>,
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
