//! Carries out the outputs of the lease protocol.

use tarragon_lease::member::Role;
use tarragon_lease::output::Output as LeaseOutput;
use tarragon_ledger::ledger;
use tarragon_model::fence::Fence;
use tarragon_model::host::Peer;
use tarragon_model::outcome::Reason;
use tarragon_model::shard;
use tarragon_timeline::event::{Draft, Kind, Name};

use super::Node;
use crate::engine::{Engine, Log, Setup};
use crate::input::Now;
use crate::local_shard::LeaseOutputs;
use crate::message::{Envelope, Leadership, Message};
use crate::output::Output;
use crate::state::{Entry, State};

/// Fence of a new shard's first term.
const FIRST_TERM: Fence = Fence {
    epoch: 1,
    succession: 0,
};

impl Node {
    /// Carries out the outputs of a shard's member.
    pub(super) fn execute(
        &mut self,
        now: Now,
        id: &shard::Id,
        lease_outputs: LeaseOutputs,
        out: &mut Vec<Output>,
    ) {
        for output in lease_outputs {
            match output {
                LeaseOutput::Send { to, message } => {
                    let lease = Envelope {
                        shard: id.clone(),
                        message,
                    };
                    self.send(&to, Message::Lease(lease), out);
                }
                LeaseOutput::Write { epoch, replica_set } => {
                    self.write_replica_set(id, epoch, replica_set, out);
                }
                LeaseOutput::TermStarted { fence, complete } => {
                    self.start_term(now, id, fence, complete, out);
                }
                LeaseOutput::TermEnded { fence, reason } => {
                    let draft = Draft::new(Kind::TermEnded)
                        .with(Name::Shard, id)
                        .with(Name::Fence, fence)
                        .with(Name::Reason, reason);
                    out.push(Output::Event(draft));
                    if !self.continues(id, fence) {
                        self.stop_leading(id, out);
                    }
                }
                LeaseOutput::Committed { index } => {
                    self.with_engine(now, id, out, |engine, out, log| {
                        engine.handle_commit(now, index, out, log);
                    });
                }
                LeaseOutput::Suspect { peer } => {
                    let draft = Draft::new(Kind::SuccessionRequested)
                        .with(Name::Shard, id)
                        .with(Name::Peer, peer)
                        .with(Name::Step, "standby-silent");
                    out.push(Output::Event(draft));
                }
                LeaseOutput::TakeoverNeeded { .. } => self.take_over(now, id, out),
            }
        }
    }

    /// Starts a term of this process as leader.
    fn start_term(
        &mut self,
        now: Now,
        id: &shard::Id,
        fence: Fence,
        complete: bool,
        out: &mut Vec<Output>,
    ) {
        let draft = Draft::new(Kind::TermStarted)
            .with(Name::Shard, id)
            .with(Name::Fence, fence)
            .with(
                Name::Detail,
                if complete { "complete" } else { "memory-lost" },
            );
        out.push(Output::Event(draft));
        let mut lease_outputs = LeaseOutputs::new();
        if let Some(local_shard) = self.shards.get_mut(id) {
            // A new shard has no ledger to lose.
            let ledger_lost = !complete && fence > FIRST_TERM;
            if let (true, Some(member)) = (ledger_lost, &mut local_shard.member) {
                let horizon = ledger::Entry::Horizon { at: now.unix_ms };
                member.append(now.at, Entry::Ledger(horizon), &mut lease_outputs);
            }
            if let Some(engine) = &mut local_shard.engine {
                engine.start_term(fence);
            }
        }
        self.execute(now, id, lease_outputs, out);
        self.start_engine(now, id, out);
        let leader = self.settings.me.clone();
        self.directory.update(&Leadership {
            shard: id.clone(),
            fence,
            leader,
        });
        self.mark_view_changed();
        self.heartbeat(now, out);
    }

    /// Starts to lead a shard once this process knows the configuration that was applied to it.
    pub(super) fn start_engine(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        let Some(member) = &mut local_shard.member else {
            return;
        };
        let config_known = self.config_version >= member.state().config_version;
        if local_shard.engine.is_some() || !member.may_act(now.at) || !config_known {
            return;
        }
        let fence = member.fence();
        let setup = Setup {
            shard: id,
            fence,
            config: &self.config,
            config_version: self.config_version,
            has_predecessor: fence > FIRST_TERM,
            policies: &self.settings.policies,
            no_regrant_wait: self.settings.no_regrant_wait,
            resend_after_first_byte: self.settings.resend_after_first_byte,
        };
        let mut lease_outputs = LeaseOutputs::new();
        let mut log = Log {
            member,
            out: &mut lease_outputs,
        };
        local_shard.engine = Engine::new(now, setup, &mut log);
        self.execute(now, id, lease_outputs, out);
    }

    /// Returns whether this process leads the epoch that directly follows an ended term. It
    /// proposed that epoch itself, so no other process led in between and its engine continues.
    fn continues(&self, id: &shard::Id, ended: Fence) -> bool {
        let member = self
            .shards
            .get(id)
            .and_then(|local_shard| local_shard.member.as_ref());
        member.is_some_and(|member| {
            member.role() == Role::Leader && member.fence() == Fence::new(ended.epoch + 1, 0)
        })
    }

    /// Stops leading a shard.
    fn stop_leading(&mut self, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(local_shard) = self.shards.get_mut(id) else {
            return;
        };
        if let Some(mut engine) = local_shard.engine.take() {
            engine.refuse_waiting(Reason::LeaseExpired, out);
        }
        local_shard.handover = None;
        self.mark_view_changed();
    }

    /// Handles that operators declared a host lost.
    pub(super) fn declare_host_lost(&mut self, now: Now, peer: &Peer, out: &mut Vec<Output>) {
        if self.members.is_gone(peer) || *peer == self.settings.me {
            return;
        }
        self.members.declare_lost(peer);
        let draft = Draft::new(Kind::HostGone).with(Name::Peer, peer);
        out.push(Output::Event(draft.with(Name::Reason, "declared lost")));
        let gone: Vec<Peer> = self
            .shards
            .values()
            .filter_map(|local_shard| local_shard.record.as_ref())
            .flat_map(|record| {
                [
                    &record.replica_set.leader,
                    &record.replica_set.first,
                    &record.replica_set.second,
                ]
            })
            .filter(|member| self.members.is_gone(member))
            .cloned()
            .collect();
        for peer in gone {
            self.mark_peer_gone(now, &peer, out);
        }
    }

    /// Tells the members of all shards that a process is known to be gone.
    pub(super) fn mark_peer_gone(&mut self, now: Now, peer: &Peer, out: &mut Vec<Output>) {
        let ids: Vec<shard::Id> = self.shards.keys().cloned().collect();
        for id in ids {
            self.mark_peer_gone_in(now, &id, peer, out);
        }
    }

    /// Tells the member of a shard that a process is known to be gone.
    pub(super) fn mark_peer_gone_in(
        &mut self,
        now: Now,
        id: &shard::Id,
        peer: &Peer,
        out: &mut Vec<Output>,
    ) {
        let mut lease_outputs = LeaseOutputs::new();
        if let Some(member) = self
            .shards
            .get_mut(id)
            .and_then(|local_shard| local_shard.member.as_mut())
        {
            member.mark_gone(now.at, peer, &mut lease_outputs);
        }
        self.execute(now, id, lease_outputs, out);
    }

    /// Returns the replicated state of a shard, if this process holds it.
    pub(super) fn state_of(&self, id: &shard::Id) -> Option<&State> {
        Some(self.shards.get(id)?.member.as_ref()?.state())
    }
}
