//! Delays of commands: from due to sent, and from due to the outcome.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::granter::{Action, Command};

use crate::logging::Limiter;
use crate::metrics::Metrics;

/// Time from due to the outcome from which on a grant is logged as slow.
const SLOW_GRANT: Duration = Duration::from_secs(1);
/// The same for a release, whose response waits for running requests.
const SLOW_RELEASE: Duration = Duration::from_secs(4);
/// Maximum number of lines in a second.
const LINES_PER_S: u32 = 4;

/// Records the delays of commands.
pub(super) struct Monitor {
    lines: Limiter,
}

impl Default for Monitor {
    fn default() -> Self {
        Self {
            lines: Limiter::new(LINES_PER_S),
        }
    }
}

impl Monitor {
    /// Records a command that ended at `now`; `sent` is `None` if it was not sent.
    pub(super) fn record(
        &mut self,
        metrics: &Metrics,
        command: &Command,
        (due, sent): (Instant, Option<Instant>),
        result: &'static str,
        now: Instant,
    ) {
        let (action, slow) = match command.action {
            Action::Grant => ("grant", SLOW_GRANT),
            Action::Release => ("release", SLOW_RELEASE),
        };
        let to_sent = sent.map(|sent| sent.since(due));
        let to_outcome = now.since(due);
        metrics.record_command(action, to_sent, to_outcome);
        if to_outcome < slow {
            return;
        }
        if let Some(dropped) = self.lines.allow(tokio::time::Instant::now()) {
            let sent_ms =
                to_sent.map_or_else(|| "-".to_owned(), |time| time.as_millis().to_string());
            log::warn!(
                "event=command-slow action={action} server={} keys={}-{} fence={} sent_ms={sent_ms} outcome_ms={} result={result} dropped={dropped}",
                command.server.id,
                command.from,
                command.to,
                command.fence,
                to_outcome.as_millis(),
            );
        }
    }
}
