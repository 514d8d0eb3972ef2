//! Lines of the record file, one at the start and one at the end of each run.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

use crate::standin::error::Error;

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The work has started.
    Started,
    /// The work has taken effect.
    Committed,
    /// The caller went away; the work has no effect.
    Cancelled,
    /// The work was given up, for the deadline or the grant; it has no effect.
    Aborted,
}

/// One line of the record file.
#[derive(Debug, Serialize)]
pub struct Line<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Name of the backend server.
    pub backend: &'a str,
    /// Run of the process.
    pub instance: &'a str,
    /// Key of the work.
    pub key: &'a str,
    /// Identifier of the request.
    pub request: &'a str,
    /// Identifier of the effect, if the caller gave one.
    pub effect_id: Option<&'a str>,
    /// Start of the work, `CLOCK_MONOTONIC` in microseconds.
    pub start_us: u64,
    /// End of the work in the same unit; absent while it runs.
    pub end_us: Option<u64>,
    /// State of the run.
    pub state: State,
    /// Whether the answer is broken off on purpose.
    pub halved: bool,
}

/// Record file, open for appending.
#[derive(Debug)]
pub struct Recorder(Mutex<File>);

impl Recorder {
    /// Opens a record file, which may exist.
    ///
    /// # Errors
    ///
    /// [`Error::Io`] when the file cannot be opened.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let object = path.display().to_string();
        let file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .map_err(Error::io("open", &object))?;
        Ok(Self(Mutex::new(file)))
    }

    /// Appends a line with one write, so that a kill leaves no half line.
    ///
    /// A record that cannot be written ends the process: the lab must not trust a file with gaps.
    pub fn append(&self, line: &Line<'_>) {
        let Ok(mut text) = serde_json::to_vec(line) else {
            return;
        };
        text.push(b'\n');
        let mut file = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(&text).and_then(|()| file.flush()) {
            log::error!("event=record-failed error=\"{error}\"");
            std::process::exit(1);
        }
    }
}
