//! One run of the work of one request.
//!
//! The run belongs to the future that answers the request. The server drops that future when the
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
use crate::standin::{clock, reply};

/// Work as the request asks for it.
#[derive(Clone, Debug)]
pub struct Order {
    /// Key of the work.
    pub key: String,
    /// Identifier of the request.
    pub request: String,
    /// Identifier of the effect.
    pub effect_id: Option<String>,
    /// Shard of the sender.
    pub shard: Option<String>,
    /// Fence of the sender.
    pub fence: Option<Fence>,
    /// Time by which the work must have ended.
    pub deadline: Option<Instant>,
    /// Length of the work at speed 1, in microseconds.
    pub work_us: u64,
    /// Length of the answer, in bytes.
    pub bytes: u64,
    /// Whether the work ends the process.
    pub poison: bool,
}

impl Order {
    /// Reads the head of a request.
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
            work_us: reply::number(&head.uri, "work_us").unwrap_or_default(),
            bytes: reply::number(&head.uri, "bytes").unwrap_or_default(),
            poison: reply::number(&head.uri, "poison") == Some(1),
        }
    }

    /// Returns the time left, zero when the deadline has passed.
    pub fn left(&self) -> Option<Duration> {
        self.deadline
            .map(|deadline| deadline.saturating_duration_since(Instant::now()))
    }

    /// Tells whether the deadline has passed.
    pub fn is_late(&self) -> bool {
        self.left() == Some(Duration::ZERO)
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Run whose start is recorded, and whose end is recorded exactly once.
pub struct Run {
    state: Arc<State>,
    order: Order,
    start_us: u64,
    ended: bool,
    halved: bool,
}

impl Run {
    /// Records the start of a run.
    pub fn start(state: Arc<State>, order: Order) -> Self {
        let run = Self {
            state,
            order,
            start_us: clock::micros(),
            ended: false,
            halved: false,
        };
        run.append(None, record::State::Started);
        run
    }

    /// Commits the work, unless its grant has expired or been superseded.
    ///
    /// `halved` records that the answer will be broken off.
    ///
    /// # Errors
    ///
    /// [`Refusal`] when the work was given up; it has no effect then.
    pub fn commit(mut self, halved: bool) -> Result<(), Refusal> {
        self.halved = halved;
        match self.state.check(&self.order) {
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

    /// Gives the work up.
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
            key: &self.order.key,
            request: &self.order.request,
            effect_id: self.order.effect_id.as_deref(),
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
