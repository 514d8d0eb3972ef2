//! Election of the granter, and the votes that confirm its term.

use rand::RngExt;
use tarragon_owner::granter::{Granter, SeededFault, Timing};
use tarragon_owner::votes::{self, Voters};

use super::restore::{FORGOTTEN, first_of_era};
use super::{
    BLOCKED_TIME, ELECTION_TIMEOUT, Fault, GRANT_DURATION, GranterState, Host,
    MAX_CONFIRMATION_AGE, Predecessor, SEND_WINDOW, Simulation, voter,
};

impl Simulation {
    /// Becomes the granter if nobody is, or if the current one has not renewed its term for long.
    pub(super) fn try_election(&mut self, index: usize) {
        let (version, holder) = self.store.election;
        let incarnation = self.hosts[index].incarnation;
        let election_seen = &mut self.hosts[index].election_seen;
        if election_seen.0 != version {
            *election_seen = (version, self.now);
        }
        let own = holder.is_some_and(|(host, _)| host == index);
        if holder.is_some() && !own && self.now.since(election_seen.1) < ELECTION_TIMEOUT {
            return;
        }
        let forgotten = self.forgotten_predecessor();
        self.store.election = (version + 1, Some((index, incarnation)));
        self.store.predecessors.retain(|p| p.process.0 != index);
        let voters = std::mem::replace(&mut self.store.voters, vec![voter((index, incarnation))]);
        let replaced_voters = voters.clone();
        let replaced = holder.filter(|_| !own).map(|process| Predecessor {
            process,
            voters,
            blocked_since: None,
        });
        self.store.predecessors.extend(replaced);
        self.store.predecessors.extend(forgotten);
        self.store.record_era = self.store.era;
        self.hosts[index].pledge.follow(version + 1);
        let predecessors = self.store.predecessors.clone();
        let (plan_version, plan) = self.store.plan.clone();
        let first = plan.is_none();
        let mut plan = plan.unwrap_or_else(|| self.first_plan());
        let held_back = self.plan_may_be_old();
        if held_back {
            plan = plan.renewed(plan.sequence.max(first_of_era(plan_version)) + 1);
        }
        if first || held_back {
            self.store.plan = (plan_version + 1, Some(plan.clone()));
        }
        if self.fault == Fault::FenceReused {
            plan.sequence = 1;
        }
        let sole = predecessors.is_empty();
        let granter_fault = match self.fault {
            Fault::Granter(granter_fault) => granter_fault,
            _ => SeededFault::None,
        };
        let mut granter = Granter::new(
            plan,
            sole,
            Timing::with_grant_duration(GRANT_DURATION),
            self.now,
        )
        .with_seeded_fault(granter_fault);
        if held_back {
            granter.hold_back(sole, self.now);
        }
        let mut voters = Voters::new(self.store.voters.clone());
        if self.copies.is_some() {
            let replaced = predecessors.iter().map(|p| p.voters.clone());
            voters.require(replaced.chain([replaced_voters]).collect());
        }
        self.hosts[index].granter_state = Some(GranterState {
            granter,
            claimed: self.now,
            renewed: self.now,
            plan_version: self.store.plan.0,
            predecessors,
            planned: self.now,
            confirmed: self.now,
            ticked: self.now,
            term: version + 1,
            voters,
        });
    }

    pub(super) fn renew_term(&mut self, index: usize) {
        let survives = self.copies.is_none() || self.survive_restore(index);
        let (version, holder) = self.store.election;
        if survives && holder == Some((index, self.hosts[index].incarnation)) {
            let followers = self.followers(index);
            let lost = self.rng.random_bool(0.5);
            if let Some(granter_state) = &mut self.hosts[index].granter_state {
                self.store
                    .predecessors
                    .clone_from(&granter_state.predecessors);
                self.store.voters.clone_from(&followers);
                let proposal = if self.fault == Fault::IgnoreProposals {
                    0
                } else {
                    granter_state.voters.propose(&followers)
                };
                if !lost {
                    granter_state.voters.confirm(proposal, followers);
                    granter_state.confirmed = self.now;
                }
            }
            // Frequent elections would keep the hold after a restore from ever ending.
            let renewal = if self.copies.is_some() { 0.2 } else { 0.05 };
            if self.rng.random_bool(renewal) {
                self.store.election.0 = version + 1;
                if let Some(granter_state) = &mut self.hosts[index].granter_state
                    && !lost
                {
                    granter_state.renewed = self.now;
                }
            }
        } else if let Some(granter_state) = &mut self.hosts[index].granter_state {
            granter_state.granter.step_down();
            if self.fault != Fault::Granter(SeededFault::RenewAfterStepDown) {
                self.hosts[index].granter_state = None;
            }
        }
    }

