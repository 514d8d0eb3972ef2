//! Events of links to other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use tarragon_dispatch::fleet::EXPIRED_ENTRY_GRACE;
use tarragon_model::time::Instant;

use super::{Followed, Participant, Peer, Process, Record, Role, heartbeat, process_id};
use crate::cluster::{CatchUp, Delta};
use crate::peer::{Event, Frame};

impl Participant {
    pub(super) fn on_event(&mut self, event: Event) {
        match event {
            Event::Up {
                link,
                host,
                incarnation,
            } => self.on_link_up(link, host, incarnation),
            Event::Frame { link, frame } => self.on_frame(link, frame),
            Event::Down { link, reason } => self.on_link_down(link, &reason),
        }
    }

    pub(super) fn on_link_up(&mut self, link: u64, host: String, incarnation: u64) {
        log::info!("event=link-up link={link} host={host} incarnation={incarnation}");
        let dialled = self.peers.remove(&link).and_then(|peer| peer.dialled);
        let name = host.clone();
        // The event of an earlier process's link may be handled late. A process that this host reached
        // after it had seen the other one in the record is later, even if the clock was set back.
        let reached = dialled.is_some_and(|dial| dial.started >= self.process_seen);
        let is_earlier = |known: u64| known < incarnation || reached && known != incarnation;
        let replaced = |record: &Record| record.host == name && is_earlier(record.incarnation);
        if self
            .record
            .as_ref()
            .is_some_and(|(_, record)| replaced(record))
        {
            log::info!("event=granter-gone host={name} incarnation={incarnation}");
            self.granter_gone = true;
        }
        self.peers.insert(
            link,
            Peer {
                host,
                incarnation,
                dialled,
            },
        );
        let hosts = self.hosts.len();
        if let Role::Granting(elected) = &mut self.role {
            let has_stopped =
                |process: &Process| process.host == name && is_earlier(process.incarnation);
            elected.drop_predecessors("restarted", has_stopped);
            self.links.send(
                link,
                &heartbeat(&self.state, &self.cluster, elected, hosts + 1),
            );
            for (service, map) in elected.grants.maps() {
                self.links.send(link, &Frame::Keys { service, map });
            }
            let mut predecessors = elected.predecessors.iter();
            let address = dialled.map(|dial| dial.address);
            if predecessors.any(|predecessor| address == Some(predecessor.process.address)) {
                let announcement = Frame::Elected {
                    record_version: elected.record_version.0,
                    address: self.state.settings.control,
                };
                self.links.send(link, &announcement);
            }
        }
    }

    pub(super) fn on_link_down(&mut self, link: u64, reason: &str) {
        let known = self.peers.remove(&link);
        self.transits.forget(link);
        let host = known.map(|peer| peer.host).unwrap_or_default();
        if !host.is_empty() {
            log::info!("event=link-down link={link} host={host} reason=\"{reason}\"");
        }
        if matches!(&self.role, Role::Following(followed) if followed.link == link) {
            log::warn!("event=dependency-lost peer=granter host={host}");
            self.role = Role::Searching;
        }
    }

