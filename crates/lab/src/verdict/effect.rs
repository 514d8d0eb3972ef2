//! Requests must run at most once, refusals must be true and poison requests must be contained.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use smallvec::smallvec;
use tarragon_model::config::Config;
use tarragon_model::outcome::Outcome;

use super::Breach;
use crate::trace::{Attempt, Ending, Execution, Poison, Stage};

/// Finds idempotency keys whose request ran more than once.
///
/// An aborted execution had no effect. On a backend server that checks fences only committed
/// executions count; on one that does not, all executions that were not aborted count.
#[must_use]
pub fn double_runs(executions: &[Execution], config: &Config) -> Vec<Breach> {
    let mut by_effect: BTreeMap<(&str, &str), Vec<&Execution>> = BTreeMap::new();
    for execution in executions
        .iter()
        .filter(|execution| took_effect(execution, config))
    {
        if let Some(effect) = &execution.effect_id {
            let id = (execution.service.as_str(), effect.as_str());
            by_effect.entry(id).or_default().push(execution);
        }
    }
    let mut breaches: Vec<Breach> = by_effect
        .values_mut()
        .filter(|executions| executions.len() > 1)
        .map(|executions| double_run_breach(executions))
        .collect();
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

fn took_effect(execution: &Execution, config: &Config) -> bool {
    let checks = config
        .service(&execution.service)
        .is_some_and(|service| service.checks_fences);
    if checks {
        execution.stage == Stage::Committed
    } else {
        execution.stage != Stage::Aborted
    }
}

fn double_run_breach(executions: &mut [&Execution]) -> Breach {
    executions.sort_by_key(|execution| execution.start_us);
    Breach {
        at_us: executions[1].start_us,
        check: "double_run",
        key: executions[1].effect_id.clone().unwrap_or_default(),
        parties: executions
            .iter()
            .map(|execution| execution.backend.clone())
            .collect(),
        evidence: executions
            .iter()
            .map(|execution| execution.evidence())
            .collect(),
    }
}

/// Finds attempts with outcome "not run" that a backend server ran.
#[must_use]
pub fn false_not_run(executions: &[Execution], attempts: &[Attempt]) -> Vec<Breach> {
    let runs: HashMap<&str, &Execution> = executions
        .iter()
        .filter(|execution| execution.stage != Stage::Aborted)
        .map(|execution| (execution.request.as_str(), execution))
        .collect();
    let refused = attempts
        .iter()
        .filter(|attempt| attempt.ending == Ending::Answered(Outcome::NotRun));
    let mut breaches: Vec<Breach> = refused
        .filter_map(|attempt| Some((attempt, *runs.get(attempt.request.as_str())?)))
        .map(|(attempt, execution)| Breach {
            at_us: attempt.end_us,
            check: "false_not_run",
            key: format!("{}/{}", attempt.service, attempt.key),
            parties: smallvec![attempt.host.clone(), execution.backend.clone()],
            evidence: smallvec![attempt.evidence(), execution.evidence()],
        })
        .collect();
    breaches.sort_by_key(|breach| breach.at_us);
    breaches
}

/// Number of backend servers that one poison request may crash.
pub const POISON_KILLS_LIMIT: u64 = 2;

/// Returns the largest number of backend servers that one poison request crashed, and the breaches.
#[must_use]
pub fn poison_kills(executions: &[Execution], poisons: &[Poison]) -> (u64, Vec<Breach>) {
    let mut worst = 0;
    let mut breaches = Vec::new();
    for poison in poisons {
        let requests: BTreeSet<&str> = poison.requests.iter().map(String::as_str).collect();
        let mut victims: Vec<&Execution> = executions
            .iter()
            .filter(|execution| requests.contains(execution.request.as_str()))
            .filter(|execution| execution.stage == Stage::Started)
            .collect();
        victims.sort_by_key(|execution| execution.start_us);
        victims.dedup_by_key(|execution| &execution.instance);
        let kills = victims.len() as u64;
        worst = worst.max(kills);
        if kills > POISON_KILLS_LIMIT {
            breaches.push(poison_breach(poison, &victims));
        }
    }
    (worst, breaches)
}

fn poison_breach(poison: &Poison, victims: &[&Execution]) -> Breach {
    Breach {
        at_us: victims.last().map_or(0, |execution| execution.start_us),
        check: "poison_kills_max",
        key: poison.name.clone(),
        parties: victims
            .iter()
            .map(|execution| execution.backend.clone())
            .collect(),
        evidence: victims
            .iter()
            .map(|execution| execution.evidence())
            .collect(),
    }
}