    /// Steps down when a later granter reaches this one.
    pub(super) fn step_down_for_later(&mut self, index: usize) {
        let later = self.hosts.iter().enumerate().find_map(|(other, host)| {
            let granter_state = host.granter_state.as_ref()?;
            let is_predecessor = granter_state
                .predecessors
                .iter()
                .any(|p| p.process == (index, self.hosts[index].incarnation));
            let linked = self.now >= host.unreachable_until
                && self.now >= self.hosts[index].unreachable_until;
            (is_predecessor && linked && self.now >= host.frozen_until).then_some(other)
        });
        let Some(later) = later else { return };
        if let Some(granter_state) = &mut self.hosts[index].granter_state {
            granter_state.granter.step_down();
        }
        if self.fault != Fault::Granter(SeededFault::RenewAfterStepDown) {
            self.hosts[index].granter_state = None;
        }
        let now = self.now;
        if let Some(granter_state) = &mut self.hosts[later].granter_state {
            granter_state.predecessor_stopped(index, now);
        }
    }

    /// Detects that the process of an earlier granter has ended.
    pub(super) fn detect_ended_predecessors(&mut self, index: usize) {
        let now = self.now;
        let Some(granter_state) = &self.hosts[index].granter_state else {
            return;
        };
        let ended: Vec<usize> = granter_state
            .predecessors
            .iter()
            .map(|predecessor| predecessor.process)
            .filter(|process| *process != FORGOTTEN)
            .filter(|(host, incarnation)| {
                let other = &self.hosts[*host];
                let ended = other.incarnation != *incarnation || other.granter_state.is_none();
                let linked =
                    now >= other.unreachable_until && now >= self.hosts[index].unreachable_until;
                ended && linked && now >= other.frozen_until
            })
            .map(|(host, _)| host)
            .collect();
        if let Some(granter_state) = &mut self.hosts[index].granter_state {
            for host in ended {
                granter_state.predecessor_stopped(host, now);
            }
        }
    }

    /// Returns the processes that follow a granter, including its own.
    ///
    /// A host follows the latest granter that it hears from, and never returns to an earlier one.
    pub(super) fn followers(&mut self, index: usize) -> Vec<String> {
        let now = self.now;
        let linked = |host: &Host| now >= host.unreachable_until && now >= host.frozen_until;
        let own = voter((index, self.hosts[index].incarnation));
        let term = |host: &Host| host.granter_state.as_ref().map(|state| state.term);
        let own_term = term(&self.hosts[index]);
        let later = self
            .hosts
            .iter()
            .enumerate()
            .any(|(other, host)| other != index && term(host) > own_term && linked(host));
        if later || !linked(&self.hosts[index]) {
            return vec![own];
        }
        let forgets = self.fault == Fault::ForgetPledge;
        let followers = self
            .hosts
            .iter_mut()
            .enumerate()
            .filter_map(|(other, host)| {
                let hears = other != index && host.granter_state.is_none() && linked(host);
                let follows =
                    hears && (host.pledge.follow(own_term.unwrap_or_default()) || forgets);
                follows.then(|| voter((other, host.incarnation)))
            });
        followers.chain([own]).collect()
    }

    /// Counts earlier granters as stopped once their voters have followed this one for long enough.
    pub(super) fn rule_out_predecessors(&mut self, index: usize, followers: &[String]) {
        let now = self.now;
        let Some(granter_state) = &mut self.hosts[index].granter_state else {
            return;
        };
        for predecessor in &mut granter_state.predecessors {
            if votes::is_blocked(&predecessor.voters, followers) {
                predecessor.blocked_since.get_or_insert(now);
            } else {
                predecessor.blocked_since = None;
            }
        }
        granter_state.predecessors.retain(|predecessor| {
            predecessor
                .blocked_since
                .is_none_or(|since| now.since(since) < BLOCKED_TIME)
        });
        if granter_state.predecessors.is_empty() {
            granter_state.granter.confirm_sole(now);
        }
    }

    /// Returns a granter that may still send commands although a later one has ruled it out.
    pub(super) fn ruled_out_granter(&self) -> Option<usize> {
        let now = self.now;
        let sends = |host: &Host, state: &GranterState| {
            now >= host.frozen_until
                && now.since(state.ticked) <= SEND_WINDOW
                && now.since(state.confirmed) < MAX_CONFIRMATION_AGE
        };
        (0..self.hosts.len()).find(|index| {
            let host = &self.hosts[*index];
            let process = (*index, host.incarnation);
            let Some(state) = &host.granter_state else {
                return false;
            };
            let later = self.hosts.iter().filter_map(|h| h.granter_state.as_ref());
            let mut later = later.filter(|other| other.term > state.term);
            let unknown = |p: &Predecessor| [process, FORGOTTEN].contains(&p.process);
            sends(host, state) && later.any(|other| !other.predecessors.iter().any(unknown))
        })
    }
}
