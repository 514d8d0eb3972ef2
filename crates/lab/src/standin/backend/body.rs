//! Deterministic bodies of answers, streamed without a copy.
//!
//! Byte `i` is `(hash + i) mod 251`, so any part of any body is a part of one short table, and a
//! receiver can tell a lost, doubled or foreign part. 251 is a prime, so no buffer size repeats
//! the pattern.

use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, Stream};
use tokio::sync::OwnedSemaphorePermit;
use volo_http::body::Body;
use volo_http::hyper::body::Frame;
use xxhash_rust::xxh3::xxh3_64;

/// Length of the pattern.
const PERIOD: u64 = 251;
/// Length of a part that is handed to the connection at a time.
const PART: u64 = 64 * 1024;
/// Time for which half an answer stands before its connection is closed.
const HALF_PAUSE: Duration = Duration::from_millis(20);

static TABLE: LazyLock<Bytes> = LazyLock::new(|| {
    let table: Vec<u8> = (0..PERIOD + PART)
        .map(|i| u8::try_from(i % PERIOD).unwrap_or_default())
        .collect();
    Bytes::from(table)
});

/// Body of one answer, which holds its slot until it is sent or dropped.
struct Answer {
    /// Position in the pattern of the next byte.
    phase: u64,
    /// Bytes that are still to be sent.
    left: u64,
    /// Whether the body fails when nothing is left.
    fails: bool,
    _slot: OwnedSemaphorePermit,
}

/// Returns the body of an answer to a request, `length` bytes long.
///
/// With `half`, the body fails after half its length, which closes the connection.
pub fn answer(request: &str, length: u64, half: bool, slot: OwnedSemaphorePermit) -> Body {
    let answer = Answer {
        phase: xxh3_64(request.as_bytes()) % PERIOD,
        left: if half { length / 2 } else { length },
        fails: half,
        _slot: slot,
    };
    Body::from_stream(parts(answer))
}

type Part = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

fn parts(answer: Answer) -> impl Stream<Item = Part> + Send + Sync + 'static {
    stream::unfold(answer, |mut answer| async move {
        let length = answer.left.min(PART);
        if length > 0 {
            let part = answer.next(length);
            return Some((Ok(Frame::data(part)), answer));
        }
        if !answer.fails {
            return None;
        }
        answer.fails = false;
        tokio::time::sleep(HALF_PAUSE).await;
        Some((Err("half answer on order".into()), answer))
    })
}

impl Answer {
    fn next(&mut self, length: u64) -> Bytes {
        let start = usize::try_from(self.phase).unwrap_or_default();
        let end = start + usize::try_from(length).unwrap_or_default();
        self.phase = (self.phase + length) % PERIOD;
        self.left -= length;
        TABLE.slice(start..end)
    }
}
