//! Calls of the store about the granter's office, and what follows from their answers.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_store::api::Api;
use tarragon_store::error::{Error, Kind};
use tarragon_store::object::{Key, Version};
use tarragon_store::update::{WriteOutcome, Writer};

use super::elected::{Former, Grants};
use super::{Call, HANDICAP, OFFICE, Office, Process, Record, Role, VACANT, WEAK_PART, tell};
use crate::granting::{self, Done, Granting};
use crate::keys::Map;
use crate::peer::Frame;
use crate::state::State;

impl Office {
    pub(super) fn read(&self) {
        let (state, api, calls) = (self.state.clone(), self.api.clone(), self.calls.clone());
        tokio::task::spawn_local(async move {
            let result = match api.get(OFFICE, &state.stop).await {
                Ok(object) => object
                    .decode::<Record>()
                    .map(|record| Some((object.version, record))),
                Err(error) if error.kind == Kind::NotFound => Ok(None),
                Err(error) => Err(error),
            };
            tell(&calls, Call::Read(result));
        });
    }

    pub(super) fn write(
        &self,
        expected: Version,
        voters: Vec<String>,
        former: Vec<Process>,
        wrap: impl FnOnce(Result<WriteOutcome<Record>, Error>) -> Call + 'static,
    ) {
        let (state, api, calls) = (self.state.clone(), self.api.clone(), self.calls.clone());
        tokio::task::spawn_local(async move {
            let record = own_record(&state, false, voters, former);
            let writer = Writer::new(&*api);
            let result = writer.update(OFFICE, expected, &record, &state.stop).await;
            tell(&calls, wrap(result));
        });
    }

    pub(super) fn called(&mut self, call: Call) {
        match call {
            Call::Read(result) => self.office_read(result),
            Call::Taken(expected, result) => self.office_taken(expected, result),
            Call::Renewed(result) => self.office_renewed(result),
        }
    }

    pub(super) fn office_read(&mut self, result: Result<Option<(Version, Record)>, Error>) {
        self.reading = false;
        let now = self.state.now();
        if matches!(self.role, Role::Granting(_)) {
            return;
        }
        match result {
            Err(error) => log::debug!("event=office-unread error=\"{error}\""),
            Ok(None) => {
                if now.since(self.seen) >= self.handicap() {
                    self.take(Version::ABSENT);
                }
            }
            Ok(Some((version, record))) => {
                let known = self.record.as_ref().map(|(version, _)| *version);
                if known != Some(version) {
                    self.seen = now;
                    let process = |record: &Record| (record.host.clone(), record.incarnation);
                    let former = self.record.as_ref().map(|(_, record)| process(record));
                    if former != Some(process(&record)) {
                        self.holder_gone = false;
                        self.dialled.remove(&record.address);
                    }
                }
                let own = record.host == self.state.settings.host;
                let free = record.vacant || self.holder_gone;
                self.record = Some((version, record));
                let wait = self.handicap() + if free { Duration::ZERO } else { VACANT };
                if own || now.since(self.seen) >= wait {
                    self.take(version);
                }
            }
        }
    }

    /// Returns how much longer than others this host waits before it takes the office.
    pub(super) fn handicap(&self) -> Duration {
        if self.state.settings.cores < self.strongest * WEAK_PART {
            HANDICAP
        } else {
            Duration::ZERO
        }
    }

    /// Returns the granters before the office's version `expected` that may still send orders.
    pub(super) fn former(&self, expected: Version) -> Vec<Process> {
        let known = self.record.as_ref();
        let Some((_, record)) = known.filter(|(version, _)| *version == expected) else {
            return Vec::new();
        };
        let own = record.host == self.state.settings.host;
        let mut former = record.former.clone();
        former.retain(|process| process.host != self.state.settings.host);
        if !(record.vacant || own || self.holder_gone) {
            former.push(Process {
                host: record.host.clone(),
                address: record.address,
                incarnation: record.incarnation,
                voters: record.voters.clone(),
            });
        }
        former
    }

    /// Tries to take the office, if it still has the version `expected`.
    pub(super) fn take(&mut self, expected: Version) {
        if self.leaving {
            return;
        }
        self.reading = true;
        let former = self.former(expected);
        let voters = vec![self.state.settings.host.clone()];
        self.write(expected, voters, former, move |result| {
            Call::Taken(expected, result)
        });
    }

