//! What a run leaves behind for the verdicts: work run, attempts answered, samples taken.
//!
//! All times are microseconds of [`crate::clock`].

use std::collections::{BTreeMap, HashMap};

use serde::Deserialize;

use tarragon_model::outcome::Outcome;
use tarragon_model::record::Record;

use crate::faults::Kind;

/// Stage that one run of work on a backend server reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The work started and no end is known.
    Started,
    /// The work took effect.
    Committed,
    /// The work was cancelled by its sender.
    Cancelled,
    /// The backend server refused to commit the work.
    Aborted,
}

/// One line of a backend server's record file, and the run that the lines add up to.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Work {
    /// Service of the work.
    pub service: String,
    /// Name of the backend server.
    pub backend: String,
    /// Start of the backend server's process.
    pub instance: String,
    /// Key of the work.
    pub key: String,
    /// Request identifier of the attempt.
    pub request: String,
    /// Idempotency key of the caller.
    #[serde(default)]
    pub effect_id: Option<String>,
    /// Start of the work.
    pub start_us: u64,
    /// End of the work.
    #[serde(default)]
    pub end_us: Option<u64>,
    /// Last stage.
    #[serde(rename = "state")]
    pub stage: Stage,
    /// Whether the backend server broke its answer off on purpose.
    #[serde(default)]
    pub halved: bool,
}

impl Work {
    /// Returns the end of the work, or the latest time when none is known.
    #[must_use]
    pub fn end_or_max(&self) -> u64 {
        self.end_us.unwrap_or(u64::MAX)
    }

    /// Describes the run in one line for a breach.
    #[must_use]
    pub fn evidence(&self) -> String {
        let end = self
            .end_us
            .map_or_else(|| "-".to_owned(), |end| end.to_string());
        format!(
            "backend={} instance={} key={} request={} effect={} start_us={} end_us={end} state={:?}",
            self.backend,
            self.instance,
            self.key,
            self.request,
            self.effect_id.as_deref().unwrap_or("-"),
            self.start_us,
            self.stage,
        )
    }
}

/// Time for which one process of a backend server lived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Life {
    /// Name of the backend server.
    pub backend: String,
    /// Time before the process was started.
    pub from_us: u64,
    /// Latest time at which the process is known to have lived.
    pub to_us: u64,
}

/// Merges the lines of record files into runs, each with its last stage.
///
/// A line that does not parse is ignored: a killed process may leave half a line. A `started`
/// line that carries an end is taken as one without.
#[must_use]
pub fn merge<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<Work> {
    let mut works: Vec<Work> = Vec::new();
    let mut index: HashMap<(String, String, u64), usize> = HashMap::new();
    for mut line in lines.filter_map(|line| serde_json::from_str::<Work>(line).ok()) {
        if line.stage == Stage::Started {
            line.end_us = None;
        }
        let id = (line.instance.clone(), line.request.clone(), line.start_us);
        match index.get(&id) {
            Some(at) if line.stage != Stage::Started => works[*at] = line,
            Some(_) => {}
            None => {
                index.insert(id, works.len());
                works.push(line);
            }
        }
    }
    works
}

/// Ends each run without an end when its process ended.
///
/// A process may start work for a moment after the time of its kill was noted; such a run ends
/// when it starts.
pub fn close(works: &mut [Work], lives: &[Life]) {
    let mut by_backend: BTreeMap<&str, Vec<&Life>> = BTreeMap::new();
    for life in lives {
        by_backend.entry(&life.backend).or_default().push(life);
    }
    for work in works.iter_mut().filter(|work| work.end_us.is_none()) {
        let lives = by_backend.get(work.backend.as_str());
        let life = lives.and_then(|lives| latest(lives, work.start_us));
        work.end_us = life.map(|life| life.to_us.max(work.start_us));
    }
}

fn latest<'a>(lives: &[&'a Life], at_us: u64) -> Option<&'a Life> {
    let begun = lives.iter().filter(|life| life.from_us <= at_us);
    begun.max_by_key(|life| life.from_us).copied()
}

/// What became of a caller's attempt, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A whole answer with an outcome header.
    Answered(Outcome),
    /// A whole answer without an outcome header.
    Unmarked,
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The connection broke before the answer was whole.
    Cut,
    /// The caller gave up waiting.
    TimedOut,
    /// The answer was marked as whole but is not the right one.
    Wrong,
}

