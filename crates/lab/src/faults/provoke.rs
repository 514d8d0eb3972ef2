//! Fault schedules under which a router with a seeded fault breaks a guarantee.
//!
//! | seeded fault | options of the run | breach |
//! |---|---|---|
//! | `no-regrant-wait` | `--deployment atlas --hosts 6 --seconds 40` | `wrong_owner` |
//! | `resend-after-first-byte` | `--hosts 6 --seconds 24` | `double_run` |
//! | `blind-second-write` | `--hosts 6 --seconds 36` | `lost_assignments` |

use tarragon_model::config::{Config, Service};

use super::{Fault, Kind, Names, Targets};
use crate::deployment::{Deployment, Workload};

/// Fault-free time at the start, in milliseconds.
const QUIET_MS: u64 = 6_000;
/// Number of faults of one schedule; a single fault hits running requests only by chance.
const FAULT_COUNT: usize = 30;
/// Interval between two freezes, in milliseconds.
const FREEZE_INTERVAL_MS: u64 = 1_000;
/// Interval between two kills, in milliseconds.
const KILL_INTERVAL_MS: u64 = 500;
/// Time that a backend server stays frozen, in milliseconds.
const FREEZE_MS: u64 = 4_000;
/// Time that a backend server stays down, in milliseconds.
const DOWN_MS: u64 = 700;
/// Load factor at which each backend server always has requests running.
pub const LOAD_FACTOR: f64 = 3.0;

/// Returns the schedule for a seeded fault; empty when the deployment cannot expose the fault.
#[must_use]
pub fn schedule(
    name: &str,
    deployment: &Deployment,
    config: &Config,
    targets: &Targets,
) -> Vec<Fault> {
    match name {
        "no-regrant-wait" => {
            let unchecked = |service: &&Service| service.keyed && !service.checks_fences;
            let service = config.services.iter().find(unchecked);
            faults_in_turn(service, Kind::BackendFreeze, FREEZE_INTERVAL_MS, FREEZE_MS)
        }
        "resend-after-first-byte" => {
            let service = deployment.service(Workload::Write);
            let service = service.and_then(|service| config.service(service.name));
            faults_in_turn(service, Kind::BackendKill, KILL_INTERVAL_MS, DOWN_MS)
        }
        "blind-second-write" => blind_writes(&targets.hosts),
        _ => Vec::new(),
    }
}

/// Injects a fault into the backend servers of a service, one after the other.
fn faults_in_turn(
    service: Option<&Service>,
    kind: Kind,
    interval_ms: u64,
    for_ms: u64,
) -> Vec<Fault> {
    let backends = service.map_or(&[][..], |service| &service.backends);
    let times = (0..).map(|number: u64| QUIET_MS + number * interval_ms);
    let backends_and_times = backends.iter().cycle().take(FAULT_COUNT).zip(times);
    let backend_fault = |(backend, at_ms): (&tarragon_model::config::Backend, u64)| {
        fault(at_ms, kind, &[backend.id.as_str()], for_ms)
    };
    backends_and_times.map(backend_fault).collect()
}

/// Makes hosts write a record, lose the response, freeze and write again.
///
/// About 1.9 s after a host is lost, others replace it in its replica sets. The responses to these
/// writes are lost, and the writers are frozen until their shards have got new leaders. The path
/// from the store opens again just after the writers resume.
fn blind_writes(hosts: &[String]) -> Vec<Fault> {
    let rounds: [(u64, usize, &[usize]); 3] =
        [(5_000, 0, &[1, 2]), (16_000, 3, &[4]), (27_000, 5, &[2])];
    let mut faults = Vec::new();
    for (at_ms, lost, writers) in rounds {
        let Some(lost) = hosts.get(lost) else {
            continue;
        };
        faults.push(fault(at_ms, Kind::HostKill, &[lost], 7_000));
        for writer in writers.iter().filter_map(|at| hosts.get(*at)) {
            faults.push(fault(
                at_ms + 200,
                Kind::LinkCutBack,
                &[writer, "store"],
                5_900,
            ));
            faults.push(fault(at_ms + 2_100, Kind::HostFreeze, &[writer], 3_900));
        }
    }
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn fault(at_ms: u64, kind: Kind, target: &[&str], for_ms: u64) -> Fault {
    let target: Names = target.iter().map(|name| (*name).to_owned()).collect();
    Fault {
        at_ms,
        kind,
        target,
        for_ms,
    }
}
