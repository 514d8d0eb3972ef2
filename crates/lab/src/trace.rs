//! Traces of a run that the checks work on: executions, attempts and samples.
//!
//! All times are microseconds of [`crate::clock`].

use std::collections::{BTreeMap, HashMap};

use serde::Deserialize;

use tarragon_model::outcome::Outcome;
use tarragon_model::record::Record;

use crate::faults::Kind;

/// Stage that an execution reached on its backend server.
///
/// Reports print the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Started; no end is known.
    Started,
    /// Committed: it took effect.
    Committed,
    /// Cancelled by its sender.
    Cancelled,
    /// The backend server refused to commit it.
    Aborted,
}

/// Execution of a request on a backend server.
///
/// Also one line of the server's record file; [`merge`] combines the lines of an execution.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Execution {
    /// Service of the request.
    pub service: String,
    /// Name of the backend server.
    pub backend: String,
    /// Incarnation of the backend server, as its record file names it.
    pub instance: String,
    /// Key of the request.
    pub key: String,
    /// Request identifier of the attempt.
    pub request: String,
    /// Idempotency key that the caller sent.
    #[serde(default)]
    pub effect_id: Option<String>,
    /// Start of the execution.
    pub start_us: u64,
    /// End of the execution.
    #[serde(default)]
    pub end_us: Option<u64>,
    /// Latest recorded stage.
    #[serde(rename = "state")]
    pub stage: Stage,
    /// Whether an injected fault made the backend server break off its response.
    #[serde(default)]
    pub halved: bool,
}

impl Execution {
    /// Returns the end of the execution, or `u64::MAX` when none is known.
    #[must_use]
    pub fn end_or_max(&self) -> u64 {
        self.end_us.unwrap_or(u64::MAX)
    }

    /// Describes the execution in one line, as evidence of a breach.
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

/// Lifetime of one process of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Incarnation {
    /// Name of the backend server.
    pub backend: String,
    /// Time just before the process was started.
    pub from_us: u64,
    /// Latest time at which the process is known to have been running.
    pub to_us: u64,
}

/// Merges the lines of record files into executions, each with its latest stage.
///
/// A line that does not parse is ignored, because a killed process may leave half a line. The end
/// time of a `started` line is ignored.
#[must_use]
pub fn merge<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<Execution> {
    let mut executions: Vec<Execution> = Vec::new();
    let mut index: HashMap<(String, String, u64), usize> = HashMap::new();
    for mut line in lines.filter_map(|line| serde_json::from_str::<Execution>(line).ok()) {
        if line.stage == Stage::Started {
            line.end_us = None;
        }
        let id = (line.instance.clone(), line.request.clone(), line.start_us);
        match index.get(&id) {
            Some(at) if line.stage != Stage::Started => executions[*at] = line,
            Some(_) => {}
            None => {
                index.insert(id, executions.len());
                executions.push(line);
            }
        }
    }
    executions
}

/// Sets the end of each unfinished execution to the end of its process.
///
/// The time of a kill is taken just before the signal, so an execution may start later than that;
/// it then ends at its start.
pub fn close_unfinished(executions: &mut [Execution], incarnations: &[Incarnation]) {
    let mut by_backend: BTreeMap<&str, Vec<&Incarnation>> = BTreeMap::new();
    for incarnation in incarnations {
        by_backend
            .entry(&incarnation.backend)
            .or_default()
            .push(incarnation);
    }
    for execution in executions
        .iter_mut()
        .filter(|execution| execution.end_us.is_none())
    {
        let incarnations = by_backend.get(execution.backend.as_str());
        let incarnation =
            incarnations.and_then(|incarnations| latest(incarnations, execution.start_us));
        execution.end_us = incarnation.map(|incarnation| incarnation.to_us.max(execution.start_us));
    }
}

