//! A short demonstration: a small system survives the loss of a host and a backend server.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use tarragon_timeline::event::Kind;

use crate::deployment::Deployment;
use crate::error::{Error, Result};
use crate::load::attempt;
use crate::load::caller::Caller;
use crate::options::{Faults, Load, Run};
use crate::platform::list::Presence;
use crate::probe;
use crate::system::System;

/// Number of hosts.
const HOSTS: usize = 5;
/// Number of keys that are requested.
const KEYS: usize = 6;
/// Time to observe the system after the last fault.
const OBSERVATION: Duration = Duration::from_secs(2);
/// Time limit for all keys to be served again after a fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Pause before a request for a key that is not served is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Runs the demonstration and prints what happens.
///
/// # Errors
///
/// Fails when a process does not start, a key is not served again in time, or when interrupted.
pub async fn demo(stop: &CancellationToken) -> Result<()> {
    let options = options();
    let dir = std::env::temp_dir().join(format!("lab-demo-{}", std::process::id()));
    let system = System::plan(&options, &dir)?;
    let stop = stop.child_token();
    let shown = stop
        .run_until_cancelled(show(&options, &system, &stop))
        .await;
    stop.cancel();
    system.fleet.stop();
    // Best effort: a leftover temporary directory is harmless.
    let _ = std::fs::remove_dir_all(&dir);
    shown.unwrap_or(Err(Error::Interrupted))
}

fn options() -> Run {
    Run {
        deployment: Deployment::indus(),
        seconds: 20,
        seed: 1,
        faults: Faults::None,
        hosts: HOSTS,
        policy: None,
        load: Load::Factor(1.0),
        report: None,
        seeded_fault: None,
        probes: KEYS,
        keep: false,
    }
}

async fn show(options: &Run, system: &System, stop: &CancellationToken) -> Result<()> {
    let servers = system.fleet.layout.servers.len();
    println!("starting {HOSTS} hosts, {servers} backend servers, the store and the links");
    system.start(stop).await?;
    let caller = system.caller(&options.deployment);
    let keys = system.probe_keys(&options.deployment, options.probes);
    system.await_serving(&caller, &keys).await?;
    println!("all hosts are ready; one request for each key:");
    for key in &keys {
        show_request(&caller, key).await;
    }
    kill_leader(system, &caller, &keys).await?;
    kill_owner(system, &caller, &keys).await?;
    tokio::time::sleep(OBSERVATION).await;
    print_timeline(system);
    Ok(())
}

async fn show_request(caller: &Caller, key: &probe::Key) {
    let Some(attempt) = caller.attempt(&probe::request(key), key.region, &[]).await else {
        println!("  no host is ready");
        return;
    };
    println!(
        "  GET /{}/{} host={} served={} time_us={} {}",
        attempt.service,
        attempt.key,
        attempt.host,
        attempt::is_served(&attempt),
        attempt.end_us - attempt.start_us,
        attempt.reason
    );
}

/// Kills the host that leads the shard of the first key.
async fn kill_leader(system: &System, caller: &Caller, keys: &[probe::Key]) -> Result<()> {
    let leader = system.leader(&keys[0]).await;
    let Some((host, child)) = leader.as_deref().and_then(|id| system.fleet.host(id)) else {
        return Err(Error::Usage("no host leads the first key".to_owned()));
    };
    println!(
        "killing host {}, which leads the shard of {}",
        host.id, keys[0].text
    );
    child.kill();
    system.list.set(&host.id, Presence::Gone);
    await_recovery(caller, keys).await
}

/// Kills the backend server that owns the first key.
async fn kill_owner(system: &System, caller: &Caller, keys: &[probe::Key]) -> Result<()> {
    let owner = system.owner(&keys[0]).await;
    let Some((server, child)) = owner.as_deref().and_then(|id| system.fleet.server(id)) else {
        return Err(Error::Usage(
            "no backend server owns the first key".to_owned(),
        ));
    };
    println!(
        "killing backend server {}, which owns {}",
        server.declared.id, keys[0].text
    );
    child.kill();
    await_recovery(caller, keys).await
}

/// Requests each key until it is served and prints how long that took.
async fn await_recovery(caller: &Caller, keys: &[probe::Key]) -> Result<()> {
    let start = Instant::now();
    let waits = keys.iter().map(async |key| {
        while !probe::once(caller, key).await {
            if start.elapsed() > RECOVERY_LIMIT {
                return None;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Some(start.elapsed())
    });
    let times = futures::future::join_all(waits).await;
    for (key, time) in keys.iter().zip(times) {
        let Some(time) = time else {
            return Err(Error::Timeout {
                step: "recover",
                peer: format!("{}/{}", key.service, key.text),
                after_ms: RECOVERY_LIMIT.as_millis(),
            });
        };
        println!(
            "  /{}/{} served again unavailable_ms={}",
            key.service,
            key.text,
            time.as_millis()
        );
    }
    Ok(())
}

/// Prints the merged events of all hosts, without frequent ones that concern no leader or owner.
fn print_timeline(system: &System) {
    println!("time line of the hosts (without backend-live, config-in-force and move-began):");
    let events = std::mem::take(&mut system.samples.lists().events);
    let merged = tarragon_timeline::merge::merge(vec![events]);
    for event in merged.iter().filter(|event| is_shown(event.kind)) {
        println!("  {event}");
    }
}

fn is_shown(kind: Kind) -> bool {
    let hidden = [
        Kind::BackendLive,
        Kind::ConfigApplied,
        Kind::MoveStarted,
        Kind::PeerConnected,
        Kind::RequestRefused,
        Kind::RequestRetried,
    ];
    !hidden.contains(&kind)
}
