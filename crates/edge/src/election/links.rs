//! What a host does when other hosts speak.

use std::net::SocketAddr;
use std::time::Duration;

use tarragon_model::time::Instant;

use super::{Followed, Link, Office, Process, Record, Role, beat};
use crate::cluster::{Delta, Later};
use crate::peer::{Event, Frame};

impl Office {
    pub(super) fn event(&mut self, event: Event) {
        match event {
            Event::Up {
                link,
                host,
                incarnation,
            } => self.link_up(link, host, incarnation),
            Event::Frame { link, frame } => self.frame(link, frame),
            Event::Down { link, reason } => self.link_down(link, &reason),
        }
    }

    pub(super) fn link_up(&mut self, link: u64, host: String, incarnation: u64) {
        log::info!("event=link-up link={link} host={host} incarnation={incarnation}");
        let dialled = self.up.remove(&link).and_then(|known| known.dialled);
        let name = host.clone();
        let same = |record: &Record| record.host == name && record.incarnation != incarnation;
        if self.record.as_ref().is_some_and(|(_, record)| same(record)) {
            self.holder_gone = true;
        }
        self.up.insert(link, Link { host, dialled });
        let hosts = self.hosts.len();
        if let Role::Granting(grants) = &mut self.role {
            let replaced =
                |process: &Process| process.host == name && process.incarnation != incarnation;
            grants.stopped(replaced);
            self.links
                .send(link, &beat(&self.state, &self.facts, grants, hosts + 1));
            for (service, map) in grants.granting.maps() {
                self.links.send(link, &Frame::Keys { service, map });
            }
            let mut former = grants.former.iter();
            if former.any(|former| dialled == Some(former.process.address)) {
                let office = Frame::Elected {
                    term: grants.version.0,
                    address: self.state.settings.control,
                };
                self.links.send(link, &office);
            }
        }
    }

    pub(super) fn link_down(&mut self, link: u64, reason: &str) {
        let known = self.up.remove(&link);
        let host = known.map(|link| link.host).unwrap_or_default();
        if !host.is_empty() {
            log::info!("event=link-down link={link} host={host} reason=\"{reason}\"");
        }
        if matches!(&self.role, Role::Following(followed) if followed.link == link) {
            log::warn!("event=dependency-lost peer=granter host={host}");
            self.role = Role::Seeking;
        }
    }

    pub(super) fn frame(&mut self, link: u64, frame: Frame) {
        match frame {
            Frame::Hello { .. } => {}
            Frame::Heartbeat {
                term,
                sent_us,
                hosts,
                max_cores,
                state_age_ms,
                catalog,
                entries,
                changed,
            } => {
                self.strongest = max_cores;
                self.beat(link, (term, sent_us), hosts, state_age_ms);
                self.compare(link, state_age_ms, (catalog, entries, changed));
            }
            Frame::KeysPatch { service, patch } => {
                if !self.state.patch_key_map(&service, &patch) {
                    self.links.send(link, &Frame::KeysRequest);
                }
            }
            Frame::KeysRequest => {
                if let Role::Granting(grants) = &self.role {
                    for (service, map) in grants.granting.maps() {
                        self.links.send(link, &Frame::Keys { service, map });
                    }
                }
            }
            Frame::StateDelta(news) => self.hear(link, news),
            Frame::Elected { term, address } => self.announced(link, term, address),
            Frame::SteppedDown { term } => self.yielded(link, term),
            Frame::Keys { service, map } => self.state.update_key_map(&service, map),
            Frame::Report {
                heartbeat_us,
                cores,
                traffic,
                served,
                crashes,
            } => {
                let host = self.up.get(&link).map(|link| link.host.clone());
                if let Role::Granting(grants) = &mut self.role
                    && let Some(host) = host
                {
                    grants.strongest = grants.strongest.max(cores);
                    let answered = Instant::from_micros(heartbeat_us);
                    let known = grants.followers.entry(host).or_insert(answered);
                    *known = answered.max(*known);
                }
                self.take_report(&traffic, &served, crashes);
            }
            Frame::Crashes { crashes } => self.take_crashes(&crashes),
            Frame::StateRequest {
                catalog,
                entries,
                keys,
            } => self.tell(link, (catalog, entries), &keys),
            Frame::StateSnapshot { catalog, entries } => {
                self.facts.told(&self.state, catalog, entries)
            }
        }
    }

