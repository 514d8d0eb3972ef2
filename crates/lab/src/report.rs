//! Collects the traces of a run, checks them and prints the report.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use crate::error::Result;
use crate::faults::inject;
use crate::faults::journal::{Entries, Journal};
use crate::fleet::layout::Layout;
use crate::load::caller::Caller;
use crate::observe::{Lists, event};
use crate::options::Run;
use crate::probe::Gaps;
use crate::run;
use crate::system::System;
use crate::trace::{self, Accepted, Attempt, Ending, Execution, Gap, Span};
use crate::verdict::outage::Distribution;
use crate::verdict::summary::Summary;
use crate::verdict::{Breach, capacity, config, drain, effect, outage, owner, response};

/// Records, attempts and samples of a run.
pub struct Traces {
    executions: Vec<Execution>,
    attempts: Vec<Attempt>,
    gaps: Vec<Gap>,
    samples: Lists,
    accepted: Vec<Accepted>,
    entries: Entries,
    counts: Summary,
}

/// Results of the checks of a run.
#[derive(Debug)]
pub struct Report {
    /// Figures of the run.
    pub summary: Summary,
    /// Broken guarantees in order of time.
    pub breaches: Vec<Breach>,
    /// Distribution of the gaps by the kinds of faults that were active.
    pub gaps: BTreeMap<String, Distribution>,
    /// Longest gaps, in descending order.
    pub longest: Vec<Gap>,
    /// Number of attempts that were not served, by service, ending and reason.
    pub endings: BTreeMap<String, u64>,
}

/// Number of gaps that a report lists.
const LONGEST_GAPS: usize = 5;

impl Traces {
    /// Collects the traces while the processes still run.
    ///
    /// # Errors
    ///
    /// Fails when a record file cannot be read.
    pub fn collect(
        system: &System,
        caller: &Caller,
        gaps: &Gaps,
        journal: &Journal,
    ) -> Result<Self> {
        let texts = run::read_records(&system.fleet)?;
        let mut executions = trace::merge(texts.iter().flat_map(|text| text.lines()));
        trace::close_unfinished(&mut executions, &system.fleet.incarnations());
        let mut entries = journal.snapshot();
        inject::mark_isolated(&mut entries.host_drains, &entries.spans);
        let mut gaps = gaps.list();
        outage::attribute(&mut gaps, &entries.spans);
        let accepted = extend_deadlines(system.operators.accepted(), &entries.spans);
        Ok(Self {
            executions,
            attempts: caller.stats.attempts(),
            gaps,
            samples: std::mem::take(&mut *system.samples.lists()),
            accepted,
            counts: counts(caller, &entries),
            entries,
        })
    }
}

/// Extends the deadline of each change that was pending while a fault kept hosts from the store.
fn extend_deadlines(mut accepted: Vec<Accepted>, spans: &[Span]) -> Vec<Accepted> {
    let store_faults = || spans.iter().filter(|span| span.kind.blocks_store());
    for change in &mut accepted {
        while let Some(span) = store_faults().find(|span| delays_change(span, change)) {
            change.due_us = span.to_us + config::IN_FORCE_US;
        }
    }
    accepted
}

fn delays_change(span: &Span, change: &Accepted) -> bool {
    let later = span.to_us + config::IN_FORCE_US > change.due_us;
    later && span.from_us <= change.due_us && change.at_us <= span.to_us
}

fn counts(caller: &Caller, entries: &Entries) -> Summary {
    let stats = &caller.stats;
    let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    Summary {
        requests: read(&stats.requests),
        served: read(&stats.served),
        refused: read(&stats.refused),
        unknown: read(&stats.unknown),
        skipped: read(&stats.skipped),
        p50_us: stats.latency_quantile(0.5),
        p99_us: stats.latency_quantile(0.99),
        weight_percent: stats.weight_percent(),
        faults: entries.spans.len() as u64,
        faults_failed: entries.failed,
        host_crashes: entries.crashes,
        ..Summary::default()
    }
}

