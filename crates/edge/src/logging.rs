//! Log lines to standard output, bounded and never waited for.
//!
//! Lines go through a bounded ring to a thread of their own. When its reader stalls or a burst is
//! larger than the ring, lines are dropped, and the next line that gets through tells how many.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// Lines that wait for the writer at most.
const RING: usize = 2_048;
/// Pause of the writer, in which lines gather into one write.
const GATHER: Duration = Duration::from_millis(100);

/// Sends log lines to the writer's thread.
pub struct Ring {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Starts the writer and directs the `log` macros to it.
///
/// # Errors
///
/// When the writer's thread cannot be started.
pub fn start(level: log::LevelFilter) -> io::Result<()> {
    let (lines, waiting) = sync_channel(RING);
    let dropped = Arc::new(AtomicU64::new(0));
    let ring = Ring {
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
        .target(env_logger::Target::Pipe(Box::new(ring)))
        .init();
    Ok(())
}

impl Write for Ring {
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
        std::thread::sleep(GATHER);
        batch.extend(waiting.try_iter().flatten());
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!("level=WARN event=log-dropped lines={lost}\n");
            batch.extend_from_slice(note.as_bytes());
        }
        // Nobody is left to tell when standard output itself fails.
        let _ = io::stdout().lock().write_all(&batch);
    }
}
