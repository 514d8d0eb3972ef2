//! Deterministic response bodies, streamed without copying.
//!
//! Byte `i` is `(hash + i) mod 251`, with the hash of the request identifier. Every chunk of every
//! body is thus a slice of one short table, and a receiver detects chunks that are missing,
//! duplicated or belong to another response. 251 is an odd prime, so the usual buffer sizes, such
//! as powers of two, are not multiples of the period.

use std::sync::LazyLock;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, Stream};
use tokio::sync::OwnedSemaphorePermit;
use volo_http::body::Body;
use volo_http::hyper::body::Frame;
use xxhash_rust::xxh3::xxh3_64;

/// Period of the byte pattern.
const PATTERN_BYTES: u64 = 251;
/// Maximum size of a chunk that is handed to the connection.
const CHUNK_BYTES: u64 = 64 * 1024;
/// Delay between the last chunk of a truncated body and the close of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

static PATTERN: LazyLock<Bytes> = LazyLock::new(|| {
    let table: Vec<u8> = (0..PATTERN_BYTES + CHUNK_BYTES)
        .map(|i| u8::try_from(i % PATTERN_BYTES).unwrap_or_default())
        .collect();
    Bytes::from(table)
});

/// Generates the body of one response and holds its slot until it is sent or dropped.
struct Generator {
    /// Position of the next byte in the pattern.
    position: u64,
    /// Bytes left to send.
    remaining: u64,
    /// Whether the body fails at its end.
    truncated: bool,
    _slot: OwnedSemaphorePermit,
}

/// Returns the response body for a request identifier, `length` bytes long.
///
/// With `truncate`, the body fails after half its length, which closes the connection.
pub fn generate(request: &str, length: u64, truncate: bool, slot: OwnedSemaphorePermit) -> Body {
    let generator = Generator {
        position: xxh3_64(request.as_bytes()) % PATTERN_BYTES,
        remaining: if truncate { length / 2 } else { length },
        truncated: truncate,
        _slot: slot,
    };
    Body::from_stream(chunks(generator))
}

type Chunk = Result<Frame<Bytes>, Box<dyn std::error::Error + Send + Sync>>;

fn chunks(generator: Generator) -> impl Stream<Item = Chunk> + Send + Sync + 'static {
    stream::unfold(generator, |mut generator| async move {
        let length = generator.remaining.min(CHUNK_BYTES);
        if length > 0 {
            let chunk = generator.next(length);
            return Some((Ok(Frame::data(chunk)), generator));
        }
        if !generator.truncated {
            return None;
        }
        generator.truncated = false;
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Some((
            Err("response truncated by an injected fault".into()),
            generator,
        ))
    })
}

impl Generator {
    fn next(&mut self, length: u64) -> Bytes {
        let start = usize::try_from(self.position).unwrap_or_default();
        let end = start + usize::try_from(length).unwrap_or_default();
        self.position = (self.position + length) % PATTERN_BYTES;
        self.remaining -= length;
        PATTERN.slice(start..end)
    }
}
