//! Child processes, each ended by its own process id.

use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use crate::clock;
use crate::error::{Result, io};
use crate::trace::Life;

/// Pause between two looks at whether a process has ended.
const POLL: Duration = Duration::from_millis(5);

/// Process that can be started again under the same name; killed when dropped.
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
    /// Time before the current process was started.
    born_us: u64,
    /// Latest time at which the current process is known to have lived.
    alive_us: u64,
    lives: Vec<(u64, u64)>,
    /// Whether the process may not be started any more.
    closed: bool,
}

impl State {
    fn end(&mut self, at_us: u64) {
        self.process = None;
        self.lives.push((self.born_us, at_us));
    }
}

impl Child {
    /// Describes a process that runs this program again with `args` and logs to `log`.
    #[must_use]
    pub fn new(name: &str, args: Vec<OsString>, log: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            args,
            log,
            state: Mutex::default(),
        }
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts the process unless it runs or was closed.
    ///
    /// # Errors
    ///
    /// Fails when the program or the log file cannot be opened.
    pub fn start(&self) -> Result<()> {
        let mut state = self.state();
        if state.process.is_some() || state.closed {
            return Ok(());
        }
        let program = std::env::current_exe().map_err(io("find-program", &self.name))?;
        let open = File::options().create(true).append(true).open(&self.log);
        let log = open.map_err(io("open-log", self.log.display().to_string()))?;
        let copy = log.try_clone().map_err(io("open-log", &self.name))?;
        state.born_us = clock::now_us();
        let spawned = Command::new(program)
            .args(&self.args)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn();
        state.process = Some(spawned.map_err(io("start", &self.name))?);
        state.alive_us = clock::now_us();
        Ok(())
    }

    /// Sends a signal to the process if it runs.
    ///
    /// # Errors
    ///
    /// Fails when the system refuses the signal.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let state = self.state();
        let Some(process) = &state.process else {
            return Ok(());
        };
        let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
        let sent = pid.map_or(Ok(()), |pid| kill_process(pid, signal));
        sent.map_err(|error| io("signal", &self.name)(error.into()))
    }

    /// Kills the process and waits until it is gone.
    pub fn kill(&self) {
        let at_us = clock::now_us();
        let mut state = self.state();
        let Some(mut process) = state.process.take() else {
            return;
        };
        // An error means that the process is gone already.
        let _ = process.kill();
        let _ = process.wait();
        state.end(at_us);
    }

    /// Kills the process for good.
    pub fn close(&self) {
        self.state().closed = true;
        self.kill();
    }

    /// Looks at whether the process runs, and takes note of its end.
    pub fn is_running(&self) -> bool {
        let now_us = clock::now_us();
        let mut state = self.state();
        let ended = match &mut state.process {
            Some(process) => matches!(process.try_wait(), Ok(Some(_))),
            None => return false,
        };
        if ended {
            let alive_us = state.alive_us;
            state.end(alive_us);
        } else {
            state.alive_us = now_us;
        }
        !ended
    }

    /// Waits until the process has ended; tells whether it did.
    pub async fn ended(&self, limit: Duration) -> bool {
        let start = Instant::now();
        while self.is_running() {
            if start.elapsed() > limit {
                return false;
            }
            tokio::time::sleep(POLL).await;
        }
        true
    }

    /// Returns the lives of the processes so far, the current one up to now.
    #[must_use]
    pub fn lives(&self) -> Vec<Life> {
        let state = self.state();
        let current = state
            .process
            .as_ref()
            .map(|_| (state.born_us, clock::now_us()));
        let spans = state.lives.iter().copied().chain(current);
        spans.map(|span| self.life(span)).collect()
    }

    fn life(&self, (from_us, to_us): (u64, u64)) -> Life {
        Life {
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