    pub(super) fn on_frame(&mut self, link: u64, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat {
                record_version,
                sent_us,
                hosts,
                max_cores,
                state_age_ms,
                catalog,
                entries,
                changed,
                evacuations,
                shares,
            } => {
                let state_age_ms = state_age_ms.saturating_add(self.waited_ms(link, sent_us));
                self.on_heartbeat(link, (record_version, sent_us), hosts, state_age_ms);
                if matches!(&self.role, Role::Following(followed) if followed.link == link) {
                    self.max_cores = max_cores;
                    let (sent, now) = (Instant::from_micros(sent_us), self.state.now());
                    self.state.overload.receive(link, sent, shares, now);
                }
                self.on_evacuations(link, state_age_ms, evacuations.as_deref());
                self.compare_revisions(link, state_age_ms, (catalog, entries, changed));
            }
            Frame::KeysPatch { service, patch } => {
                if !self.state.patch_key_map(&service, &patch) {
                    self.links.send(link, &Frame::KeysRequest);
                }
            }
            Frame::KeysRequest => {
                if let Role::Granting(elected) = &self.role {
                    for (service, map) in elected.grants.maps() {
                        self.links.send(link, &Frame::Keys { service, map });
                    }
                }
            }
            Frame::StateDelta(delta) => self.on_delta(link, delta),
            Frame::Elected {
                record_version,
                address,
            } => self.on_later_granter(link, record_version, address),
            Frame::SteppedDown { record_version } => self.on_stepped_down(link, record_version),
            Frame::Keys { service, map } => self.state.update_key_map(&service, map),
            Frame::Report {
                heartbeat_us,
                cores,
                traffic,
                served,
                crashes,
                clock_us,
                zone,
                overload,
            } => {
                self.answer_report(link, &zone, clock_us);
                let peer = self.peers.get(&link);
                let host = peer.map(|peer| process_id(&peer.host, peer.incarnation));
                if let Role::Granting(elected) = &mut self.role
                    && let Some(host) = host
                {
                    elected.max_cores = elected.max_cores.max(cores);
                    let heartbeat_sent = Instant::from_micros(heartbeat_us);
                    let known = elected.acknowledged.entry(host).or_insert(heartbeat_sent);
                    *known = heartbeat_sent.max(*known);
                }
                self.apply_report(&traffic, &served, &overload, crashes);
            }
            Frame::WarmupShares { clock_us, shares } => self.apply_shares(clock_us, shares),
            Frame::Crashes { crashes } => self.quarantine(&crashes),
            Frame::StateRequest {
                catalog,
                entries,
                evacuations,
                keys,
            } => self.send_missing_state(link, (catalog, entries, evacuations), &keys),
            Frame::StateSnapshot {
                catalog,
                entries,
                grace_ms,
                evacuations,
            } => {
                if let Some(set) = evacuations {
                    self.cluster.apply_evacuations(&self.state, &set);
                }
                let grace = Duration::from_millis(grace_ms).min(EXPIRED_ENTRY_GRACE);
                self.cluster
                    .apply_snapshot(&self.state, catalog, entries, grace);
            }
        }
    }

    /// Returns for how long a heartbeat has waited, in milliseconds.
    fn waited_ms(&mut self, link: u64, sent_us: u64) -> u64 {
        let dialled = self.peers.get(&link).and_then(|peer| peer.dialled);
        let opened = dialled.map(|dial| dial.started);
        let sent = Instant::from_micros(sent_us);
        let delay = self.transits.delay(link, sent, opened, self.state.now());
        u64::try_from(delay.as_millis()).unwrap_or(u64::MAX)
    }

    /// Sends a host the state that this one knows and the other lacks.
    fn send_missing_state(
        &self,
        link: u64,
        (catalog, entries, evacuations): (u64, u64, Option<u64>),
        keys: &[(String, (u64, u64))],
    ) {
        let catalog = self.cluster.catalog_after(catalog);
        let evacuations = self
            .cluster
            .evacuations_after(&self.state, evacuations)
            .map(Box::new);
        let entries = match self.cluster.entries_after(entries) {
            Some(CatchUp::Delta(delta)) => {
                self.links.send(link, &Frame::StateDelta(delta));
                None
            }
            Some(CatchUp::All(list)) => Some(list),
            None => None,
        };
        if catalog.is_some() || entries.is_some() || evacuations.is_some() {
            let grace = self.cluster.removal_grace(&self.state);
            let snapshot = Frame::StateSnapshot {
                catalog,
                entries,
                grace_ms: u64::try_from(grace.as_millis()).unwrap_or_default(),
                evacuations,
            };
            self.links.send(link, &snapshot);
        }
        if matches!(self.role, Role::Granting(_)) {
            return;
        }
        for (service, map) in self.state.key_maps() {
            let known = keys.iter().find(|(name, _)| *name == service);
            if known.is_none_or(|(_, version)| *version < map.version) {
                self.links.send(link, &Frame::Keys { service, map });
            }
        }
    }

    /// Follows the sender of a heartbeat if it is a later granter than the one known so far.
    pub(super) fn on_heartbeat(
        &mut self,
        link: u64,
        (record_version, sent_us): (u64, u64),
        hosts: u32,
        state_age_ms: u64,
    ) {
        let now = self.state.now();
        match &mut self.role {
            Role::Following(followed) if followed.link == link => {
                self.pledge.follow(record_version);
                followed.last_heartbeat = now;
                followed.record_version = record_version;
                followed.sent_us = sent_us;
                followed.state_age_ms = state_age_ms;
                self.state.host_count.set(hosts.max(1));
                return;
            }
            Role::Following(followed) if followed.record_version >= record_version => return,
            Role::Granting(elected) if elected.record_version.0 >= record_version => return,
            Role::Granting(_) => self.demote("heartbeat of a later granter"),
            Role::Following(_) | Role::Searching => {}
        }
        let newest = self.record.as_ref().map_or(0, |(version, record)| {
            let same = self.peers.get(&link).is_some_and(|p| p.host == record.host);
            if same { 0 } else { version.0 }
        });
        if record_version < newest || !self.pledge.follow(record_version) {
            return;
        }
        log::info!(
            "event=dependency-regained peer=granter link={link} record_version={record_version}"
        );
        self.state.host_count.set(hosts.max(1));
        self.granter_gone = false;
        self.role = Role::Following(Followed {
            link,
            record_version,
            last_heartbeat: now,
            sent_us,
            state_age_ms,
        });
    }

    /// Compares the followed granter's revisions with those of this host.
    ///
    /// While this host lacks nothing and the granter's copy is recent, it makes no store calls.
    pub(super) fn compare_revisions(&mut self, link: u64, age_ms: u64, granter: (u64, u64, u64)) {
        if !matches!(&self.role, Role::Following(followed) if followed.link == link) {
            return;
        }
        let own = self.cluster.revisions(&self.state);
        let (catalog, entries, last_change) = granter;
        self.cluster.note_heartbeat(self.state.now());
        if own.0 >= catalog && own.1 >= last_change {
            let now = self.state.now();
            self.cluster.advance_to(entries);
            self.cluster
                .confirm_relayed(Duration::from_millis(age_ms), now);
        } else {
            self.request_state(Some(link));
        }
    }

    pub(super) fn on_delta(&mut self, link: u64, delta: Delta) {
        if !self.cluster.apply_delta(&self.state, delta) {
            self.request_state(Some(link));
        }
    }

    /// Steps down if the granter at `address` was elected later, and tells it that this host does not
    /// grant.
    pub(super) fn on_later_granter(&mut self, link: u64, record_version: u64, address: SocketAddr) {
        if let Role::Granting(elected) = &self.role
            && elected.record_version.0 < record_version
        {
            self.demote("another host announced that it is the granter");
            self.links.broadcast(&Frame::Elected {
                record_version,
                address,
            });
        }
        if !matches!(self.role, Role::Granting(_)) {
            // A claim that has taken effect may not be answered yet.
            self.pledge.follow(record_version);
            self.links
                .send(link, &Frame::SteppedDown { record_version });
        }
        self.dial(address, self.state.now());
    }

    /// Notes that the host on a link is not the granter under any earlier version of the record.
    ///
    /// A host that says so of a version before this term may have been the granter since.
    pub(super) fn on_stepped_down(&mut self, link: u64, record_version: u64) {
        let Some(peer) = self.peers.get(&link) else {
            return;
        };
        if let Role::Granting(elected) = &mut self.role
            && (elected.term.0..=elected.record_version.0).contains(&record_version)
        {
            elected.drop_predecessors("stepped-down", |process| {
                process.host == peer.host && process.incarnation == peer.incarnation
            });
        }
    }

    /// Stops granting, as another host is the granter.
    pub(super) fn demote(&mut self, reason: &str) {
        log::warn!("event=granter-demoted reason=\"{reason}\"");
        self.stop_granting();
        self.record_seen = self.state.now();
    }

    pub(super) fn stop_granting(&mut self) {
        self.cluster.stop_granting();
        self.state.is_granter.set(false);
        self.role = Role::Searching;
    }
}
