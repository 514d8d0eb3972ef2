//! Forwarding of requests and their results to the engine of their shard.

use tarragon_model::outcome::{Outcome, Reason};

use super::Node;
use crate::input::{Ending, Now, Submission};
use crate::output::Output;

impl Node {
    /// Submits a request to its shard's engine, or refuses it if this process may not lead.
    pub(super) fn submit(&mut self, now: Now, submission: Submission, out: &mut Vec<Output>) {
        let id = submission.id;
        let shard = submission.shard.clone();
        let local_shard = self.shards.get(&shard);
        let is_leader = local_shard.is_some_and(|local_shard| local_shard.engine.is_some());
        let is_acting = local_shard.is_some_and(|local_shard| local_shard.is_acting(now.at));
        if !is_leader || !is_acting {
            let reason = if is_leader {
                Reason::LeaseExpired
            } else {
                Reason::NoLeader
            };
            out.push(Output::Refuse {
                id,
                outcome: Outcome::NotRun,
                reason,
                status: None,
            });
            return;
        }
        self.requests.insert(id, shard.clone());
        self.with_engine(now, &shard, out, |engine, out, log| {
            engine.submit(now, submission, out, log);
        });
    }

    /// Forwards the start of a response.
    pub(super) fn handle_response(
        &mut self,
        now: Now,
        id: u64,
        status: u16,
        instance: Option<&str>,
        out: &mut Vec<Output>,
    ) {
        if let Some(shard) = self.requests.get(&id).cloned() {
            self.with_engine(now, &shard, out, |engine, out, log| {
                engine.handle_response(now, id, status, instance, out, log);
            });
        }
    }

    /// Forwards the end of a dispatched request.
    pub(super) fn handle_end(&mut self, now: Now, id: u64, ending: &Ending, out: &mut Vec<Output>) {
        let shard = self.requests.get(&id).cloned();
        let known = shard.as_ref().is_some_and(|shard| {
            self.shards.get(shard).is_some_and(|local_shard| {
                local_shard
                    .engine
                    .as_ref()
                    .is_some_and(|engine| engine.is_tracking(id))
            })
        });
        match shard {
            Some(shard) if known => {
                self.with_engine(now, &shard, out, |engine, out, log| {
                    engine.handle_end(now, id, ending, out, log);
                });
            }
            _ => out.push(refuse_without_engine(id, ending)),
        }
        if matches!(
            ending,
            Ending::Served | Ending::Truncated | Ending::Abandoned
        ) {
            self.requests.remove(&id);
        }
    }

    /// Forwards that a request's caller disconnected.
    pub(super) fn handle_cancel(&mut self, now: Now, id: u64) {
        let Some(shard) = self.requests.remove(&id) else {
            return;
        };
        if let Some(engine) = self
            .shards
            .get_mut(&shard)
            .and_then(|local_shard| local_shard.engine.as_mut())
        {
            engine.handle_cancel(now, id);
        }
    }

    /// Stops tracking requests that were refused.
    pub(super) fn remove_refused(&mut self, outputs: &[Output]) {
        for output in outputs {
            if let Output::Refuse { id, .. } = output {
                self.requests.remove(id);
            }
        }
    }
}

/// Refuses a request that was dispatched in an ended term of this process.
fn refuse_without_engine(id: u64, ending: &Ending) -> Output {
    let not_run = matches!(
        ending,
        Ending::Refused { .. } | Ending::NotConnected { .. } | Ending::NotSent
    );
    let outcome = if not_run {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    };
    let reason = if not_run {
        Reason::LeaseExpired
    } else {
        Reason::BackendFailed
    };
    Output::Refuse {
        id,
        outcome,
        reason,
        status: None,
    }
}
