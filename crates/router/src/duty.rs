//! Registry of duties: long-running jobs of the process, each on a thread of its own.

use std::future::Future;
use std::pin::Pin;
use std::thread::JoinHandle;

use crate::error::Error;
use crate::shared::Shared;

/// Future of a duty; it completes after [`Shared::stop`] is cancelled.
pub type Work = Pin<Box<dyn Future<Output = Result<(), Error>>>>;

/// Long-running job with a thread and a runtime of its own.
///
/// Modules register their duties with `inventory::submit!`.
pub struct Duty {
    /// Name of the duty and of its threads.
    pub name: &'static str,
    /// Number of threads that run the duty's tasks: one, or more for duties that serve requests.
    pub threads: usize,
    /// Returns the duty's future, which runs on its runtime.
    pub start: fn(Shared) -> Work,
}

inventory::collect!(Duty);

/// Starts every registered duty.
///
/// # Errors
///
/// [`Error::Start`] if a thread cannot be spawned.
pub fn start(shared: &Shared) -> Result<Vec<JoinHandle<()>>, Error> {
    inventory::iter::<Duty>
        .into_iter()
        .map(|duty| spawn(duty, shared.clone()))
        .collect()
}

fn spawn(duty: &'static Duty, shared: Shared) -> Result<JoinHandle<()>, Error> {
    let name = duty.name;
    std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(duty, &shared))
        .map_err(|source| Error::Start { duty: name, source })
}

fn run(duty: &Duty, shared: &Shared) {
    let runtime = match runtime(duty) {
        Ok(runtime) => runtime,
        Err(error) => return fail(duty, shared, &error),
    };
    let work = (duty.start)(shared.clone());
    if let Err(error) = runtime.block_on(work) {
        fail(duty, shared, &error);
    }
    runtime.shutdown_background();
}

fn runtime(duty: &Duty) -> Result<tokio::runtime::Runtime, Error> {
    let mut builder = if duty.threads > 1 {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(duty.threads);
        builder
    } else {
        tokio::runtime::Builder::new_current_thread()
    };
    let built = builder.thread_name(duty.name).enable_all().build();
    built.map_err(|source| Error::Start {
        duty: duty.name,
        source,
    })
}

/// Stops the process when a duty fails, so that other hosts take over.
fn fail(duty: &Duty, shared: &Shared, error: &Error) {
    log::error!("event=duty-failed duty={} error=\"{error}\"", duty.name);
    shared.stop.cancel();
}
