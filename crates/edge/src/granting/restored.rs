//! Plans that the store may have forgotten, since it came back from an older copy.
//!
//! The granter's plan is the memory: it is written again before any key moves. A new granter that
//! finds a plan of an earlier era grants nothing until all grants under forgotten plans have expired.

use tarragon_model::time::Instant;
use tarragon_owner::plan::{Plan, Segment};
use tarragon_store::error::Error;
use tarragon_store::object::{Era, Version};
use tarragon_store::update::WriteOutcome;

use super::{Grants, Record, Service};
use crate::keys::Map;

/// What has to be done about a plan that the store may have forgotten.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Duty {
    /// Whether the plan in the store has to be read and compared with the granter's.
    pub(super) compare: bool,
    /// Whether the granter's plan has to be written again.
    rewrite: bool,
    /// Era in which the plan in the store was reconciled.
    pub(super) reconciled: Era,
    /// Era that the latest write of a plan states.
    pub(super) written_as: Era,
}

impl Duty {
    /// Notes that the latest write took effect.
    pub(super) fn on_written(&mut self) {
        self.rewrite = false;
        self.reconciled = self.written_as;
    }
}

/// Returns whether the store told no era, so that a record states none.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde requires"
)]
pub(super) fn is_unknown(era: &Era) -> bool {
    *era == Era::UNKNOWN
}

impl Grants {
    /// Goes on in a later era of the store, in which the term was found to be the latest.
    ///
    /// `in_time` tells that no other host can have been elected in the seconds that the store lost.
    /// If not, only renewals are sent until the grants of such a host have expired.
    pub fn survive_restore(&mut self, era: Era, in_time: bool) {
        let now = self.state.now();
        self.era = era;
        self.sole_granter &= in_time;
        for (name, service) in &mut self.services {
            if let Some(granter) = &mut service.granter {
                if !in_time {
                    granter.hold_back(false, now);
                }
                service.note_restored(name, now);
            }
        }
    }

    /// Writes the plan in force again, as a reconciled one if no grant under a forgotten plan can
    /// remain.
    pub(super) fn reconcile(&mut self, name: &str, now: Instant) {
        let era = self.era;
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        let Some(granter) = &service.granter else {
            return;
        };
        let held_back = granter.is_held_back(now);
        let plan = granter.plan().clone();
        service.restored.written_as = if held_back {
            service.restored.reconciled
        } else {
            era
        };
        service.call_pending = true;
        let (expected, written_as) = (service.version, service.restored.written_as);
        log::info!(
            "event=plan-rewritten service={name} sequence={} era={era} held_back={held_back}",
            plan.sequence
        );
        self.write_plan(name, plan, expected, written_as);
    }

    /// Compares what the store has with the plan in force and with the key map. Returns the result
    /// if nothing shows that the store has forgotten a plan.
    pub(super) fn compare_restored(
        &mut self,
        name: &str,
        result: Result<Option<(Version, Record)>, Error>,
        now: Instant,
    ) -> Option<Result<Option<(Version, Record)>, Error>> {
        let (era, own_term) = (self.era, self.term);
        let Ok(stored) = &result else {
            return Some(result);
        };
        if era == Era::UNKNOWN {
            return Some(result);
        }
        if self.api.era() > era {
            // The election decides first whether this term goes on in the new era.
            self.services.get_mut(name)?.back_off(now);
            return None;
        }
        let later_term = |record: &Record| record.term > own_term;
        let of_this_era = |record: &Record| Version(record.term).era() >= era;
        if let Some((_, record)) = stored
            && later_term(record)
            && of_this_era(record)
        {
            return Some(result);
        }
        let service = self.services.get_mut(name)?;
        let version = stored
            .as_ref()
            .map_or(Version::ABSENT, |(version, _)| *version);
        let reconciled = stored
            .as_ref()
            .map_or(Era::UNKNOWN, |(_, record)| record.era);
        service.restored.reconciled = reconciled;
        if let Some(granter) = &service.granter {
            let sequence = stored
                .as_ref()
                .map_or(0, |(_, record)| record.plan.sequence);
            if !service.restored.compare && sequence >= granter.plan().sequence {
                return Some(result);
            }
            log::warn!(
                "event=plan-forgotten service={name} version={version} sequence={sequence} kept={} era={era}",
                granter.plan().sequence
            );
            service.restored.compare = false;
            service.restored.rewrite = true;
            service.write_unresolved = false;
            service.version = version;
            return None;
        }
        if reconciled == era {
            return Some(result);
        }
        let known = self.state.with_key_map(name, |known| known.map.clone());
        let stored_plan = stored.as_ref().map(|(_, record)| &record.plan);
        let Some(plan) = latest_plan(stored_plan, known.as_ref()) else {
            return Some(result);
        };
        let plan = plan.renewed(plan.sequence.max(version.0).max(own_term) + 1);
        log::warn!(
            "event=plan-recovered service={name} version={version} stored={} key_map={} sequence={} era={era}",
            stored_plan.map_or(0, |plan| plan.sequence),
            known.map_or(0, |map| map.sequence),
            plan.sequence
        );
        service.version = version;
        service.call_pending = true;
        service.restored.written_as = reconciled;
        self.write_plan(name, plan, version, reconciled);
        None
    }

    /// Returns the sequence of the first plan of a service, and the era that it states. At the first
    /// start of the whole system no plan can have been lost.
    pub(super) fn first_sequence(&self) -> (u64, Era) {
        if self.era == Era::UNKNOWN {
            (1, self.era)
        } else if self.state.settings.first_start {
            (self.term, self.era)
        } else {
            (self.term, Era::UNKNOWN)
        }
    }
}

impl Service {
    /// Returns whether a write met an object of a later era than it expected.
    pub(super) fn is_restored(&self, result: &Result<WriteOutcome<Record>, Error>) -> bool {
        let Ok(WriteOutcome::Applied { version } | WriteOutcome::Conflict { version, .. }) = result
        else {
            return false;
        };
        self.granter.is_some()
            && self.version != Version::ABSENT
            && version.era() > self.version.era()
    }

    /// Notes that the store may have forgotten the plan in force. One that is not in force yet is
    /// dropped: nothing was granted under it.
    pub(super) fn note_restored(&mut self, name: &str, now: Instant) {
        log::info!(
            "event=plan-compared service={name} version={}",
            self.version
        );
        self.restored.compare = true;
        self.written = None;
        self.backoff.0 = now;
    }

    /// Returns whether the plan in force has to be written again now.
    pub(super) fn is_reconciliation_due(&self, era: Era, now: Instant) -> bool {
        let Some(granter) = &self.granter else {
            return false;
        };
        let due =
            self.restored.rewrite || self.restored.reconciled < era && !granter.is_held_back(now);
        due && !self.call_pending && self.written.is_none() && now >= self.backoff.0
    }
}

/// Returns the later of a stored plan and the plan that a key map follows.
fn latest_plan(stored: Option<&Plan>, known: Option<&Map>) -> Option<Plan> {
    let Some(map) = known.filter(|map| stored.is_none_or(|plan| plan.sequence < map.sequence))
    else {
        return stored.cloned();
    };
    let mut from = 0;
    let segments = map.ranges.iter().map(|range| Segment {
        from: std::mem::replace(&mut from, range.to.saturating_add(1)),
        to: range.to,
        fence: map.sequence,
        holder: range.holder.clone(),
        previous: None,
    });
    let plan = Plan {
        sequence: map.sequence,
        segments: segments.collect(),
    };
    plan.covers_all_keys()
        .then_some(plan)
        .or_else(|| stored.cloned())
}
