//! Reads and writes of plans in the store, and what follows from them.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::granter::{Granter, PlanInputs};
use tarragon_owner::plan::{Holder, Plan};
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Era, Key, Version};
use tarragon_store::update::{WriteOutcome, Writer};

use super::{Completion, Grants, PLAN_KIND, Record, STABLE_TIME, Service, deliver, liveness};

impl Grants {
    /// Writes the next plan to the store if keys should move.
    pub(super) fn update_plan(&mut self, name: &str, now: Instant) {
        let candidates = self.candidates(name, now);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.last_planned = now;
        let fleet = self.state.fleet.borrow();
        service.speeds.retain(|id| fleet.get(id).is_some());
        drop(fleet);
        service.loads.decay(now);
        let work_ms = service.speeds.mean_ms();
        let rates = service.loads.rates(now);
        let Some(granter) = &service.granter else {
            return;
        };
        let inputs = PlanInputs {
            candidates: &candidates,
            rates: &rates,
            request_time_s: work_ms / 1_000.0,
            min_sequence: service.version.0 + 1,
        };
        let fleet = self.state.fleet.borrow();
        let liveness = |holder: &Holder| liveness(&fleet, holder);
        let Some(plan) = granter.propose(&inputs, &liveness, now) else {
            return;
        };
        drop(fleet);
        let moved = plan.segments.iter().filter(|s| s.fence == plan.sequence);
        let moved: u32 = moved.map(|s| u32::from(s.to - s.from) + 1).sum();
        log::info!(
            "event=plan service={name} sequence={} before={} segments={} keys_moved={moved} candidates={} rate={:.0} work_ms={work_ms:.0} surges={} calm={}",
            plan.sequence,
            granter.plan().sequence,
            plan.segments.len(),
            candidates.len(),
            rates.total(0, u16::MAX),
            rates.surges(),
            rates.is_calm()
        );
        service.call_pending = true;
        service.restored.written_as = self.era;
        let expected = service.version;
        self.write_plan(name, plan, expected, self.era);
    }

    pub(super) fn read_plan(&self, name: &str) {
        let (state, api, completions) = (
            self.state.clone(),
            self.api.clone(),
            self.completions.clone(),
        );
        let (service, term) = (name.to_owned(), self.term);
        tokio::task::spawn_local(async move {
            let read = api.get(Key::new(PLAN_KIND, &service), &state.stop).await;
            let result = match read {
                Ok(object) => object
                    .decode::<Record>()
                    .map(|record| Some((object.version, record))),
                Err(error) if error.kind == Kind::NotFound => Ok(None),
                Err(error) => Err(error),
            };
            deliver(&completions, term, Completion::Read { service, result });
        });
    }

    pub(super) fn write_plan(&self, name: &str, plan: Plan, expected: Version, era: Era) {
        let (state, api, completions) = (
            self.state.clone(),
            self.api.clone(),
            self.completions.clone(),
        );
        let (service, term) = (name.to_owned(), self.term);
        let record = Record {
            token: format!("{:016x}{:016x}", state.incarnation, rand::random::<u64>()),
            term,
            plan: plan.clone(),
            era,
        };
        tokio::task::spawn_local(async move {
            let key = Key::new(PLAN_KIND, &service);
            let result = Writer::new(&*api)
                .update(key, expected, &record, &state.stop)
                .await;
            state
                .metrics
                .count_store_call("write", result_name(&result));
            let completion = Completion::Written {
                service,
                plan,
                result,
            };
            deliver(&completions, term, completion);
        });
    }

    pub(super) fn on_read(
        &mut self,
        name: &str,
        result: Result<Option<(Version, Record)>, Error>,
        now: Instant,
    ) {
        let (exclusive_until, timing) = (self.exclusive_until, self.timing());
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.call_pending = false;
        let Some(result) = self.compare_restored(name, result, now) else {
            return;
        };
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        match result {
            // The later granter has no account of grants that this one would send under its plan.
            Ok(Some((version, record))) if record.term > self.term => {
                service.back_off(now);
                log::warn!(
                    "event=plan-of-later-term service={name} version={version} term={}",
                    record.term
                );
            }
            Ok(Some((version, record))) => {
                log::info!(
                    "event=plan-loaded service={name} version={version} sequence={} term={} replaces={} sole_granter={}",
                    record.plan.sequence,
                    record.term,
                    service
                        .granter
                        .as_ref()
                        .map_or(0, |granter| granter.plan().sequence),
                    self.sole_granter
                );
                service.version = version;
                service.changes += 1;
                service.write_unresolved = false;
                match &mut service.granter {
                    Some(granter) if granter.plan().sequence == record.plan.sequence => {}
                    Some(_) if record.term == self.term => {
                        service.on_applied(name, record.plan, exclusive_until, now);
                    }
                    granter => {
                        *granter = Some(Granter::new(record.plan, self.sole_granter, timing, now));
                    }
                }
            }
            Ok(None) => {
                service.plan_absent = true;
                service.write_unresolved = false;
            }
            Err(error) => {
                service.back_off(now);
                log::warn!("event=plan-read-failed service={name} error=\"{error}\"");
            }
        }
    }

