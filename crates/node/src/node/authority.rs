//! Carrying out what the lease protocol asks for.

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
use crate::message::{Envelope, Leadership, Message};
use crate::output::Output;
use crate::slot::Asks;
use crate::state::{Entry, State};

/// First reign over a shard.
const FIRST: Fence = Fence {
    epoch: 1,
    succession: 0,
};

impl Node {
    /// Carries out what the member of a shard asks for, and what follows from that.
    pub(super) fn carry_out(
        &mut self,
        now: Now,
        id: &shard::Id,
        asks: Asks,
        out: &mut Vec<Output>,
    ) {
        for ask in asks {
            match ask {
                LeaseOutput::Send { to, message } => {
                    let lease = Envelope {
                        shard: id.clone(),
                        message,
                    };
                    self.send(&to, Message::Lease(lease), out);
                }
                LeaseOutput::Write { epoch, replica_set } => {
                    self.write_trio(id, epoch, replica_set, out);
                }
                LeaseOutput::TermStarted { fence, complete } => {
                    self.began(now, id, fence, complete, out);
                }
                LeaseOutput::TermEnded { fence, reason } => {
                    let draft = Draft::new(Kind::TermEnded)
                        .with(Name::Shard, id)
                        .with(Name::Fence, fence)
                        .with(Name::Reason, reason);
                    out.push(Output::Event(draft));
                    if !self.goes_on(id, fence) {
                        self.dismiss(id, out);
                    }
                }
                LeaseOutput::Committed { index } => {
                    self.with_engine(now, id, out, |engine, out, log| {
                        engine.committed(now, index, out, log);
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

    fn began(
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
        let mut asks = Asks::new();
        if let Some(slot) = self.slots.get_mut(id) {
            // A new shard has no memory to lose.
            let lost = !complete && fence > FIRST;
            if let (true, Some(member)) = (lost, &mut slot.member) {
                let horizon = ledger::Entry::Horizon { at: now.unix_ms };
                member.append(now.at, Entry::Ledger(horizon), &mut asks);
            }
            if let Some(engine) = &mut slot.engine {
                engine.renew(fence);
            }
        }
        self.carry_out(now, id, asks, out);
        self.start_engine(now, id, out);
        let leader = self.settings.me.clone();
        self.directory.learn(&Leadership {
            shard: id.clone(),
            fence,
            leader,
        });
        self.view_changed();
        self.heartbeat(now, out);
    }

    /// Starts to lead a shard once the configuration that was in force for it is known here.
    pub(super) fn start_engine(&mut self, now: Now, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        let Some(member) = &mut slot.member else {
            return;
        };
        let knows = self.config_version >= member.state().config_version;
        if slot.engine.is_some() || !member.may_act(now.at) || !knows {
            return;
        }
        let fence = member.fence();
        let setup = Setup {
            shard: id,
            fence,
            config: &self.config,
            config_version: self.config_version,
            succeeds: fence > FIRST,
            policies: &self.settings.policies,
            no_regrant_wait: self.settings.no_regrant_wait,
            resend_after_first_byte: self.settings.resend_after_first_byte,
        };
        let mut asks = Asks::new();
        let mut log = Log {
            member,
            out: &mut asks,
        };
        slot.engine = Engine::new(now, setup, &mut log);
        self.carry_out(now, id, asks, out);
    }

    /// Tells whether this process leads the epoch right after that of an ended reign: it proposed
    /// that epoch itself, so nobody else led in between and its engine goes on.
    fn goes_on(&self, id: &shard::Id, ended: Fence) -> bool {
        let member = self.slots.get(id).and_then(|slot| slot.member.as_ref());
        member.is_some_and(|member| {
            member.role() == Role::Leader && member.fence() == Fence::new(ended.epoch + 1, 0)
        })
    }

    /// Ends this process's leadership of a shard.
    fn dismiss(&mut self, id: &shard::Id, out: &mut Vec<Output>) {
        let Some(slot) = self.slots.get_mut(id) else {
            return;
        };
        if let Some(mut engine) = slot.engine.take() {
            engine.dismiss(Reason::LeaseExpired, out);
        }
        slot.handover = None;
        self.view_changed();
    }

    /// Takes in that operators declared a host lost.
    pub(super) fn host_lost(&mut self, now: Now, peer: &Peer, out: &mut Vec<Output>) {
        if self.members.is_gone(peer) || *peer == self.settings.me {
            return;
        }
        self.members.declare_lost(peer);
        let draft = Draft::new(Kind::HostGone).with(Name::Peer, peer);
        out.push(Output::Event(draft.with(Name::Reason, "declared lost")));
        let gone: Vec<Peer> = self
            .slots
            .values()
            .filter_map(|slot| slot.record.as_ref())
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
            self.peer_gone(now, &peer, out);
        }
    }

    /// Tells every shard that a process is proven gone.
    pub(super) fn peer_gone(&mut self, now: Now, peer: &Peer, out: &mut Vec<Output>) {
        let ids: Vec<shard::Id> = self.slots.keys().cloned().collect();
        for id in ids {
            self.peer_gone_from(now, &id, peer, out);
        }
    }

    pub(super) fn peer_gone_from(
        &mut self,
        now: Now,
        id: &shard::Id,
        peer: &Peer,
        out: &mut Vec<Output>,
    ) {
        let mut asks = Asks::new();
        if let Some(member) = self.slots.get_mut(id).and_then(|slot| slot.member.as_mut()) {
            member.mark_gone(now.at, peer, &mut asks);
        }
        self.carry_out(now, id, asks, out);
    }

    /// Returns the state of a shard, as far as this process holds it.
    pub(super) fn state_of(&self, id: &shard::Id) -> Option<&State> {
        Some(self.slots.get(id)?.member.as_ref()?.state())
    }
}
