//! One run of the work of one request.
//!
//! The run is owned by the future that handles the request. The server drops that future when the
//! caller closes the connection, and the run then records that it was cancelled.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::request::Parts;
use tarragon_model::fence::Fence;
use tokio::time::Instant;

use super::grant::Refusal;
use super::record::{self, Line};
use super::state::State;
use crate::standin::{clock, message};

/// One attempt at a request: the work to do and the conditions under which it may run.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Key of the work.
    pub key: String,
    /// Identifier of the request.
    pub request: String,
    /// Identifier of the effect.
    pub effect_id: Option<String>,
    /// Shard for which the sender is leader.
    pub shard: Option<String>,
    /// Fence of the sender.
    pub fence: Option<Fence>,
    /// Time by which the work must be complete.
    pub deadline: Option<Instant>,
    /// Duration of the work at speed 1, in microseconds.
    pub work_us: u64,
    /// Length of the response body, in bytes.
    pub bytes: u64,
    /// Whether the work crashes the process.
    pub poison: bool,
}

impl Attempt {
    /// Reads an attempt from the head of a request.
    ///
    /// Without headers, the key is the second segment of the path and the request identifier is
    /// the whole path.
    pub fn read(head: &Parts) -> Self {
        let headers = &head.headers;
        let path = head.uri.path();
        let deadline = header(headers, "tarragon-deadline-ms").and_then(|text| text.parse().ok());
        Self {
            key: header(headers, "tarragon-key")
                .or_else(|| path.split('/').nth(2))
                .unwrap_or_default()
                .to_owned(),
            request: header(headers, "tarragon-request")
                .unwrap_or(path)
                .to_owned(),
            effect_id: header(headers, "idempotency-key").map(str::to_owned),
            shard: header(headers, "tarragon-shard").map(str::to_owned),
            fence: header(headers, "tarragon-fence").and_then(Fence::parse),
            deadline: deadline
                .and_then(|millis| Instant::now().checked_add(Duration::from_millis(millis))),
            work_us: message::query_number(&head.uri, "work_us").unwrap_or_default(),
            bytes: message::query_number(&head.uri, "bytes").unwrap_or_default(),
            poison: message::query_number(&head.uri, "poison") == Some(1),
        }
    }

    /// Returns the time until the deadline, zero when it has passed.
    pub fn time_left(&self) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Returns whether the deadline has passed.
    pub fn is_past_deadline(&self) -> bool {
        self.time_left() == Some(Duration::ZERO)
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Run whose start and end are each recorded exactly once.
pub struct Run {
    state: Arc<State>,
    attempt: Attempt,
    start_us: u64,
    ended: bool,
    halved: bool,
}

impl Run {
    /// Starts a run and records it.
    pub fn start(state: Arc<State>, attempt: Attempt) -> Self {
        let run = Self {
            state,
            attempt,
            start_us: clock::micros(),
            ended: false,
            halved: false,
        };
        run.append(None, record::State::Started);
        run
    }

    /// Commits the work, or aborts it when its grant has expired or been superseded.
    ///
    /// `halved` records that the response will be truncated.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the work was aborted; it then has no effect.
    pub fn commit(mut self, halved: bool) -> Result<(), Refusal> {
        self.halved = halved;
        match self.state.check(&self.attempt) {
            Ok(()) => {
                self.end(record::State::Committed);
                Ok(())
            }
            Err(refusal) => {
                self.end(record::State::Aborted);
                Err(refusal)
            }
        }
    }

    /// Aborts the work.
    pub fn abort(mut self) {
        self.end(record::State::Aborted);
    }

    fn end(&mut self, state: record::State) {
        self.ended = true;
        self.append(Some(clock::micros()), state);
    }

    fn append(&self, end_us: Option<u64>, state: record::State) {
        let time_us = end_us.map_or(0, |end| end.saturating_sub(self.start_us));
        self.state.stats().count(state, time_us);
        self.state.recorder.append(&Line {
            service: &self.state.options.service,
            backend: &self.state.options.id,
            instance: &self.state.instance,
            key: &self.attempt.key,
            request: &self.attempt.request,
            effect_id: self.attempt.effect_id.as_deref(),
            start_us: self.start_us,
            end_us,
            state,
            halved: self.halved,
        });
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if !self.ended {
            self.end(record::State::Cancelled);
        }
    }
}
