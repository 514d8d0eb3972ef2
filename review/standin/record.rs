//! The record of a case: one line for each thing that clients, servers or the platform saw.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Instant, Mutex<BufWriter<File>>)> = OnceLock::new();

pub fn open(path: &Path) {
    let file = File::create(path).expect("record.txt can be written");
    let _ = RECORD.set((Instant::now(), Mutex::new(BufWriter::new(file))));
}

/// Returns the time since the case began, in milliseconds.
pub fn now_ms() -> u64 {
    RECORD.get().map_or(0, |(start, _)| start.elapsed().as_millis() as u64)
}

/// Writes a line with the time in milliseconds.
pub fn note(text: &str) {
    if let Some((start, file)) = RECORD.get() {
        let mut file = file.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", start.elapsed().as_millis());
    }
}

pub fn flush() {
    if let Some((_, file)) = RECORD.get() {
        let _ = file.lock().unwrap().flush();
    }
}

pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D)
    }

    /// Returns a number from 0 up to, but not including, `end`.
    pub fn below(&mut self, end: u64) -> u64 {
        (self.next() >> 11) % end.max(1)
    }

}
