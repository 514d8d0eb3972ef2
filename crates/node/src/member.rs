//! The router processes that this process knows of.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tarragon_model::host::{self, Peer};
use tarragon_model::time::Instant;

use crate::message::Heartbeat;

/// A process that was not heard for this long is not chosen for new duties.
pub const SILENT_AFTER: Duration = Duration::from_secs(2);

/// What is known of one host.
#[derive(Clone, Debug)]
pub struct Known {
    /// Addresses and place of the host.
    pub entry: host::Entry,
    /// Latest sign of life.
    pub heard: Option<Heard>,
}

/// Latest sign of life of a host.
#[derive(Clone, Debug)]
pub struct Heard {
    /// Run of the router that spoke.
    pub peer: Peer,
    /// When it was heard.
    pub at: Instant,
    /// Whether it is shutting down.
    pub draining: bool,
    /// Number of shards that it leads.
    pub leads: usize,
}

/// All known hosts but this one.
#[derive(Debug, Default)]
pub struct Members {
    known: BTreeMap<host::Id, Known>,
    ended: BTreeMap<host::Id, u64>,
}

impl Members {
    /// Takes in the platform's host list, which may lag: hosts that speak stay known.
    pub fn list(&mut self, now: Instant, me: &host::Id, entries: &[host::Entry]) {
        for entry in entries.iter().filter(|entry| entry.id != *me) {
            self.known
                .entry(entry.id.clone())
                .and_modify(|known| known.entry.state = entry.state)
                .or_insert_with(|| Known {
                    entry: entry.clone(),
                    heard: None,
                });
        }
        let listed: BTreeSet<&host::Id> = entries.iter().map(|entry| &entry.id).collect();
        self.known
            .retain(|id, known| listed.contains(id) || known.is_live(now));
    }

    /// Takes in a sign of life and returns the earlier run that it proves ended, if any.
    pub fn heard(&mut self, now: Instant, from: &Peer, heartbeat: &Heartbeat) -> Option<Peer> {
        let heard = Heard {
            peer: from.clone(),
            at: now,
            draining: heartbeat.draining,
            leads: heartbeat.leads.len(),
        };
        let known = self
            .known
            .entry(from.host.clone())
            .or_insert_with(|| Known {
                entry: heartbeat.entry.clone(),
                heard: None,
            });
        if known
            .heard
            .as_ref()
            .is_some_and(|last| from.is_superseded_by(&last.peer))
        {
            return None;
        }
        known.entry = host::Entry {
            state: known.entry.state,
            ..heartbeat.entry.clone()
        };
        let before = known.heard.replace(heard);
        before
            .map(|last| last.peer)
            .filter(|last| last.is_superseded_by(from))
    }

    /// Records that this incarnation of a host, and every earlier one, is gone.
    pub fn declare_lost(&mut self, peer: &Peer) {
        let last = self.ended.entry(peer.host.clone()).or_default();
        *last = peer.incarnation.max(*last);
    }

    /// Tells whether a process is proven gone: a later run of its host spoke, or operators said so.
    #[must_use]
    pub fn is_gone(&self, peer: &Peer) -> bool {
        let declared = self
            .ended
            .get(&peer.host)
            .is_some_and(|last| peer.incarnation <= *last);
        declared
            || self
                .peer(&peer.host)
                .is_some_and(|latest| peer.is_superseded_by(latest))
    }

    /// Returns the latest known run of the router on a host.
    #[must_use]
    pub fn peer(&self, host: &host::Id) -> Option<&Peer> {
        Some(&self.known.get(host)?.heard.as_ref()?.peer)
    }

    /// Returns what is known of a host.
    #[must_use]
    pub fn get(&self, host: &host::Id) -> Option<&Known> {
        self.known.get(host)
    }

    /// Returns all known hosts.
    pub fn all(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Returns the hosts that spoke lately and are not leaving.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = &Known> {
        self.all().filter(move |known| known.is_fit(now))
    }

    /// Tells whether a process spoke lately and is not leaving.
    #[must_use]
    pub fn is_fit(&self, now: Instant, peer: &Peer) -> bool {
        let known = self.known.get(&peer.host);
        known.is_some_and(|known| {
            known.is_fit(now)
                && known
                    .heard
                    .as_ref()
                    .is_some_and(|heard| heard.peer == *peer)
        })
    }
}

impl Known {
    fn is_live(&self, now: Instant) -> bool {
        self.heard
            .as_ref()
            .is_some_and(|heard| now.since(heard.at) < SILENT_AFTER)
    }

    fn is_fit(&self, now: Instant) -> bool {
        let draining = self.heard.as_ref().is_some_and(|heard| heard.draining);
        self.is_live(now) && !draining && self.entry.state == host::State::Live
    }
}
