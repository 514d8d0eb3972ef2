//! Simulated store with conditional updates and lost responses.

use tarragon_lease::proposal::WriteOutcome;
use tarragon_model::record::Record;

use super::{Event, MS, Simulation, Write};

impl Simulation {
    pub(super) fn read(&mut self, host: usize) {
        if self.store_down_until > self.now || self.rng.chance(self.network.store_lost_percent) {
            return;
        }
        let at = self.now + self.store_delay();
        let record = self.record.clone();
        self.schedule(at, Event::Learn { to: host, record });
    }

    pub(super) fn store_write(&mut self, from: usize, write: Write) {
        let down = self.store_down_until > self.now;
        let refused = !down && write.attempt == 0 && self.rng.chance(self.network.loss_percent / 2);
        if !down && !refused && self.record.epoch + 1 == write.epoch {
            self.record.epoch = write.epoch;
            self.record.replica_set = write.replica_set.clone();
            self.record.token.clone_from(&write.token);
        }
        let lost =
            self.store_responses_to_lose > 0 || self.rng.chance(self.network.store_lost_percent);
        self.store_responses_to_lose = self.store_responses_to_lose.saturating_sub(1);
        let silent = down || lost;
        let record = (!silent).then(|| self.record.clone());
        let delay = if silent { 300 * MS } else { self.store_delay() };
        self.schedule(
            self.now + delay,
            Event::Written {
                to: from,
                write,
                record,
            },
        );
    }

    /// Reports the outcome of a write to its member, or retries a write that may still take effect.
    pub(super) fn written(&mut self, to: usize, mut write: Write, record: Option<Record>) {
        if self.processes[to].write.as_ref() != Some(&write.token) {
            return;
        }
        let definite = record
            .as_ref()
            .is_some_and(|record| write.attempt == 0 || record.epoch >= write.epoch);
        if !definite {
            self.act(to, |member, now, out| {
                member.handle_write_outcome(now, WriteOutcome::Unresolved, out);
            });
            write.attempt += 1;
            let at = self.now + self.store_delay();
            self.schedule(at, Event::StoreWrite { from: to, write });
            return;
        }
        self.processes[to].write = None;
        let record = record.unwrap();
        self.act(to, |member, now, out| {
            let applied = record.token == write.token;
            let outcome = if applied {
                WriteOutcome::Applied(&record)
            } else {
                WriteOutcome::NotApplied(&record)
            };
            member.handle_write_outcome(now, outcome, out);
        });
    }
}