/// One attempt of a caller that did not end in a right answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Request identifier of the attempt.
    pub request: String,
    /// Service that was called.
    pub service: String,
    /// Key that was called.
    pub key: String,
    /// Host that the caller was sent to.
    pub host: String,
    /// Time at which the attempt started.
    pub start_us: u64,
    /// Time at which the attempt ended.
    pub end_us: u64,
    /// HTTP status, or zero.
    pub status: u16,
    /// How the attempt ended.
    pub ending: Ending,
    /// Reason of the refusal, or what was wrong with the answer.
    pub reason: String,
}

impl Attempt {
    /// Describes the attempt in one line for a breach.
    #[must_use]
    pub fn evidence(&self) -> String {
        format!(
            "request={} service={} key={} host={} start_us={} end_us={} status={} ending={:?} \
             reason={}",
            self.request,
            self.service,
            self.key,
            self.host,
            self.start_us,
            self.end_us,
            self.status,
            self.ending,
            self.reason,
        )
    }
}

/// Answer of one host to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Time at which the request was sent.
    pub sent_us: u64,
    /// Time at which the answer was read.
    pub read_us: u64,
    /// Host that answered.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Version of the configuration that the host knows.
    pub config_version: u64,
    /// Version in force at each shard that the host acts for.
    pub in_force: BTreeMap<String, u64>,
    /// Violations of the program's own invariants.
    pub invariants: BTreeMap<String, u64>,
}

/// Owners of one shard as its acting leader stated them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Time at which the leader was asked.
    pub sent_us: u64,
    /// Time at which the answer was read.
    pub read_us: u64,
    /// Host that answered.
    pub host: String,
    /// Shard.
    pub shard: String,
    /// Fence of the leader.
    pub fence: tarragon_model::fence::Fence,
    /// Owner of each key group.
    pub owners: BTreeMap<u32, String>,
}

/// Change of a shard's record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Time at which the change was read.
    pub at_us: u64,
    /// Shard.
    pub shard: String,
    /// Version of the object.
    pub version: u64,
    /// New value.
    pub record: Record,
}

/// Event of the time line that moves key groups to another owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Shard.
    pub shard: String,
    /// New owner.
    pub to: String,
    /// First and last group that moved, if the event names them.
    pub groups: Option<(u32, u32)>,
}

/// Accepted write of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Version of the store's object.
    pub version: u64,
    /// Time at which the store's answer was read.
    pub at_us: u64,
    /// Latest time by which it must be in force everywhere.
    pub due_us: u64,
}

/// Time for which a host or backend server was leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leave {
    /// Name of the host or backend server.
    pub name: String,
    /// Time at which it was told to leave.
    pub from_us: u64,
    /// Time at which its process had ended, or the end of the run.
    pub to_us: u64,
    /// Whether no other fault was active meanwhile.
    pub alone: bool,
}

/// Time for which a probed key was not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// Service that was probed.
    pub service: String,
    /// Key that was probed.
    pub key: String,
    /// Start of the first probe that failed.
    pub from_us: u64,
    /// End of the next probe that succeeded, or the end of the run.
    pub to_us: u64,
    /// Host, status and reason of the first failure.
    pub first: String,
    /// Faults that were active, with whether the promise covers them.
    pub faults: Vec<String>,
    /// Whether the promise on unavailable time covers the gap.
    pub covered: bool,
}

impl Gap {
    /// Returns the length in milliseconds.
    #[must_use]
    pub fn millis(&self) -> u64 {
        self.to_us.saturating_sub(self.from_us) / 1_000
    }
}

/// Request that ends each backend server which runs it, and its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poison {
    /// Name of the request.
    pub name: String,
    /// Request identifiers of its attempts.
    pub requests: Vec<String>,
}

/// Number of connections open to one backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Connections {
    /// Time of the sample.
    pub at_us: u64,
    /// Service of the backend server.
    pub service: String,
    /// Backend server.
    pub backend: String,
    /// Open connections.
    pub count: u32,
}

/// Time for which a fault was active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// What happened.
    pub kind: Kind,
    /// Start of the injection.
    pub from_us: u64,
    /// End of the fault, when all that it struck was back.
    pub to_us: u64,
}
