//! Slots and connections of the backend servers.

use std::collections::BTreeMap;

use smallvec::smallvec;
use tarragon_model::config::Config;

use super::Breach;
use crate::trace::{Connections, Work};

/// Finds backend servers that ran more work at once than they have slots.
#[must_use]
pub fn slots(works: &[Work], config: &Config) -> Vec<Breach> {
    let mut by_instance: BTreeMap<&str, Vec<&Work>> = BTreeMap::new();
    for work in works {
        by_instance.entry(&work.instance).or_default().push(work);
    }
    by_instance
        .values()
        .filter_map(|works| {
            let slots = config.service(&works[0].service)?.slots;
            over_slots(works, usize::from(slots))
        })
        .collect()
}

fn over_slots(works: &[&Work], slots: usize) -> Option<Breach> {
    let mut sorted = works.to_vec();
    sorted.sort_by_key(|work| work.start_us);
    let mut running: Vec<&Work> = Vec::new();
    for work in sorted {
        running.retain(|other| other.end_or_max() > work.start_us);
        running.push(work);
        if running.len() > slots {
            return Some(Breach {
                at_us: work.start_us,
                promise: "over_slots",
                key: work.key.clone(),
                parties: smallvec![work.backend.clone()],
                evidence: running.iter().map(|work| work.evidence()).collect(),
            });
        }
    }
    None
}

/// Finds samples with more connections to a backend server than it takes.
#[must_use]
pub fn connections(samples: &[Connections], config: &Config) -> Vec<Breach> {
    let over = samples.iter().filter(|sample| {
        config
            .service(&sample.service)
            .is_some_and(|service| sample.count > u32::from(service.connections))
    });
    over.map(|sample| Breach {
        at_us: sample.at_us,
        promise: "over_connections",
        key: sample.service.clone(),
        parties: smallvec![sample.backend.clone()],
        evidence: smallvec![format!("connections={}", sample.count)],
    })
    .collect()
}
