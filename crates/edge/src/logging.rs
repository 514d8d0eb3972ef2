//! Non-blocking logger to standard output.
//!
//! Lines pass through a bounded queue to a writer thread. If the reader of standard output stalls
//! or a burst exceeds the queue, lines are dropped, and the next batch reports how many.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of lines that wait for the writer.
const QUEUE_LINES: usize = 2_048;
/// Time for which the writer collects lines into one write.
const BATCH_TIME: Duration = Duration::from_millis(100);
/// Period in which a [`Limiter`] counts lines.
const LIMIT_PERIOD: Duration = Duration::from_secs(1);

/// Queues log lines for the writer thread; never blocks.
pub struct Queue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Limits the lines of one event.
pub struct Limiter {
    lines_per_s: u32,
    since: Option<Instant>,
    lines: u32,
    dropped: u64,
}

impl Limiter {
    /// Creates a limiter for a number of lines in a second.
    #[must_use]
    pub const fn new(lines_per_s: u32) -> Self {
        Self {
            lines_per_s,
            since: None,
            lines: 0,
            dropped: 0,
        }
    }

    /// Returns how many lines were dropped since the last one if another may be written, or else
    /// counts it as dropped.
    pub fn allow(&mut self, now: Instant) -> Option<u64> {
        let fresh = self
            .since
            .is_none_or(|since| now.saturating_duration_since(since) >= LIMIT_PERIOD);
        if fresh {
            self.since = Some(now);
            self.lines = 0;
        }
        if self.lines >= self.lines_per_s {
            self.dropped += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Starts the writer thread and routes the `log` macros to it.
///
/// # Errors
///
/// Returns an error if the writer thread cannot be started.
pub fn start(level: log::LevelFilter) -> io::Result<()> {
    let (lines, waiting) = sync_channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = Queue {
        lines,
        dropped: Arc::clone(&dropped),
    };
    std::thread::Builder::new()
        .name("journal".to_owned())
        .stack_size(64 * 1024)
        .spawn(move || write(&waiting, &dropped))?;
    env_logger::Builder::new()
        .filter_level(level)
        .format(|out, record| writeln!(out, "level={} {}", record.level(), record.args()))
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .init();
    Ok(())
}

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut batch = Vec::new();
    while let Ok(line) = waiting.recv() {
        batch.clear();
        batch.extend_from_slice(&line);
        std::thread::sleep(BATCH_TIME);
        batch.extend(waiting.try_iter().flatten());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!("level=WARN event=log-dropped lines={lost}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // An error of standard output itself cannot be reported anywhere.
        let _ = io::stdout().lock().write_all(&batch);
    }
}
