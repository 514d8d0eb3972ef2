//! A store that comes back from an older copy, and what the granters do then.

use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use tarragon_model::time::Instant;
use tarragon_owner::plan::Plan;

use super::{
    Fault, GranterState, MAX_CONFIRMATION_AGE, Predecessor, Process, STEP, Simulation, voter,
};

/// Number of low bits of a version that hold the revision.
const REVISION_BITS: u32 = 40;
/// Longest age of a copy, in milliseconds.
const MAX_COPY_MS: u64 = 30_000;
/// Time after its claim for which a granter needs the votes of those that it replaced.
const YOUNG_TERM: Duration = Duration::from_mins(1);
/// Granter of the lost seconds that the store does not name.
pub(super) const FORGOTTEN: Process = (usize::MAX, 0);

/// Returns the era of a version.
pub(super) fn era_of(version: u64) -> u64 {
    version >> REVISION_BITS
}

/// Returns the first version of the era of a version.
pub(super) fn first_of_era(version: u64) -> u64 {
    era_of(version) << REVISION_BITS
}

impl Simulation {
    /// Creates a simulation whose store comes back from copies that are up to 30 s old.
    pub fn with_restores(seed: u64, fault: Fault) -> Self {
        let mut simulation = Self::new(seed, fault);
        simulation.copies = Some(VecDeque::new());
        if fault != Fault::IgnoreEra {
            simulation.store.record_era = 1;
            simulation.store.plan_era = 1;
            simulation.begin_era(1);
        }
        simulation
    }

    /// Creates a simulation with both restores and hosts that are short of processor time.
    pub fn with_restores_and_slow_hosts(seed: u64, fault: Fault) -> Self {
        Self {
            slow_hosts: true,
            ..Self::with_restores(seed, fault)
        }
    }

    /// Copies the store, and at times restores an older copy; at times twice in a row.
    pub(super) fn copy_or_restore(&mut self) {
        let Some(copies) = &mut self.copies else {
            return;
        };
        copies.push_back(self.store.clone());
        let kept = usize::try_from(MAX_COPY_MS / 50).unwrap_or(usize::MAX);
        if copies.len() > kept {
            copies.pop_front();
        }
        if !self.rng.random_bool(0.004) {
            return;
        }
        let age = self.rng.random_range(0..copies.len());
        let era = self.store.era;
        self.store = copies[copies.len() - 1 - age].clone();
        if self.fault != Fault::IgnoreEra {
            self.begin_era(era + 1);
        }
        let away = self.rng.random_range(50..4_000);
        self.store.down_until = self.now + Duration::from_millis(away);
    }

    fn begin_era(&mut self, era: u64) {
        let store = &mut self.store;
        store.era = era;
        for version in [&mut store.election.0, &mut store.plan.0] {
            *version = (era << REVISION_BITS) | (*version & ((1 << REVISION_BITS) - 1));
        }
    }

    /// Returns the predecessor that a claim of a record of an earlier era adds.
    pub(super) fn forgotten_predecessor(&self) -> Option<Predecessor> {
        let trusted = self.fault == Fault::TrustOldRecord;
        let mut voters = self.store.voters.clone();
        if voters.is_empty() {
            let hosts = self.hosts.iter().enumerate();
            voters.extend(hosts.map(|(index, host)| voter((index, host.incarnation))));
        }
        (self.store.record_era < self.store.era && !trusted).then_some(Predecessor {
            process: FORGOTTEN,
            voters,
            blocked_since: None,
        })
    }

    /// Returns whether the plan in the store may be older than the latest grants.
    pub(super) fn plan_may_be_old(&self) -> bool {
        self.store.plan_era < self.store.era && self.fault != Fault::TrustOldPlan
    }

    /// Returns the first plan of a service.
    pub(super) fn first_plan(&self) -> Plan {
        let holders: Vec<_> = self.servers.iter().map(|s| (s.holder(), 1.0)).collect();
        Plan::assign(&holders, first_of_era(self.store.plan.0) + 2)
    }

    /// Compares the record and the plan of a restored store with what the granter knows. Returns
    /// whether the granter keeps its term.
    pub(super) fn survive_restore(&mut self, index: usize) -> bool {
        let (now, era, fault) = (self.now, self.store.era, self.fault);
        let own = (index, self.hosts[index].incarnation);
        let followers = self.followers(index);
        let Some(state) = &mut self.hosts[index].granter_state else {
            return false;
        };
        if era_of(state.plan_version) == era {
            return true;
        }
        let (version, holder) = self.store.election;
        let claimed = self.store.record_era == era && holder != Some(own);
        let in_time =
            now.since(state.renewed) < MAX_CONFIRMATION_AGE || fault == Fault::KeepOldTerm;
        if claimed || !(in_time || state.voters.has_majority(&followers)) {
            return false;
        }
        state.term = version + 1;
        state.renewed = now;
        if !in_time {
            state.predecessors.push(Predecessor {
                process: FORGOTTEN,
                voters: followers.clone(),
                blocked_since: None,
            });
            state.granter.hold_back(false, now);
        }
        let proposal = state.voters.propose(&followers);
        state.voters.confirm(proposal, followers.clone());
        self.store.election = (state.term, Some(own));
        self.store.record_era = era;
        self.store.voters = followers;
        self.store.predecessors.clone_from(&state.predecessors);
        state.plan_version = self.store.plan.0 + 1;
        self.store.plan = (state.plan_version, Some(state.granter.plan().clone()));
        if !state.granter.is_held_back(now) {
            self.store.plan_era = era;
        }
        self.hosts[index].pledge.follow(version + 1);
        true
    }
}

impl GranterState {
    /// Counts only the own voters once no copy can lack the term.
    pub(super) fn count_own_voters(&mut self, now: Instant) {
        if now.since(self.claimed) > YOUNG_TERM + STEP {
            self.voters.require(Vec::new());
        }
    }
}
