//! Summary line of a run.

use std::fmt;

use super::Breach;

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Deployment that ran.
    pub deployment: String,
    /// Seed of the run.
    pub seed: u64,
    /// Requests that callers made, not counting their retries.
    pub requests: u64,
    /// Requests that got a complete response in time.
    pub served: u64,
    /// Attempts that were refused and not run.
    pub refused: u64,
    /// Attempts whose outcome the caller does not know.
    pub unknown: u64,
    /// Requests that callers skipped because too many were open.
    pub skipped: u64,
    /// Median latency of short requests, in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of short requests, in microseconds.
    pub p99_us: u64,
    /// Share of the weight of all requests that was served in time, in percent.
    pub weight_percent: u64,
    /// Overlapping executions of one key on two backend servers.
    pub wrong_owner: u64,
    /// Idempotency keys whose request ran more than once.
    pub double_run: u64,
    /// Attempts with outcome "not run" that ran.
    pub false_not_run: u64,
    /// Responses that claim to be complete but are wrong.
    pub broken_answers: u64,
    /// Configurations that were reverted or came into force too late.
    pub config_reverts: u64,
    /// Assignments that were reverted, and store records that were overwritten.
    pub lost_assignments: u64,
    /// Longest gap that the guarantee covers, in milliseconds.
    pub unavailable_ms_max: u64,
    /// Longest gap that the guarantee does not cover, in milliseconds.
    pub uncovered_ms_max: u64,
    /// Largest number of backend servers that one poison request crashed.
    pub poison_kills_max: u64,
    /// Backend servers that exceeded their slots.
    pub over_slots: u64,
    /// Samples in which a backend server exceeded its connection limit.
    pub over_connections: u64,
    /// Longest time between the start of a drain and a new request on that backend server, in
    /// milliseconds.
    pub leaver_new_work_ms: u64,
    /// Requests cut by the graceful shutdown of a host.
    pub cut_requests: u64,
    /// Violations of the routers' internal invariants.
    pub invariants: u64,
    /// Routers that exited on their own.
    pub host_crashes: u64,
    /// Faults that were injected.
    pub faults: u64,
    /// Faults that could not be injected.
    pub faults_failed: u64,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "deployment={} seed={}", self.deployment, self.seed)?;
        for (name, value) in self.figures() {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

impl Summary {
    /// Returns all figures with their names, in the order in which they are printed.
    #[must_use]
    pub fn figures(&self) -> [(&'static str, u64); 26] {
        [
            ("requests", self.requests),
            ("served", self.served),
            ("refused", self.refused),
            ("unknown", self.unknown),
            ("skipped", self.skipped),
            ("p50_us", self.p50_us),
            ("p99_us", self.p99_us),
            ("weight_percent", self.weight_percent),
            ("wrong_owner", self.wrong_owner),
            ("double_run", self.double_run),
            ("false_not_run", self.false_not_run),
            ("broken_answers", self.broken_answers),
            ("config_reverts", self.config_reverts),
            ("lost_assignments", self.lost_assignments),
            ("unavailable_ms_max", self.unavailable_ms_max),
            ("uncovered_ms_max", self.uncovered_ms_max),
            ("poison_kills_max", self.poison_kills_max),
            ("over_slots", self.over_slots),
            ("over_connections", self.over_connections),
            ("leaver_new_work_ms", self.leaver_new_work_ms),
            ("cut_requests", self.cut_requests),
            ("invariants", self.invariants),
            ("host_crashes", self.host_crashes),
            ("faults", self.faults),
            ("faults_failed", self.faults_failed),
            ("breaches", self.breach_total()),
        ]
    }

    /// Returns the sum of all figures that count breaches one by one.
    #[must_use]
    pub fn breach_total(&self) -> u64 {
        self.wrong_owner
            + self.double_run
            + self.false_not_run
            + self.broken_answers
            + self.config_reverts
            + self.lost_assignments
            + self.over_slots
            + self.over_connections
            + self.cut_requests
            + self.invariants
            + self.host_crashes
    }
}

/// Returns the earliest breach.
#[must_use]
pub fn first(breaches: &[Breach]) -> Option<&Breach> {
    breaches.iter().min_by_key(|breach| breach.at_us)
}
