//! Faults of hosts, backend servers, links and the store.

use rand::RngExt;
use tarragon_model::host::{Id, Peer};
use tarragon_model::shard;
use tarragon_node::input::Input;

use super::Simulation;
use super::event::Action;
use super::setup::BackendAccess;

/// A fault or its end.
#[derive(Clone, Debug)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    /// Freezes a host for a time in microseconds.
    Freeze(usize, u64),
    Drain(usize),
    DeclareHost(usize),
    /// Cuts the link between two hosts.
    Cut(usize, usize),
    /// Restores all links.
    Heal,
    StoreUnavailable(bool),
    /// Sets the share of updates whose response is lost, in percent.
    LoseResponses(u32),
    KillBackend(usize),
    StartBackend(usize),
    /// Freezes a backend server for a time in microseconds.
    FreezeBackend(usize, u64),
    DeclareBackend(usize, bool),
    DrainBackend(usize, bool),
    /// Changes the configuration without a fault.
    Configure,
    /// Kills the process that is leader (0), first (1) or second standby (2) of a shard.
    KillReplica(shard::Id, usize),
}

impl Simulation {
    /// Applies a fault now.
    pub fn inject_fault(&mut self, fault: Fault) {
        self.trace(|| format!("fault {fault:?}"));
        match fault {
            Fault::Kill(host) => self.kill(host),
            Fault::Start(host) => self.start(host),
            Fault::Freeze(host, span) => {
                let until = self.now + span;
                let host = &mut self.hosts[host];
                host.frozen_until = host.frozen_until.max(until);
            }
            Fault::Drain(host) => {
                let process = self.hosts[host].process;
                self.hosts[host].leaving = true;
                self.later(0, Action::input(process, Input::Drain));
            }
            Fault::DeclareHost(host) => self.declare_host(host),
            Fault::Cut(a, b) => {
                self.cuts.insert((a, b));
                self.cuts.insert((b, a));
            }
            Fault::Heal => self.cuts.clear(),
            Fault::StoreUnavailable(unavailable) => self.set_store_unavailable(unavailable),
            Fault::LoseResponses(percent) => self.store.lost_responses = percent,
            Fault::KillBackend(backend) => self.crash(backend),
            Fault::StartBackend(backend) => self.restart(backend),
            Fault::FreezeBackend(backend, span) => {
                let until = self.now + span;
                let backend = &mut self.backends[backend];
                backend.frozen_until = backend.frozen_until.max(until);
            }
            Fault::DeclareBackend(backend, lost) => {
                if !lost || !self.backends[backend].up {
                    self.backends[backend].declared_lost = lost;
                    self.change_config(|config| config.backend_mut(backend).lost = lost);
                }
            }
            Fault::DrainBackend(backend, draining) => {
                self.change_config(|config| config.backend_mut(backend).draining = draining);
            }
            Fault::Configure => {
                let percent = self.rng.random_range(70..=100);
                self.change_config(|config| config.presets.ordinary.slots_percent = percent);
            }
            Fault::KillReplica(shard, position) => {
                let Some((_, record)) = self.store.records.get(&shard) else {
                    return;
                };
                let replica_set = &record.replica_set;
                let peers = [&replica_set.leader, &replica_set.first, &replica_set.second];
                let host = host_index(&peers[position].host);
                self.kill(host);
            }
        }
    }

    /// Lets an operator declare a killed process lost.
    fn declare_host(&mut self, host: usize) {
        if self.hosts[host].node.is_some() {
            return;
        }
        let peer = self.hosts[host].peer();
        self.store.lost.push(peer.clone());
        self.broadcast(&|| Input::HostLost(peer.clone()));
    }

    /// Ends all faults.
    pub fn end_faults(&mut self) {
        self.trace(|| "end_faults".to_owned());
        self.faults_ended = self.now;
        self.cuts.clear();
        self.loss = 0;
        self.late_send_rate = 0;
        self.poison = 0;
        self.store.lost_responses = 0;
        self.set_store_unavailable(false);
        for host in 0..self.hosts.len() {
            self.hosts[host].frozen_until = self.hosts[host].frozen_until.min(self.now);
            if self.hosts[host].node.is_none() || self.hosts[host].leaving {
                self.kill(host);
                self.start(host);
            }
        }
        for backend in 0..self.backends.len() {
            self.backends[backend].frozen_until = self.backends[backend].frozen_until.min(self.now);
            self.backends[backend].declared_lost = false;
            self.restart(backend);
        }
        self.change_config(|config| {
            for service in &mut config.services {
                for backend in &mut service.backends {
                    backend.lost = false;
                    backend.draining = false;
                }
            }
        });
    }
}

/// Returns the position of a host, from its name.
pub fn host_index(id: &Id) -> usize {
    id.as_str()[1..].parse().unwrap()
}

/// Formats a process for messages.
pub fn peer_name(peer: &Peer) -> String {
    peer.to_string()
}
