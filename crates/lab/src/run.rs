//! One run: starts the system, applies load and faults, stops it and checks its traces.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::error::{Error, Result, io};
use crate::faults::inject::Injector;
use crate::faults::journal::Journal;
use crate::faults::{Fault, file, provoke, schedule};
use crate::fleet::Fleet;
use crate::fleet::layout::Layout;
use crate::load::{self, Generator};
use crate::options::{Faults, Load, Run};
use crate::probe::{self, Gaps};
use crate::report::{self, Report};
use crate::system::System;

/// Time limit for faults, and then for open requests, to finish at the end of a run.
const END_LIMIT: Duration = Duration::from_secs(20);

/// Runs a whole system and checks the guarantees.
///
/// # Errors
///
/// Fails when the fault file is invalid, when a process does not start, or when interrupted. All
/// processes have exited when this returns.
pub async fn run(options: &Run, stop: &CancellationToken) -> Result<Report> {
    let dir = directory(options);
    let system = System::plan(options, &dir)?;
    let faults = faults(options, &system.fleet.layout)?;
    let stop = stop.child_token();
    let run = execute(options, &system, faults, &stop);
    let result = stop.run_until_cancelled(run).await;
    let result = result.unwrap_or(Err(Error::Interrupted));
    stop.cancel();
    system.fleet.stop();
    let report = result.map(|traces| report::evaluate(options, &system.fleet.layout, &traces));
    let clean = report
        .as_ref()
        .is_ok_and(|report| report.breaches.is_empty());
    if options.report.is_none() && !options.keep && clean {
        // Best effort: a leftover temporary directory is harmless.
        let _ = std::fs::remove_dir_all(&dir);
    } else {
        println!("files={}", dir.display());
    }
    report
}

fn directory(options: &Run) -> PathBuf {
    let name = format!(
        "lab-{}-{}-{}",
        options.deployment.name,
        options.seed,
        std::process::id()
    );
    let parent = options.report.clone().unwrap_or_else(std::env::temp_dir);
    parent.join(name)
}

fn faults(options: &Run, layout: &Layout) -> Result<Vec<Fault>> {
    let targets = &layout.fault_targets();
    match &options.faults {
        Faults::None => Ok(Vec::new()),
        Faults::Provoke(name) => {
            let (deployment, config) = (&options.deployment, &layout.config);
            Ok(provoke::schedule(name, deployment, config, targets))
        }
        Faults::Random => Ok(schedule::random(options.seed, options.seconds, targets)),
        Faults::File(path) => {
            let name = path.display();
            let text = std::fs::read_to_string(path);
            let text = text.map_err(|error| Error::Usage(format!("{name}: {error}")))?;
            file::parse(&text, targets).map_err(|error| Error::Usage(format!("{name}: {error}")))
        }
    }
}

async fn execute(
    options: &Run,
    system: &System,
    faults: Vec<Fault>,
    stop: &CancellationToken,
) -> Result<report::Traces> {
    system.start(stop).await?;
    let caller = system.caller(&options.deployment);
    let keys = system.probe_keys(&options.deployment, options.probes);
    system.await_serving(&caller, &keys).await?;
    let load_stop = stop.child_token();
    let gaps = Gaps::default();
    let journal = Journal::default();
    let rate = match options.load {
        Load::Rate(rate) => rate,
        Load::Factor(factor) => load::BASE_RATE * factor,
    };
    let deployment = Arc::new(options.deployment.clone());
    let generator = Generator::new(
        deployment,
        caller.clone(),
        rate,
        options.seed,
        options.seconds,
    );
    let load = tokio::spawn(generator.run(options.seed, load_stop.clone()));
    let probes = probe::run(caller.clone(), keys, gaps.clone(), load_stop.clone());
    let probes = tokio::spawn(probes);
    system.supervise(&journal, stop);
    let injector = injector(options, system, caller.clone(), journal.clone());
    let injection = tokio::spawn(injector.run(faults, stop.child_token()));
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    // A fault that is still active after the limit ends with the processes.
    let _ = tokio::time::timeout(END_LIMIT, injection).await;
    load_stop.cancel();
    let _ = tokio::time::timeout(END_LIMIT, async { tokio::join!(load, probes) }).await;
    report::Traces::collect(system, &caller, &gaps, &journal)
}

fn injector(
    options: &Run,
    system: &System,
    caller: load::caller::Caller,
    journal: Journal,
) -> Injector {
    let client = Client::new();
    Injector {
        deployment: Arc::new(options.deployment.clone()),
        fleet: Arc::clone(&system.fleet),
        client: client.clone(),
        control: crate::fleet::control::Control::new(client, &system.fleet.layout),
        list: system.list.clone(),
        operators: system.operators.clone(),
        caller,
        journal,
    }
}

/// Reads the record files of all backend servers.
///
/// A backend server that never ran has no record file and is skipped.
///
/// # Errors
///
/// Fails when a file exists but cannot be read.
pub fn read_records(fleet: &Fleet) -> Result<Vec<String>> {
    let mut texts = Vec::new();
    for server in &fleet.layout.servers {
        let path = fleet.layout.record_path(server);
        match std::fs::read(&path) {
            Ok(bytes) => texts.push(String::from_utf8_lossy(&bytes).into_owned()),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
            Err(error) => return Err(io("read-records", path.display().to_string())(error)),
        }
    }
    Ok(texts)
}
