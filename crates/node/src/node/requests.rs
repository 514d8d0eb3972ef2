//! Bringing callers' requests to the engine of their shard.

use tarragon_model::outcome::{Outcome, Reason};

use super::Node;
use crate::input::{Ending, Now, Submission};
use crate::output::Output;

impl Node {
    pub(super) fn submit(&mut self, now: Now, submission: Submission, out: &mut Vec<Output>) {
        let id = submission.id;
        let shard = submission.shard.clone();
        let slot = self.slots.get(&shard);
        let leads = slot.is_some_and(|slot| slot.engine.is_some());
        let acts = slot.is_some_and(|slot| slot.is_acting(now.at));
        if !leads || !acts {
            let reason = if leads {
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

    pub(super) fn responded(
        &mut self,
        now: Now,
        id: u64,
        status: u16,
        instance: Option<&str>,
        out: &mut Vec<Output>,
    ) {
        if let Some(shard) = self.requests.get(&id).cloned() {
            self.with_engine(now, &shard, out, |engine, out, log| {
                engine.responded(now, id, status, instance, out, log);
            });
        }
    }

    pub(super) fn ended(&mut self, now: Now, id: u64, ending: &Ending, out: &mut Vec<Output>) {
        let shard = self.requests.get(&id).cloned();
        let known = shard.as_ref().is_some_and(|shard| {
            self.slots.get(shard).is_some_and(|slot| {
                slot.engine
                    .as_ref()
                    .is_some_and(|engine| engine.answers_for(id))
            })
        });
        match shard {
            Some(shard) if known => {
                self.with_engine(now, &shard, out, |engine, out, log| {
                    engine.ended(now, id, ending, out, log);
                });
            }
            _ => out.push(answer_without_engine(id, ending)),
        }
        if matches!(
            ending,
            Ending::Served | Ending::Truncated | Ending::Abandoned
        ) {
            self.requests.remove(&id);
        }
    }

    pub(super) fn cancelled(&mut self, now: Now, id: u64) {
        let Some(shard) = self.requests.remove(&id) else {
            return;
        };
        if let Some(engine) = self
            .slots
            .get_mut(&shard)
            .and_then(|slot| slot.engine.as_mut())
        {
            engine.cancelled(now, id);
        }
    }

    /// Drops requests that were answered from the books.
    pub(super) fn forget_answered(&mut self, outputs: &[Output]) {
        for output in outputs {
            if let Output::Refuse { id, .. } = output {
                self.requests.remove(id);
            }
        }
    }
}

/// Answers a request that was handed over by a reign of this process that has ended.
fn answer_without_engine(id: u64, ending: &Ending) -> Output {
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
