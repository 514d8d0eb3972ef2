//! Store calls about the election record, and what follows from their results.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Era, Key, Version};
use tarragon_store::update::{WriteOutcome, Writer};

use super::elected::{Elected, Predecessor};
use super::{
    Participant, Process, RECORD_KEY, RENEWAL_TIMEOUT, Record, Role, StoreResponse,
    WEAK_CORES_RATIO, WEAK_HOST_DELAY, deliver, host_count, process_id,
};
use crate::granting::{self, Delivery, Grants};
use crate::keys::Map;
use crate::peer::Frame;
use crate::state::State;

impl Participant {
    pub(super) fn read_record(&self) {
        let (state, api, responses) = (
            self.state.clone(),
            self.api.clone(),
            self.store_responses.clone(),
        );
        tokio::task::spawn_local(async move {
            let result = match api.get(RECORD_KEY, &state.stop).await {
                Ok(object) => object
                    .decode::<Record>()
                    .map(|record| Some((object.version, record))),
                Err(error) if error.kind == Kind::NotFound => Ok(None),
                Err(error) => Err(error),
            };
            deliver(&responses, StoreResponse::Read(result));
        });
    }

    /// Writes a record that names this host; `wrap` makes a response of the result.
    pub(super) fn write_record(
        &self,
        expected: Version,
        voters: Vec<String>,
        predecessors: Vec<Process>,
        wrap: impl FnOnce(Result<WriteOutcome<Record>, Error>) -> StoreResponse + 'static,
    ) {
        let (state, api, responses) = (
            self.state.clone(),
            self.api.clone(),
            self.store_responses.clone(),
        );
        tokio::task::spawn_local(async move {
            let era = api.era();
            let record = own_record(&state, false, (voters, predecessors), era);
            let writer = Writer::new(&*api);
            let result = writer
                .update(RECORD_KEY, expected, &record, &state.stop)
                .await;
            deliver(&responses, wrap(result));
        });
    }

    pub(super) fn on_store_response(&mut self, response: StoreResponse) {
        match response {
            StoreResponse::Read(result) => self.on_read(result),
            StoreResponse::Claimed {
                sent,
                expected,
                result,
            } => self.on_claimed(sent, expected, result),
            StoreResponse::Renewed {
                term,
                sent,
                proposal,
                voters,
                result,
            } => self.on_renewed((term, sent), (proposal, voters), result),
        }
    }

    /// Claims the record that was read if it is vacant, this host's own, or long unrenewed.
    pub(super) fn on_read(&mut self, result: Result<Option<(Version, Record)>, Error>) {
        self.call_pending = false;
        let now = self.state.now();
        if matches!(self.role, Role::Granting(_)) {
            return;
        }
        match result {
            Err(error) => log::debug!("event=election-read-failed error=\"{error}\""),
            Ok(None) => {
                let wait = self.claim_delay() + self.absence_delay(now);
                if now.since(self.record_seen) >= wait {
                    self.claim(Version::ABSENT);
                }
            }
            Ok(Some((version, record))) => {
                let known = self.record.as_ref().map(|(version, _)| *version);
                if known != Some(version) {
                    self.record_seen = now;
                    let process = |record: &Record| (record.host.clone(), record.incarnation);
                    let before = self.record.as_ref().map(|(_, record)| process(record));
                    if before != Some(process(&record)) {
                        self.process_seen = now;
                        self.granter_gone = false;
                        self.last_dials.remove(&record.address);
                    }
                }
                // The voters of the record are all hosts that followed its granter.
                let hosts = self
                    .state
                    .host_count
                    .get()
                    .max(host_count(record.voters.len()));
                self.state.host_count.set(hosts);
                let own = record.host == self.state.settings.host;
                let free = record.vacant || self.granter_gone;
                self.record = Some((version, record));
                let wait = self.claim_delay()
                    + if free {
                        Duration::ZERO
                    } else {
                        RENEWAL_TIMEOUT
                    };
                if own || now.since(self.record_seen) >= wait {
                    self.claim(version);
                }
            }
        }
    }