    /// Writes the first plan of a service once the number of its backend servers is stable.
    pub(super) fn assign_first(&mut self, name: &str, now: Instant) {
        let candidates = self.candidates(name, now);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        if service.candidates.0 != candidates.len() {
            service.candidates = (candidates.len(), now);
        }
        let stable = now.since(service.candidates.1) >= STABLE_TIME;
        if candidates.is_empty() || !stable {
            return;
        }
        let weights: Vec<_> = candidates
            .into_iter()
            .map(|candidate| (candidate.holder, candidate.capacity))
            .collect();
        service.call_pending = true;
        let (sequence, era) = self.first_sequence();
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.restored.written_as = era;
        self.write_plan(name, Plan::assign(&weights, sequence), Version::ABSENT, era);
    }

    pub(super) fn on_written(
        &mut self,
        name: &str,
        plan: Plan,
        result: Result<WriteOutcome<Record>, Error>,
        now: Instant,
    ) {
        let (sole_granter, timing) = (self.sole_granter, self.timing());
        let (exclusive_until, era) = (self.exclusive_until, self.era);
        let Some(service) = self.services.get_mut(name) else {
            return;
        };
        service.call_pending = false;
        if service.is_restored(&result) {
            service.note_restored(name, now);
            return;
        }
        match &result {
            Ok(_) => service.backoff.1 = Duration::ZERO,
            Err(_) => service.back_off(now),
        }
        // Whether this write or another one won, the store has a plan now.
        service.plan_absent &= result.is_err();
        match result {
            Ok(WriteOutcome::Applied { version }) => {
                service.version = version;
                service.changes += 1;
                service.restored.on_written();
                match &mut service.granter {
                    Some(_) => service.on_applied(name, plan, exclusive_until, now),
                    None if service.restored.reconciled < era => {
                        let mut granter = Granter::new(plan, sole_granter, timing, now);
                        granter.hold_back(sole_granter, now);
                        service.granter = Some(granter);
                    }
                    // This is the service's first plan, so no earlier granter has granted anything.
                    None => service.granter = Some(Granter::new(plan, true, timing, now)),
                }
            }
            Ok(WriteOutcome::Conflict {
                value: Some(record),
                version,
            }) if record.term == self.term => {
                service.version = version;
                if service.granter.is_some() {
                    service.on_applied(name, record.plan, exclusive_until, now);
                }
                service.changes += 1;
            }
            Ok(WriteOutcome::Conflict {
                value: Some(_),
                version,
            }) => {
                log::warn!(
                    "event=plan-write-lost service={name} version={version} sole_granter={sole_granter}"
                );
                service.granter = None;
            }
            Ok(WriteOutcome::Unresolved | WriteOutcome::Conflict { value: None, .. }) => {
                log::warn!("event=plan-write-unresolved service={name}");
                service.write_unresolved = true;
            }
            Err(error) => log::warn!("event=plan-write-failed service={name} error=\"{error}\""),
        }
    }
}

impl Service {
    /// Notes that a plan of this term is in the store, and brings it into force if no other host
    /// can have been elected by now.
    fn on_applied(&mut self, name: &str, plan: Plan, exclusive_until: Instant, now: Instant) {
        let sequence = plan.sequence;
        self.written = Some((plan, now));
        self.adopt_written(exclusive_until, now);
        if self.written.is_some() {
            log::warn!("event=plan-unconfirmed service={name} sequence={sequence}");
        }
    }

    /// Brings a written plan into force if no other host can have been elected before that was
    /// known.
    pub(super) fn adopt_written(&mut self, exclusive_until: Instant, now: Instant) {
        let known_in_time = |(_, known_at): &mut (Plan, Instant)| *known_at < exclusive_until;
        let Some((plan, _)) = self.written.take_if(known_in_time) else {
            return;
        };
        if let Some(granter) = &mut self.granter {
            granter.adopt(plan, now);
            self.changes += 1;
        }
    }
}

fn result_name<T>(result: &Result<WriteOutcome<T>, Error>) -> &'static str {
    match result {
        Ok(WriteOutcome::Applied { .. }) => "won",
        Ok(WriteOutcome::Conflict { .. }) => "lost",
        Ok(WriteOutcome::Unresolved) => "unfinished",
        Err(_) => "failed",
    }
}
