//! The record file, to which each run appends a line at its start and one at its end.

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
    /// The run has started.
    Started,
    /// The work has taken effect.
    Committed,
    /// The caller disconnected; the work has no effect.
    Cancelled,
    /// The work was aborted because of its deadline or grant; it has no effect.
    Aborted,
}

/// One line of the record file.
#[derive(Debug, Serialize)]
pub struct Line<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Name of the backend server.
    pub backend: &'a str,
    /// Identifier of the process instance.
    pub instance: &'a str,
    /// Key of the work.
    pub key: &'a str,
    /// Identifier of the request.
    pub request: &'a str,
    /// Identifier of the effect, if the caller sent one.
    pub effect_id: Option<&'a str>,
    /// Start of the run, `CLOCK_MONOTONIC` in microseconds.
    pub start_us: u64,
    /// End of the run in the same unit; absent while it runs.
    pub end_us: Option<u64>,
    /// State of the run.
    pub state: State,
    /// Whether the response is truncated by an injected fault.
    pub halved: bool,
}

/// Appends lines to the record file.
#[derive(Debug)]
pub struct Recorder(Mutex<File>);

impl Recorder {
    /// Opens a record file for appending, and creates it when it does not exist.
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

    /// Appends a line with one write, so that killing the process leaves no partial line.
    ///
    /// The process exits when the write fails, because the lab relies on a record without gaps.
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