    /// Returns how much longer than a strong host this one waits before it claims the record.
    ///
    /// The hosts read the record at different times, so a weak one also leaves the strong ones the
    /// time of a read.
    pub(super) fn claim_delay(&self) -> Duration {
        if self.state.settings.cores < self.max_cores * WEAK_CORES_RATIO {
            WEAK_HOST_DELAY + self.read_interval()
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn own_id(&self) -> String {
        process_id(&self.state.settings.host, self.state.incarnation)
    }

    /// Returns what allows this host to claim the record, for the log.
    fn claim_basis(&self) -> &'static str {
        match &self.record {
            None => "absent",
            Some((_, record)) if record.vacant => "vacant",
            Some((_, record)) if record.host == self.state.settings.host => "own",
            Some(_) if self.granter_gone => "gone",
            Some(_) => "unrenewed",
        }
    }

    /// Returns the granters up to version `expected` of the record that may still send commands.
    pub(super) fn predecessors(&self, expected: Version) -> Vec<Process> {
        let known = self.record.as_ref();
        let forgotten = self.forgotten_granter(expected);
        let Some((_, record)) = known.filter(|(version, _)| *version == expected) else {
            return forgotten.into_iter().collect();
        };
        let own = record.host == self.state.settings.host;
        let mut predecessors = record.predecessors.clone();
        predecessors.retain(|process| process.host != self.state.settings.host);
        if !(record.vacant || own || self.granter_gone) {
            predecessors.push(Process {
                host: record.host.clone(),
                address: record.address,
                incarnation: record.incarnation,
                voters: record.voters.clone(),
            });
        }
        predecessors.extend(forgotten);
        predecessors
    }

    /// Tries to become granter; this fails if the record is no longer at version `expected`.
    pub(super) fn claim(&mut self, expected: Version) {
        if self.leaving {
            return;
        }
        self.call_pending = true;
        let predecessors = self.predecessors(expected);
        let voters = vec![self.own_id()];
        let sent = self.state.now();
        self.write_record(expected, voters, predecessors, move |result| {
            StoreResponse::Claimed {
                sent,
                expected,
                result,
            }
        });
    }

    pub(super) fn on_claimed(
        &mut self,
        sent: Instant,
        expected: Version,
        result: Result<WriteOutcome<Record>, Error>,
    ) {
        self.call_pending = false;
        let record_version = match result {
            Ok(WriteOutcome::Applied { version }) => version,
            Ok(_) => return,
            Err(error) => {
                log::info!("event=election-claim-failed error=\"{error}\"");
                return;
            }
        };
        let now = self.state.now();
        if !self.pledge.follow(record_version.0) {
            log::info!(
                "event=election-claim-void version={record_version} took_ms={}",
                now.since(sent).as_millis()
            );
            return;
        }
        let predecessors = self.predecessors(expected);
        log::info!(
            "event=granter-elected term={record_version} replaces={} basis={} took_ms={} predecessors={}",
            self.record
                .as_ref()
                .map_or_else(|| "-".to_owned(), |(_, record)| record.process_id()),
            self.claim_basis(),
            now.since(sent).as_millis(),
            predecessors
                .iter()
                .map(|process| process.host.as_str())
                .collect::<Vec<_>>()
                .join(",")
        );
        let voters = self.first_voters(&predecessors);
        self.cluster.become_granter();
        self.state.is_granter.set(true);
        let grants = Grants::new(
            self.state.clone(),
            self.api.clone(),
            self.completions.clone(),
            record_version.0,
            predecessors.is_empty(),
        );
        self.role = Role::Granting(Box::new(Elected {
            grants,
            term: record_version,
            record_version,
            last_renewal: sent,
            renewing: false,
            last_heartbeat: Instant::ZERO,
            predecessors: predecessors
                .into_iter()
                .map(|process| Predecessor {
                    process,
                    blocked_since: None,
                })
                .collect(),
            last_confirmed: sent,
            voters,
            acknowledged: HashMap::new(),
            max_cores: self.state.settings.cores,
            last_tick: now,
            resumed_at: now,
            paused: false,
            claimed: now,
            expected: None,
        }));
        let announcement = Frame::Elected {
            record_version: record_version.0,
            address: self.state.settings.control,
        };
        self.links.broadcast(&announcement);
    }

    pub(super) fn on_renewed(
        &mut self,
        (term, sent): (Version, Instant),
        (proposal, voters): (u64, Vec<String>),
        result: Result<WriteOutcome<Record>, Error>,
    ) {
        let Role::Granting(elected) = &mut self.role else {
            return;
        };
        if term != elected.term {
            log::info!("event=term-renewal-outdated term={term}");
            return;
        }
        elected.renewing = false;
        if let Ok(outcome) = &result
            && elected.is_restored(outcome, self.api.era())
        {
            self.on_restored((proposal, voters), outcome);
            return;
        }
        match result {
            Ok(WriteOutcome::Applied { version }) => {
                elected.record_version = elected.record_version.max(version);
                elected.note_renewed(sent);
                elected.voters.confirm(proposal, voters);
            }
            Ok(WriteOutcome::Conflict { value, version }) => match value {
                // An earlier renewal took effect whose response was lost.
                Some(record) if record.incarnation == self.state.incarnation && !record.vacant => {
                    elected.record_version = elected.record_version.max(version);
                    elected.voters.confirm(proposal, record.voters);
                }
                _ => self.demote("the store names another host"),
            },
            Ok(WriteOutcome::Unresolved) => log::warn!("event=term-renewal-unresolved"),
            Err(error) => log::warn!("event=term-renewal-failed error=\"{error}\""),
        }
    }

    pub(super) fn on_completion(&mut self, completion: Delivery) {
        if let Role::Granting(elected) = &mut self.role {
            elected.grants.on_completion(completion);
        }
    }

    /// Steps down before this process ends, once the store is available.
    ///
    /// Until then no other host could take over, so this one renews grants to its end.
    pub(super) async fn step_down_if_due(&mut self) {
        if self.leaving && !self.cluster.store_unavailable() {
            self.step_down().await;
        }
    }

    /// Marks the record as vacant, so that another host can claim it at once.
    async fn step_down(&mut self) {
        let Role::Granting(elected) = &self.role else {
            return;
        };
        let expected = elected.record_version;
        let predecessors = elected
            .predecessors
            .iter()
            .map(|p| p.process.clone())
            .collect();
        let era = self.api.era();
        // A claim of the record after a restore asks these voters.
        let voters = if era == Era::UNKNOWN {
            Vec::new()
        } else {
            elected.followers(&self.own_id(), self.state.now())
        };
        self.stop_granting();
        let record = own_record(&self.state, true, (voters, predecessors), era);
        let writer = Writer::new(&*self.api);
        let update = writer.update(RECORD_KEY, expected, &record, &self.state.stop);
        match update.await {
            Ok(outcome) => log::info!("event=granter-stepped-down outcome={outcome:?}"),
            Err(error) => log::warn!("event=granter-step-down-failed error=\"{error}\""),
        }
        let links: Vec<u64> = self.peers.keys().copied().collect();
        for link in links {
            self.links.close(link);
        }
    }
}

fn own_record(
    state: &State,
    vacant: bool,
    (voters, predecessors): (Vec<String>, Vec<Process>),
    era: Era,
) -> Record {
    Record {
        token: format!("{:016x}{:016x}", state.incarnation, rand::random::<u64>()),
        host: state.settings.host.clone(),
        address: state.settings.control,
        incarnation: state.incarnation,
        vacant,
        voters,
        predecessors,
        era,
    }
}

/// Reads a service's plan, for a host that hears no granter.
pub(super) async fn read_plan(state: &State, api: &dyn Api, service: &str) {
    let key = Key::new(granting::PLAN_KIND, service);
    let read = api.get(key, &state.stop).await;
    let record = read.and_then(|object| object.decode::<granting::Record>());
    match record {
        Ok(record) => state.update_key_map(service, Map::from_plan(&record.plan)),
        Err(error) => log::info!("event=plan-read-failed service={service} error=\"{error}\""),
    }
}