    pub(super) fn office_taken(
        &mut self,
        expected: Version,
        result: Result<WriteOutcome<Record>, Error>,
    ) {
        self.reading = false;
        let version = match result {
            Ok(WriteOutcome::Won { version }) => version,
            Ok(_) => return,
            Err(error) => {
                log::info!("event=office-not-taken error=\"{error}\"");
                return;
            }
        };
        let now = self.state.now();
        let former = self.former(expected);
        log::info!(
            "event=office-taken version={version} former={}",
            former
                .iter()
                .map(|process| process.host.as_str())
                .collect::<Vec<_>>()
                .join(",")
        );
        self.facts.lead();
        let granting = Granting::new(
            self.state.clone(),
            self.api.clone(),
            self.done.clone(),
            version.0,
            former.is_empty(),
        );
        self.role = Role::Granting(Box::new(Grants {
            granting,
            version,
            renewed: now,
            calling: false,
            beaten: Instant::ZERO,
            former: former
                .into_iter()
                .map(|process| Former {
                    process,
                    blocked: None,
                })
                .collect(),
            confirmed: now,
            voters: vec![self.state.settings.host.clone()],
            followers: HashMap::new(),
            strongest: self.state.settings.cores,
            proposed: Vec::new(),
            ticked: now,
            renewal_sent: now,
            paused: false,
        }));
        let office = Frame::Elected {
            term: version.0,
            address: self.state.settings.control,
        };
        self.links.broadcast(&office);
    }

    pub(super) fn office_renewed(&mut self, result: Result<WriteOutcome<Record>, Error>) {
        let Role::Granting(grants) = &mut self.role else {
            return;
        };
        grants.calling = false;
        match result {
            Ok(WriteOutcome::Won { version }) => {
                grants.version = version;
                grants.confirmed = grants.confirmed.max(grants.renewal_sent);
                grants.voters = std::mem::take(&mut grants.proposed);
            }
            Ok(WriteOutcome::Lost { value, version }) => {
                let own = value.as_ref().is_some_and(|record| {
                    record.incarnation == self.state.incarnation && !record.vacant
                });
                if own {
                    grants.version = version;
                } else {
                    self.depose("the store names another host");
                }
            }
            Ok(WriteOutcome::Unresolved) => log::warn!("event=office-unsettled"),
            Err(error) => log::warn!("event=office-unrenewed error=\"{error}\""),
        }
    }

    pub(super) fn done(&mut self, done: Done) {
        if let Role::Granting(grants) = &mut self.role {
            grants.granting.done(done);
        }
    }

    /// Lets another host take the office before this process ends.
    pub(super) async fn lay_down(&mut self) {
        self.leaving = true;
        let Role::Granting(grants) = &self.role else {
            return;
        };
        let expected = grants.version;
        let former = grants.former.iter().map(|f| f.process.clone()).collect();
        self.facts.follow_others();
        self.role = Role::Seeking;
        let record = own_record(&self.state, true, Vec::new(), former);
        let writer = Writer::new(&*self.api);
        let laid = writer.update(OFFICE, expected, &record, &self.state.stop);
        match laid.await {
            Ok(outcome) => log::info!("event=office-laid-down outcome={outcome:?}"),
            Err(error) => log::warn!("event=office-not-laid-down error=\"{error}\""),
        }
        let links: Vec<u64> = self.up.keys().copied().collect();
        for link in links {
            self.links.close(link);
        }
    }
}

fn own_record(state: &State, vacant: bool, voters: Vec<String>, former: Vec<Process>) -> Record {
    Record {
        token: format!("{:016x}{:016x}", state.incarnation, rand::random::<u64>()),
        host: state.settings.host.clone(),
        address: state.settings.control,
        incarnation: state.incarnation,
        vacant,
        voters,
        former,
    }
}

/// Reads a service's plan, for a host that hears no granter.
pub(super) async fn read_plan(state: &State, api: &dyn Api, service: &str) {
    let key = Key::new(granting::KIND, service);
    let read = api.get(key, &state.stop).await;
    let record = read.and_then(|object| object.decode::<granting::Record>());
    match record {
        Ok(record) => state.update_key_map(service, Map::assume(&record.plan)),
        Err(error) => log::info!("event=plan-unread service={service} error=\"{error}\""),
    }
}
