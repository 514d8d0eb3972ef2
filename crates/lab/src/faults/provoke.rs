//! Schedules that make a router with a seeded fault break a promise.
//!
//! | seeded fault | run | breach that shows |
//! |---|---|---|
//! | `no-regrant-wait` | `--deployment atlas --hosts 6 --seconds 40` | `wrong_owner` |
//! | `resend-after-first-byte` | `--hosts 6 --seconds 24` | `double_run` |
//! | `blind-second-write` | `--hosts 6 --seconds 36` | `lost_assignments` |

use tarragon_model::config::{Config, Service};

use super::{Fault, Field, Kind, Names};
use crate::deployment::{Deployment, Workload};

/// Time without faults at the start, in milliseconds.
const CALM_MS: u64 = 6_000;
/// Strikes of one schedule; a single one meets work under way by chance only.
const STRIKES: usize = 30;
/// Time between two strikes that freeze, in milliseconds.
const FREEZE_STEP_MS: u64 = 1_000;
/// Time between two strikes that kill, in milliseconds.
const KILL_STEP_MS: u64 = 500;
/// Time for which a backend server stays frozen, in milliseconds.
const FREEZE_MS: u64 = 4_000;
/// Time for which a backend server stays gone, in milliseconds.
const GONE_MS: u64 = 700;
/// Factor of the load that keeps work under way on each backend server.
pub const LOAD_FACTOR: f64 = 3.0;

/// Returns the schedule for a seeded fault; empty when the deployment cannot show it.
#[must_use]
pub fn schedule(name: &str, deployment: &Deployment, config: &Config, field: &Field) -> Vec<Fault> {
    match name {
        "no-regrant-wait" => {
            let unchecked = |service: &&Service| service.keyed && !service.checks_fences;
            let service = config.services.iter().find(unchecked);
            strikes(service, Kind::BackendFreeze, FREEZE_STEP_MS, FREEZE_MS)
        }
        "resend-after-first-byte" => {
            let service = deployment.service(Workload::Write);
            let service = service.and_then(|service| config.service(service.name));
            strikes(service, Kind::BackendKill, KILL_STEP_MS, GONE_MS)
        }
        "blind-second-write" => blind_writes(&field.hosts),
        _ => Vec::new(),
    }
}

/// Strikes the backend servers of a service in turn.
fn strikes(service: Option<&Service>, kind: Kind, step_ms: u64, for_ms: u64) -> Vec<Fault> {
    let backends = service.map_or(&[][..], |service| &service.backends);
    let times = (0..).map(|number: u64| CALM_MS + number * step_ms);
    let struck = backends.iter().cycle().take(STRIKES).zip(times);
    let strike = |(backend, at_ms): (&tarragon_model::config::Backend, u64)| {
        fault(at_ms, kind, &[backend.id.as_str()], for_ms)
    };
    struck.map(strike).collect()
}

/// Makes hosts write a record, lose the answer, freeze and write again.
///
/// The loss of a host makes others change its trios about 1.9 s later. Their answers are lost, and
/// they are frozen until their shards have moved on. The path back opens just after they thaw.
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
