//! Election after the store came back from an older copy, whose record may name a granter that has
//! been replaced, and may not name one that was elected in the lost seconds.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::votes::Voters;
use tarragon_store::object::{Era, Version};
use tarragon_store::update::WriteOutcome;

use super::elected::{Elected, Predecessor};
use super::{
    HEARTBEAT_INTERVAL, Participant, Process, RENEWAL_INTERVAL, RENEWAL_TIMEOUT, Record, Role,
    process_id,
};
use crate::state::State;

/// Age above which no copy of the store lacks a term: copies are up to 30 s old, and a drill takes
/// some seconds.
const YOUNG_TERM: Duration = Duration::from_mins(1);

/// Returns whether the store told no era, so that a record states none.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature that serde requires"
)]
pub(super) fn is_unknown(era: &Era) -> bool {
    *era == Era::UNKNOWN
}

impl Elected {
    /// Returns whether a renewal met a record of a later era than the one known.
    pub(super) fn is_restored(&self, outcome: &WriteOutcome<Record>, era: Era) -> bool {
        let known = self.record_version.era();
        match outcome {
            WriteOutcome::Applied { version } => version.era() > known,
            WriteOutcome::Conflict { version, .. } if *version != Version::ABSENT => {
                version.era() > known
            }
            WriteOutcome::Conflict { .. } => era > known,
            WriteOutcome::Unresolved => false,
        }
    }

    /// Returns the time between two renewals. In a new era the record is compared at once.
    pub(super) fn renewal_interval(&self, era: Era) -> Duration {
        if era > self.record_version.era() {
            HEARTBEAT_INTERVAL
        } else {
            RENEWAL_INTERVAL
        }
    }

    /// Returns the version that the next renewal expects.
    pub(super) fn take_expected(&mut self) -> Version {
        self.expected.take().unwrap_or(self.record_version)
    }

    /// Counts only the own voters once no copy can lack the term.
    pub(super) fn count_own_voters(&mut self, now: Instant) {
        if now.since(self.claimed) > YOUNG_TERM {
            self.voters.require(Vec::new());
        }
    }
}

/// Returns the granter that the store does not name, with the voters that tell when it has stopped.
fn forgotten(state: &State, voters: Vec<String>) -> Process {
    Process {
        host: String::new(),
        address: state.settings.control,
        incarnation: 0,
        voters,
    }
}

impl Participant {
    /// Returns the granter that was elected in lost seconds, if the record may not name it.
    ///
    /// The voters of the record tell when it has stopped.
    pub(super) fn forgotten_granter(&self, expected: Version) -> Option<Process> {
        let era = self.api.era();
        let known = self.record.as_ref();
        let record = known.filter(|(version, _)| *version == expected);
        let certain = match record {
            Some((_, record)) => record.era >= era,
            None => self.state.settings.first_start,
        };
        if certain || era == Era::UNKNOWN {
            return None;
        }
        let mut voters = record.map_or_else(Vec::new, |(_, record)| record.voters.clone());
        if voters.is_empty() {
            let up = self.peers.values().filter(|peer| !peer.host.is_empty());
            voters.extend(up.map(|peer| process_id(&peer.host, peer.incarnation)));
            voters.push(self.own_id());
        }
        Some(forgotten(&self.state, voters))
    }

    /// Returns for how long a record must have been absent before it is claimed. A granter whose
    /// record the store has forgotten writes it again in that time.
    ///
    /// The last record that this host has read still tells of earlier granters then.
    pub(super) fn absence_delay(&mut self, now: Instant) -> Duration {
        let era = self.api.era();
        if let Some((version, _)) = &mut self.record
            && *version != Version::ABSENT
            && version.era() < era
        {
            *version = Version::ABSENT;
            self.record_seen = now;
        }
        if era == Era::UNKNOWN || self.state.settings.first_start {
            Duration::ZERO
        } else {
            RENEWAL_TIMEOUT
        }
    }

    /// Returns the voters of a term that begins, which replaces `predecessors`.
    pub(super) fn first_voters(&self, predecessors: &[Process]) -> Voters {
        let mut voters = Voters::new(vec![self.own_id()]);
        if self.api.era() != Era::UNKNOWN {
            let replaced = predecessors.iter().map(|process| process.voters.clone());
            let named = self.record.iter().map(|(_, record)| record.voters.clone());
            voters.require(replaced.chain(named).collect());
        }
        voters
    }

    /// Keeps the term in a new era if no later granter can act, or steps down.
    ///
    /// None was elected if the store renewed the term less than
    /// [`CONFIRMATION_TTL`](super::CONFIRMATION_TTL) ago. If a majority of the voters follows, a
    /// later one has stopped, but its grants may remain.
    pub(super) fn on_restored(
        &mut self,
        (proposal, written): (u64, Vec<String>),
        outcome: &WriteOutcome<Record>,
    ) {
        let (now, own, era) = (self.state.now(), self.own_id(), self.api.era());
        let Role::Granting(elected) = &mut self.role else {
            return;
        };
        let (version, record) = match outcome {
            WriteOutcome::Applied { version } => (*version, None),
            // The record could not be read; the next renewal reads it again.
            WriteOutcome::Conflict {
                version,
                value: None,
            } if *version != Version::ABSENT => return,
            WriteOutcome::Conflict { version, value } => (*version, value.as_ref()),
            WriteOutcome::Unresolved => return,
        };
        let is_own = record.is_none_or(|record| record.process_id() == own && !record.vacant);
        let claimed = !is_own && record.is_some_and(|record| record.era >= era);
        let in_time = now < elected.exclusive_until();
        let followers = elected.followers(&own, now);
        let keeps = !claimed && (in_time || elected.voters.has_majority(&followers));
        log::warn!(
            "event=record-restored era={era} version={version} names={} kept={keeps} in_time={in_time}",
            record.map_or_else(|| "-".to_owned(), Record::process_id)
        );
        if !keeps {
            self.demote("the restored store may have forgotten a later granter");
            return;
        }
        match outcome {
            WriteOutcome::Applied { .. } => elected.voters.confirm(proposal, written),
            WriteOutcome::Conflict { .. } if is_own => {
                if let Some(record) = record {
                    elected.voters.confirm(proposal, record.voters.clone());
                }
            }
            _ => {}
        }
        elected.record_version = elected.record_version.max(version);
        elected.expected = Some(version);
        elected.last_renewal = Instant::ZERO;
        if !in_time {
            elected.predecessors.push(Predecessor {
                process: forgotten(&self.state, followers),
                blocked_since: None,
            });
        }
        elected.grants.survive_restore(era, in_time);
    }
}
