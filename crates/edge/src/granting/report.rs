//! Outcome of a command, which is delivered also if the command's task panics.

use std::rc::Rc;
use std::thread;

use tarragon_model::time::Instant;
use tarragon_owner::granter::{Command, CommandOutcome};
use tokio::sync::mpsc::UnboundedSender;

use super::{Completion, Delivery, deliver};
use crate::state::State;

/// Delivers the outcome of a command when it is dropped. Without an outcome the command counts as
/// sent, since keys do not expire before the outcome of every grant is known.
pub(super) struct Report {
    pub(super) state: Rc<State>,
    pub(super) completions: UnboundedSender<Delivery>,
    pub(super) term: u64,
    pub(super) service: String,
    pub(super) command: Command,
    /// When the command was due.
    pub(super) due: Instant,
    /// How the command ended, and when it was sent, if it was.
    pub(super) result: Option<(CommandOutcome, Option<Instant>)>,
}

impl Report {
    /// Delivers how the command ended, and when it was sent, if it was.
    pub(super) fn deliver(mut self, result: (CommandOutcome, Option<Instant>)) {
        self.result = Some(result);
    }

    fn log_failed(&self) {
        let command = &self.command;
        log::error!(
            "event=command-task-failed service={} server={} keys={}-{} fence={}",
            self.service,
            command.server.id,
            command.from,
            command.to,
            command.fence
        );
    }
}

impl Drop for Report {
    fn drop(&mut self) {
        let (outcome, sent) = self.result.take().unwrap_or_else(|| {
            // The end of the process drops tasks as well.
            if thread::panicking() {
                self.log_failed();
            }
            (CommandOutcome::Unknown, Some(self.state.now()))
        });
        let completion = Completion::Command {
            service: std::mem::take(&mut self.service),
            command: self.command.clone(),
            due: self.due,
            sent,
            outcome,
        };
        deliver(&self.completions, self.term, completion);
    }
}