fn latest<'a>(incarnations: &[&'a Incarnation], at_us: u64) -> Option<&'a Incarnation> {
    let started = incarnations
        .iter()
        .filter(|incarnation| incarnation.from_us <= at_us);
    started
        .max_by_key(|incarnation| incarnation.from_us)
        .copied()
}

/// How an attempt ended, as the caller observed it.
///
/// Reports print the variant names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete response with an outcome header.
    Answered(Outcome),
    /// A complete response without an outcome header.
    Unmarked,
    /// No connection could be made, so nothing was sent.
    Unsent,
    /// The connection broke before the response was complete.
    Cut,
    /// The caller's timeout expired.
    TimedOut,
    /// The response claims to be complete but its content is wrong.
    Wrong,
}

/// Attempt of a caller; the traces keep those that did not end in a correct response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Request identifier of the attempt.
    pub request: String,
    /// Service that was called.
    pub service: String,
    /// Key that was called.
    pub key: String,
    /// Host that the balancer chose.
    pub host: String,
    /// Time at which the attempt started.
    pub start_us: u64,
    /// Time at which the attempt ended.
    pub end_us: u64,
    /// HTTP status, or zero when there was no response.
    pub status: u16,
    /// How the attempt ended.
    pub ending: Ending,
    /// Reason of the refusal, or what was wrong with the response.
    pub reason: String,
}

impl Attempt {
    /// Describes the attempt in one line, as evidence of a breach.
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

/// Response of one host to `GET /status`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Time at which the request was sent.
    pub sent_us: u64,
    /// Time at which the response was read.
    pub read_us: u64,
    /// Host that responded.
    pub host: String,
    /// Incarnation of the host.
    pub incarnation: u64,
    /// Version of the configuration that the host knows.
    pub config_version: u64,
    /// Version in force at each shard that the host leads.
    pub in_force: BTreeMap<String, u64>,
    /// Violations of the router's internal invariants, by name.
    pub invariants: BTreeMap<String, u64>,
}

/// Owners of one shard as its acting leader reported them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Time at which the request was sent.
    pub sent_us: u64,
    /// Time at which the response was read.
    pub read_us: u64,
    /// Host that responded.
    pub host: String,
    /// Shard.
    pub shard: String,
    /// Fence of the leader.
    pub fence: tarragon_model::fence::Fence,
    /// Backend server that owns each key group.
    pub owners: BTreeMap<u32, String>,
}

/// Change of a shard's record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Time at which the change was read.
    pub at_us: u64,
    /// Shard.
    pub shard: String,
    /// Version of the object in the store.
    pub version: u64,
    /// Record after the change.
    pub record: Record,
}

/// Timeline event that moves key groups to another owner.
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
    /// Time at which the store's response was read.
    pub at_us: u64,
    /// Deadline by which it must be in force everywhere.
    pub due_us: u64,
}

/// Period in which a host or backend server was draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Name of the host or backend server.
    pub name: String,
    /// Time at which it was told to drain.
    pub from_us: u64,
    /// Time at which its process had exited, or at which its drain ended.
    pub to_us: u64,
    /// Whether no other disruptive fault was active meanwhile.
    pub isolated: bool,
}

/// Period in which a probed key was not served.
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
    /// Description of the first failed probe.
    pub first: String,
    /// Kinds of the faults that were active.
    pub faults: Vec<String>,
    /// Whether the guarantee on unavailable time covers the gap.
    pub covered: bool,
}

impl Gap {
    /// Returns the length in milliseconds.
    #[must_use]
    pub fn millis(&self) -> u64 {
        self.to_us.saturating_sub(self.from_us) / 1_000
    }
}

/// Request that crashes each backend server that runs it, and its attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poison {
    /// Idempotency key or random name of the request.
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
    /// Name of the backend server.
    pub backend: String,
    /// Open connections.
    pub count: u32,
}

/// Period in which a fault was active.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// Kind of the fault.
    pub kind: Kind,
    /// Start of the injection.
    pub from_us: u64,
    /// End of the fault, when everything that it affected was restored.
    pub to_us: u64,
}