    /// Tells a host what it lacks of what this one knows.
    fn tell(&self, link: u64, (catalog, entries): (u64, u64), keys: &[(String, (u64, u64))]) {
        let catalog = self.facts.later_catalog(catalog);
        let entries = match self.facts.later_entries(entries) {
            Some(Later::Delta(news)) => {
                self.links.send(link, &Frame::StateDelta(news));
                None
            }
            Some(Later::All(list)) => Some(list),
            None => None,
        };
        if catalog.is_some() || entries.is_some() {
            self.links
                .send(link, &Frame::StateSnapshot { catalog, entries });
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

    pub(super) fn beat(&mut self, link: u64, (office, sent_us): (u64, u64), hosts: u32, age: u64) {
        let now = self.state.now();
        match &mut self.role {
            Role::Following(followed) if followed.link == link => {
                followed.beat = now;
                followed.office = office;
                followed.sent_us = sent_us;
                followed.age = age;
                self.state.host_count.set(hosts.max(1));
                return;
            }
            Role::Following(followed) if followed.office >= office => return,
            Role::Granting(grants) if grants.version.0 >= office => return,
            Role::Granting(_) => self.depose("a later granter beats"),
            Role::Following(_) | Role::Seeking => {}
        }
        let newest = self.record.as_ref().map_or(0, |(version, record)| {
            let same = self.up.get(&link).is_some_and(|l| l.host == record.host);
            if same { 0 } else { version.0 }
        });
        if office < newest {
            return;
        }
        log::info!("event=dependency-regained peer=granter link={link} office={office}");
        self.state.host_count.set(hosts.max(1));
        self.holder_gone = false;
        self.role = Role::Following(Followed {
            link,
            office,
            beat: now,
            sent_us,
            age,
        });
    }

    /// Spares this host the store's calls while the granter's facts are fresh and known here.
    pub(super) fn compare(&mut self, link: u64, age_ms: u64, granter: (u64, u64, u64)) {
        if !matches!(&self.role, Role::Following(followed) if followed.link == link) {
            return;
        }
        let own = self.facts.reached(&self.state);
        let (catalog, entries, changed) = granter;
        if own.0 >= catalog && own.1 >= changed {
            let now = self.state.now();
            self.facts.reach(entries);
            self.facts.relayed(Duration::from_millis(age_ms), now);
        } else {
            self.ask(Some(link));
        }
    }

    pub(super) fn hear(&mut self, link: u64, news: Delta) {
        if !self.facts.hear(&self.state, news) {
            self.ask(Some(link));
        }
    }

    pub(super) fn announced(&mut self, link: u64, term: u64, address: SocketAddr) {
        if let Role::Granting(grants) = &self.role
            && grants.version.0 < term
        {
            self.depose("another host announced its office");
            self.links.broadcast(&Frame::Elected { term, address });
        }
        if !matches!(self.role, Role::Granting(_)) {
            self.links.send(link, &Frame::SteppedDown { term });
        }
        self.dial(address, self.state.now());
    }

    pub(super) fn yielded(&mut self, link: u64, version: u64) {
        let from = self.up.get(&link).and_then(|link| link.dialled);
        if let Role::Granting(grants) = &mut self.role
            && version <= grants.version.0
        {
            grants.stopped(|process| Some(process.address) == from);
        }
    }

    pub(super) fn depose(&mut self, reason: &str) {
        log::warn!("event=granter-deposed reason=\"{reason}\"");
        self.facts.follow_others();
        self.role = Role::Seeking;
        self.seen = self.state.now();
    }
}
