//! The other router processes that this process knows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tarragon_model::host::{self, Peer};
use tarragon_model::time::Instant;

use crate::message::Heartbeat;

/// A process without a heartbeat for this long is not chosen for new roles.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(2);

/// A known host.
#[derive(Clone, Debug)]
pub struct Host {
    /// Addresses, region and failure domain of the host.
    pub entry: host::Entry,
    /// Latest heartbeat, if any was received.
    pub last_heartbeat: Option<LastHeartbeat>,
}

/// Latest heartbeat of a host.
#[derive(Clone, Debug)]
pub struct LastHeartbeat {
    /// Incarnation of the router that sent it.
    pub peer: Peer,
    /// When it was received.
    pub at: Instant,
    /// Whether the sender is draining.
    pub draining: bool,
    /// Number of shards that the sender leads.
    pub led_shards: usize,
}

/// All known hosts except this one.
#[derive(Debug, Default)]
pub struct Membership {
    hosts: BTreeMap<host::Id, Host>,
    /// Latest incarnation of each host that was declared lost.
    declared_lost: BTreeMap<host::Id, u64>,
}

impl Membership {
    /// Applies the platform's host list. The list may lag, so hosts that send heartbeats are kept.
    pub fn update(&mut self, now: Instant, me: &host::Id, entries: &[host::Entry]) {
        for entry in entries.iter().filter(|entry| entry.id != *me) {
            self.hosts
                .entry(entry.id.clone())
                .and_modify(|host| host.entry.state = entry.state)
                .or_insert_with(|| Host {
                    entry: entry.clone(),
                    last_heartbeat: None,
                });
        }
        let listed: BTreeSet<&host::Id> = entries.iter().map(|entry| &entry.id).collect();
        self.hosts
            .retain(|id, host| listed.contains(id) || host.is_alive(now));
    }

    /// Records a heartbeat; returns the earlier incarnation that it proves to have ended, if any.
    pub fn record_heartbeat(
        &mut self,
        now: Instant,
        from: &Peer,
        heartbeat: &Heartbeat,
    ) -> Option<Peer> {
        let latest = LastHeartbeat {
            peer: from.clone(),
            at: now,
            draining: heartbeat.draining,
            led_shards: heartbeat.leads.len(),
        };
        let host = self.hosts.entry(from.host.clone()).or_insert_with(|| Host {
            entry: heartbeat.entry.clone(),
            last_heartbeat: None,
        });
        if host
            .last_heartbeat
            .as_ref()
            .is_some_and(|last| from.is_superseded_by(&last.peer))
        {
            return None;
        }
        host.entry = host::Entry {
            state: host.entry.state,
            ..heartbeat.entry.clone()
        };
        let previous = host.last_heartbeat.replace(latest);
        previous
            .map(|last| last.peer)
            .filter(|last| last.is_superseded_by(from))
    }

    /// Records that this incarnation of a host, and every earlier one, is gone.
    pub fn declare_lost(&mut self, peer: &Peer) {
        let last = self.declared_lost.entry(peer.host.clone()).or_default();
        *last = peer.incarnation.max(*last);
    }

    /// Returns whether a process is known to be gone: a later incarnation of its host sent a
    /// heartbeat, or operators declared it lost.
    #[must_use]
    pub fn is_gone(&self, peer: &Peer) -> bool {
        let declared = self
            .declared_lost
            .get(&peer.host)
            .is_some_and(|last| peer.incarnation <= *last);
        declared
            || self
                .peer(&peer.host)
                .is_some_and(|latest| peer.is_superseded_by(latest))
    }

    /// Returns the latest known incarnation of the router on a host.
    #[must_use]
    pub fn peer(&self, host: &host::Id) -> Option<&Peer> {
        Some(&self.hosts.get(host)?.last_heartbeat.as_ref()?.peer)
    }

    /// Returns a known host.
    #[must_use]
    pub fn get(&self, host: &host::Id) -> Option<&Host> {
        self.hosts.get(host)
    }

    /// Returns all known hosts.
    pub fn all(&self) -> impl Iterator<Item = &Host> {
        self.hosts.values()
    }

    /// Returns the hosts with a recent heartbeat that are neither draining nor about to be removed.
    pub fn eligible(&self, now: Instant) -> impl Iterator<Item = &Host> {
        self.all().filter(move |host| host.is_eligible(now))
    }

    /// Returns whether a process sent a recent heartbeat and is neither draining nor about to be
    /// removed.
    #[must_use]
    pub fn is_eligible(&self, now: Instant, peer: &Peer) -> bool {
        let host = self.hosts.get(&peer.host);
        host.is_some_and(|host| {
            host.is_eligible(now)
                && host
                    .last_heartbeat
                    .as_ref()
                    .is_some_and(|last| last.peer == *peer)
        })
    }
}

impl Host {
    /// Returns whether the host sent a recent heartbeat.
    fn is_alive(&self, now: Instant) -> bool {
        self.last_heartbeat
            .as_ref()
            .is_some_and(|last| now.since(last.at) < HEARTBEAT_TIMEOUT)
    }

    /// Returns whether the host sent a recent heartbeat and is neither draining nor about to be
    /// removed.
    fn is_eligible(&self, now: Instant) -> bool {
        let draining = self
            .last_heartbeat
            .as_ref()
            .is_some_and(|last| last.draining);
        self.is_alive(now) && !draining && self.entry.state == host::State::Live
    }
}
