//! Faults of processes and of the network.

use tarragon_lease::Member;
use tarragon_model::host::Peer;

use super::{Event, MS, World};

/// What happens to the processes from outside.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    /// Starts a new incarnation, which proves to all that the old one is gone.
    Restart(usize),
    /// An operator declares the killed process of a host lost.
    DeclareLost(usize),
    Freeze {
        host: usize,
        micros: u64,
    },
    Cut {
        from: usize,
        to: usize,
        micros: u64,
    },
    Isolate {
        host: usize,
        micros: u64,
    },
    StoreDown {
        micros: u64,
    },
    /// Cuts whoever may act off its standbys, but not off other processes.
    Shun {
        micros: u64,
    },
    KillActor,
    Resign,
    Propose,
    Append,
}

impl World {
    pub(super) fn inflict(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(host) => self.processes[host].alive = false,
            Fault::Restart(host) => self.restart(host),
            Fault::DeclareLost(host) => {
                let process = &self.processes[host];
                if !process.alive {
                    let peer = process.peer.clone();
                    self.spread_gone(&peer);
                }
            }
            Fault::Freeze { host, micros } => {
                self.processes[host].frozen_until = self.now + micros;
            }
            Fault::Cut { from, to, micros } => {
                self.cuts.insert((from, to), self.now + micros);
            }
            Fault::Isolate { host, micros } => {
                for other in 0..self.processes.len() {
                    self.cuts.insert((host, other), self.now + micros);
                    self.cuts.insert((other, host), self.now + micros);
                }
            }
            Fault::StoreDown { micros } => self.store_down_until = self.now + micros,
            Fault::Shun { micros } => self.shun(micros),
            Fault::KillActor => {
                for host in self.actors() {
                    self.processes[host].alive = false;
                }
            }
            Fault::Resign => {
                for host in self.unfrozen_actors() {
                    self.act(host, Member::resign);
                }
            }
            Fault::Propose => {
                for host in self.unfrozen_actors() {
                    self.propose(host);
                }
            }
            Fault::Append => {
                for host in self.unfrozen_actors() {
                    self.append(host);
                }
            }
        }
    }

    fn shun(&mut self, micros: u64) {
        let until = self.now + micros;
        for host in self.actors() {
            let replica_set = self.processes[host]
                .member
                .as_ref()
                .unwrap()
                .replica_set()
                .clone();
            for other in 0..self.processes.len() {
                if other != host && replica_set.contains(&self.processes[other].peer) {
                    self.cuts.insert((host, other), until);
                    self.cuts.insert((other, host), until);
                }
            }
        }
    }

    fn unfrozen_actors(&self) -> Vec<usize> {
        let thawed = |&host: &usize| self.processes[host].frozen_until <= self.now;
        self.actors().into_iter().filter(thawed).collect()
    }

    fn restart(&mut self, host: usize) {
        let rate_ppm = self.rng.range(950_000..1_050_001);
        let process = &mut self.processes[host];
        let old = process.peer.clone();
        process.peer = Peer::new(old.host.clone(), old.incarnation + 1);
        process.alive = true;
        process.frozen_until = 0;
        process.rate_ppm = rate_ppm;
        process.member = None;
        process.waiting.clear();
        process.write = None;
        process.tick_at = u64::MAX;
        self.schedule(self.now + MS, Event::StoreRead { from: host });
        self.spread_gone(&old);
    }

    fn spread_gone(&mut self, peer: &Peer) {
        for to in 0..self.processes.len() {
            let at = self.now + self.delay();
            self.schedule(
                at,
                Event::Gone {
                    to,
                    peer: peer.clone(),
                },
            );
        }
    }
}