/// Checks the traces of a run.
#[must_use]
pub fn evaluate(options: &Run, layout: &Layout, traces: &Traces) -> Report {
    let config = &layout.config;
    let mut summary = Summary {
        deployment: options.deployment.name.to_owned(),
        seed: options.seed,
        ..traces.counts.clone()
    };
    let mut breaches = Vec::new();
    let mut add = |found: Vec<Breach>| {
        let count = found.len() as u64;
        breaches.extend(found);
        count
    };
    summary.wrong_owner = add(owner::wrong_owner(&traces.executions, config));
    summary.double_run = add(effect::double_runs(&traces.executions, config));
    summary.false_not_run = add(effect::false_not_run(&traces.executions, &traces.attempts));
    summary.broken_answers = add(response::broken(&traces.attempts));
    summary.config_reverts = add(config::reverts(&traces.samples.statuses, &traces.accepted));
    let moves = event::moves(&traces.samples.events);
    summary.lost_assignments = add(owner::lost_assignments(&traces.samples.assignments, &moves));
    summary.lost_assignments += add(owner::overwritten(&traces.samples.changes));
    summary.over_slots = add(capacity::slots(&traces.executions, config));
    summary.over_connections = add(capacity::connections(&traces.samples.connections, config));
    summary.cut_requests = add(drain::cut_requests(
        &traces.attempts,
        &traces.executions,
        &traces.entries.host_drains,
    ));
    let (kills, found) = effect::poison_kills(&traces.executions, &traces.entries.poisons);
    summary.poison_kills_max = kills;
    add(found);
    let (latest, found) = drain::new_work(&traces.executions, &traces.entries.backend_drains);
    summary.leaver_new_work_ms = latest;
    add(found);
    let (longest, found) = outage::unavailable(&traces.gaps);
    summary.unavailable_ms_max = longest;
    add(found);
    let found = config::invariants(&traces.samples.statuses);
    summary.invariants = found.iter().map(|(count, _)| count).sum();
    add(found.into_iter().map(|(_, breach)| breach).collect());
    summary.uncovered_ms_max = longest_uncovered(&traces.gaps);
    breaches.sort_by_key(|breach| breach.at_us);
    Report {
        summary,
        breaches,
        gaps: outage::by_kind(&traces.gaps),
        longest: longest_gaps(&traces.gaps),
        endings: endings(&traces.attempts),
    }
}

fn endings(attempts: &[Attempt]) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for attempt in attempts {
        let reason = match attempt.ending {
            Ending::Answered(_) => attempt.reason.as_str(),
            _ => "-",
        };
        let service = &attempt.service;
        let line = format!(
            "service={service} ending={:?} reason={reason}",
            attempt.ending
        );
        *counts.entry(line).or_default() += 1;
    }
    counts
}

fn longest_uncovered(gaps: &[Gap]) -> u64 {
    let uncovered = gaps.iter().filter(|gap| !gap.covered);
    uncovered.map(Gap::millis).max().unwrap_or_default()
}

fn longest_gaps(gaps: &[Gap]) -> Vec<Gap> {
    let mut sorted = gaps.to_vec();
    sorted.sort_by_key(|gap| std::cmp::Reverse(gap.millis()));
    sorted.truncate(LONGEST_GAPS);
    sorted
}

impl Report {
    /// Prints the report; the last line is the summary.
    pub fn print(&self) {
        for (ending, count) in &self.endings {
            println!("attempts {ending} count={count}");
        }
        for (kind, distribution) in &self.gaps {
            println!(
                "gaps faults={kind} count={} p50_ms={} p99_ms={} max_ms={}",
                distribution.count, distribution.p50, distribution.p99, distribution.max
            );
        }
        for gap in &self.longest {
            println!(
                "gap_ms={} covered={} key={}/{} from_us={} faults={} first: {}",
                gap.millis(),
                gap.covered,
                gap.service,
                gap.key,
                gap.from_us,
                gap.faults.join("+"),
                gap.first
            );
        }
        if let Some(first) = self.breaches.first() {
            println!("first {first}");
        }
        println!("{}", self.summary);
    }
}
