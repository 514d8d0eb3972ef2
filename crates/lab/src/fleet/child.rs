//! Child processes, signalled by their own process ids.

use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::clock;
use crate::error::{Result, io};
use crate::trace::Incarnation;

/// Interval between two checks whether a process has exited.
const POLL: Duration = Duration::from_millis(5);

/// Process that can be restarted under the same name; killed when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    args: Vec<OsString>,
    log: PathBuf,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    process: Option<std::process::Child>,
    /// Time just before the current process was started, in microseconds.
    start_us: u64,
    /// Latest time at which the current process was known to run, in microseconds.
    last_alive_us: u64,
    incarnations: Vec<(u64, u64)>,
    /// Whether the process must not be started again.
    closed: bool,
}

impl State {
    fn record_end(&mut self, at_us: u64) {
        self.process = None;
        self.incarnations.push((self.start_us, at_us));
    }
}

impl Child {
    /// Describes a process that runs this executable with `args` and appends its output to `log`.
    #[must_use]
    pub fn new(name: &str, args: Vec<OsString>, log: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            args,
            log,
            state: Mutex::default(),
        }
    }

    /// Returns the name of the host or backend server that the process runs.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the process unless it is running or closed.
    ///
    /// # Errors
    ///
    /// Fails when the log file cannot be opened or the process cannot be started.
    pub fn start(&self) -> Result<()> {
        let mut state = self.state();
        if state.process.is_some() || state.closed {
            return Ok(());
        }
        let program = std::env::current_exe().map_err(io("find-program", &self.name))?;
        let open = File::options().create(true).append(true).open(&self.log);
        let log = open.map_err(io("open-log", self.log.display().to_string()))?;
        let copy = log.try_clone().map_err(io("open-log", &self.name))?;
        state.start_us = clock::now_us();
        let spawned = Command::new(program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn();
        state.process = Some(spawned.map_err(io("start", &self.name))?);
        state.last_alive_us = clock::now_us();
        Ok(())
    }

    /// Sends a signal to the process if it is running.
    ///
    /// # Errors
    ///
    /// Fails when the operating system refuses the signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let state = self.state();
        let Some(process) = &state.process else {
            return Ok(());
        };
        let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        let sent = pid.map_or(Ok(()), |pid| kill_process(pid, signal));
        sent.map_err(|error| io("signal", &self.name)(error.into()))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&self) {
        let at_us = clock::now_us();
        let mut state = self.state();
        let Some(mut process) = state.process.take() else {
            return;
        };
        // An error means that the process has already exited.
        let _ = process.kill();
        let _ = process.wait();
        state.record_end(at_us);
    }

    /// Kills the process and prevents further starts.
    pub fn close(&self) {
        self.state().closed = true;
        self.kill();
    }

    /// Returns whether the process is running, and records its end if it has exited.
    pub fn is_running(&self) -> bool {
        let now_us = clock::now_us();
        let mut state = self.state();
        let exited = match &mut state.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => return false,
        };
        if exited {
            let last_alive_us = state.last_alive_us;
            state.record_end(last_alive_us);
        } else {
            state.last_alive_us = now_us;
        }
        !exited
    }

    /// Waits until the process has exited; returns `false` after `limit`.
    pub async fn exited(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while self.is_running() {
            if start.elapsed() > limit {
                return false;
            }
            tokio::time::sleep(POLL).await;
        }
        true
    }

    /// Returns all incarnations so far; the current one lasts until now.
    #[must_use]
    pub fn incarnations(&self) -> Vec<Incarnation> {
        let state = self.state();
        let current = state
            .process
            .as_ref()
            .map(|_| (state.start_us, clock::now_us()));
        let spans = state.incarnations.iter().copied().chain(current);
        spans.map(|span| self.incarnation(span)).collect()
    }

    fn incarnation(&self, (from_us, to_us): (u64, u64)) -> Incarnation {
        Incarnation {
            backend: self.name.clone(),
            from_us,
            to_us,
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}
