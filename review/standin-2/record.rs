//! What the stand-ins saw, with the time since the start in milliseconds.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Self { began: Instant::now(), file })
    }

    pub fn ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{:>7} {text}", self.began.elapsed().as_millis());
    }

    /// Notes what belongs to the summary, and prints it too.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
        let _ = self.file.lock().expect("record").flush();
    }
}
