//! Driver of the simulated members: executes their outputs and checks them.

use std::collections::BTreeSet;

use tarragon_lease::Output;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::record::ReplicaSet;

use super::{Event, Simulation, Values, Write};

impl Simulation {
    pub(super) fn execute(&mut self, host: usize, output: Output<Values>) {
        match output {
            Output::Send { to, message } => self.send(host, &to, &message),
            Output::Write { epoch, replica_set } => {
                self.serial += 1;
                let token = format!("{}/{}", self.processes[host].peer, self.serial);
                self.processes[host].write = Some(token.clone());
                let at = self.now + self.store_delay();
                let write = Write {
                    epoch,
                    replica_set,
                    token,
                    attempt: 0,
                };
                self.schedule(at, Event::StoreWrite { from: host, write });
            }
            Output::TermStarted { fence, complete } => self.on_term_started(host, fence, complete),
            Output::TermEnded { .. } => {}
            Output::Committed { index } => {
                let uncommitted = &mut self.processes[host].uncommitted;
                let later = uncommitted.split_off(&(index + 1));
                for value in std::mem::replace(uncommitted, later).into_values() {
                    self.counts.committed += 1;
                    self.committed.insert(value);
                }
            }
            Output::Suspect { .. } | Output::TakeoverNeeded { .. } => {
                if self.repair {
                    self.propose(host);
                }
            }
        }
    }

    fn on_term_started(&mut self, host: usize, fence: Fence, complete: bool) {
        let latest = self.terms_started.last().map(|&(_, fence, _)| fence);
        if latest.is_some_and(|latest| latest >= fence) {
            self.record_violation(&format!("term {fence} started after {latest:?}"));
        }
        self.counts.terms += 1;
        self.counts.successions += u64::from(fence.succession > 0);
        self.terms_started
            .push((self.now, fence, self.processes[host].peer.clone()));
        let values = &self.processes[host].member.as_ref().unwrap().state().0;
        let replica: BTreeSet<u64> = values.iter().copied().collect();
        if complete {
            let missing: Vec<u64> = self.committed.difference(&replica).copied().collect();
            if !missing.is_empty() {
                self.record_violation(&format!("term {fence} lacks committed {missing:?}"));
            }
        } else {
            self.counts.incomplete += u64::from(fence.epoch > 1);
            self.committed.retain(|value| replica.contains(value));
            self.append(host);
        }
    }

    pub(super) fn append(&mut self, host: usize) {
        self.serial += 1;
        let value = self.serial;
        let mut index = None;
        self.act(host, |member, now, out| {
            index = member.append(now, value, out);
        });
        if let Some(index) = index {
            self.processes[host].uncommitted.insert(index, value);
        }
    }

    /// Proposes a replica set that keeps a responding standby and replaces the other one at random.
    pub(super) fn propose(&mut self, host: usize) {
        let process = &self.processes[host];
        let Some(member) = &process.member else {
            return;
        };
        let silent = member.silent_standbys(process.local(self.now));
        let old = member.replica_set().clone();
        let me = process.peer.clone();
        let mut others: Vec<Peer> = self
            .processes
            .iter()
            .filter(|other| {
                other.peer != me
                    && (other.alive
                        || (!self.only_live_candidates && self.rng.next().is_multiple_of(4)))
            })
            .map(|other| other.peer.clone())
            .collect();
        if others.len() < 2 {
            return;
        }
        let first = self.rng.index(others.len());
        others.swap(0, first);
        let kept = |peer: &Peer| old.contains(peer) && !silent.contains(peer);
        if let Some(at) = others.iter().position(kept) {
            others.swap(0, at);
        }
        let second = 1 + self.rng.index(others.len() - 1);
        others.swap(1, second);
        if self.rng.chance(50) {
            others.swap(0, 1);
        }
        let replica_set = ReplicaSet {
            leader: me,
            first: others[0].clone(),
            second: others[1].clone(),
        };
        self.act(host, |member, now, out| {
            let _ = member.propose(now, replica_set, out);
        });
    }
}
