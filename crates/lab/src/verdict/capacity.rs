//! Limits on slots and connections of the backend servers.

use std::collections::BTreeMap;

use smallvec::smallvec;
use tarragon_model::config::Config;

use super::Breach;
use crate::trace::{Connections, Execution};

/// Finds backend servers that ran more requests concurrently than they have slots.
#[must_use]
pub fn slots(executions: &[Execution], config: &Config) -> Vec<Breach> {
    let mut by_instance: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for execution in executions {
        by_instance
            .entry(&execution.instance)
            .or_default()
            .push(execution);
    }
    by_instance
        .values()
        .filter_map(|executions| {
            let slots = config.service(&executions[0].service)?.slots;
            over_slots(executions, usize::from(slots))
        })
        .collect()
}

fn over_slots(executions: &[&Execution], slots: usize) -> Option<Breach> {
    let mut sorted = executions.to_vec();
    sorted.sort_by_key(|execution| execution.start_us);
    let mut running: Vec<&Execution> = Vec::new();
    for execution in sorted {
        running.retain(|other| other.end_or_max() > execution.start_us);
        running.push(execution);
        if running.len() > slots {
            return Some(Breach {
                at_us: execution.start_us,
                check: "over_slots",
                key: execution.key.clone(),
                parties: smallvec![execution.backend.clone()],
                evidence: running
                    .iter()
                    .map(|execution| execution.evidence())
                    .collect(),
            });
        }
    }
    None
}

/// Finds samples with more connections to a backend server than its limit.
#[must_use]
pub fn connections(samples: &[Connections], config: &Config) -> Vec<Breach> {
    let over = samples.iter().filter(|sample| {
        config
            .service(&sample.service)
            .is_some_and(|service| sample.count > u32::from(service.connections))
    });
    over.map(|sample| Breach {
        at_us: sample.at_us,
        check: "over_connections",
        key: sample.service.clone(),
        parties: smallvec![sample.backend.clone()],
        evidence: smallvec![format!("connections={}", sample.count)],
    })
    .collect()
}
