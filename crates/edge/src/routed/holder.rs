//! Wait of a keyed request for the backend server that holds its key.

use std::time::Duration;

use tarragon_dispatch::denial::Verdict;
use tarragon_dispatch::fleet::Server;
use tokio::time::Instant;

use super::{DEFAULT_RETRY_AFTER, Failure, Request, Target, append};

/// Fraction of the remaining time for which a request waits for a holder of its key.
const KEY_WAIT_FRACTION: f64 = 0.4;

/// What a host knows of the holder of a key.
#[derive(Default)]
struct Found {
    /// `None` if there is no holder that accepts requests.
    holder: Option<Holder>,
    /// Version of the key map.
    version: (u64, u64),
    /// Age of the key map, in milliseconds.
    age_ms: u128,
}

/// Holder of a key by the key map.
enum Holder {
    /// It accepts requests.
    Ready(Target),
    /// It denied holding the key lately; the next holder is expected within this time.
    Leaving(Duration),
    /// It denied holding the key, and there is no news of another holder.
    Denied,
    /// Several attempts to reach it failed.
    Unreachable,
    /// It is outside the homes of the request.
    NotHome,
    /// Its zone is under evacuation, and no other server can get the key.
    Evacuated,
    /// It is cold, and this host may send to it only after this time.
    Cold(Duration),
}

impl Request<'_> {
    /// Waits until the key has a holder that accepts requests.
    pub(super) async fn wait_for_holder(&mut self, key: u16) -> Result<Target, Failure> {
        let state = self.state;
        let deadline = Instant::now() + self.time_left().mul_f64(KEY_WAIT_FRACTION);
        loop {
            let changed = state.keys_changed.notified();
            self.update_homes();
            let found = self.find_holder(key);
            let wake = match found.holder {
                Some(Holder::Ready(target)) => {
                    self.trace_keys(found.version, found.age_ms);
                    return self.admit(target);
                }
                Some(Holder::Unreachable) => {
                    self.trace_keys(found.version, found.age_ms);
                    let reason = "the key's backend server is unreachable";
                    return Err(self.failure(reason, DEFAULT_RETRY_AFTER));
                }
                Some(Holder::Denied) => {
                    self.trace_keys(found.version, found.age_ms);
                    let reason = "the key's backend server does not hold it";
                    return Err(self.failure(reason, DEFAULT_RETRY_AFTER));
                }
                Some(Holder::NotHome) => {
                    self.trace_keys(found.version, found.age_ms);
                    let reason = "the key's backend server is not in a home region";
                    return Err(self.failure(reason, DEFAULT_RETRY_AFTER));
                }
                Some(Holder::Evacuated) => {
                    self.trace_keys(found.version, found.age_ms);
                    let reason = "no backend server outside the evacuated zones";
                    return Err(self.failure(reason, DEFAULT_RETRY_AFTER));
                }
                Some(Holder::Cold(after)) => {
                    self.trace_keys(found.version, found.age_ms);
                    return Err(self.failure("the key's backend server is cold", after));
                }
                Some(Holder::Leaving(time)) => deadline.min(Instant::now() + time),
                None => deadline,
            };
            let waited = tokio::time::timeout_at(wake, changed).await;
            if waited.is_err() && Instant::now() >= deadline {
                self.trace_keys(found.version, found.age_ms);
                return Err(self.failure("nobody holds the key", DEFAULT_RETRY_AFTER));
            }
        }
    }

    fn trace_keys(&mut self, (term, change): (u64, u64), age_ms: u128) {
        append(
            &mut self.trace,
            format_args!(" keys={term}.{change} keys_age_ms={age_ms}"),
        );
    }

    /// Refuses a request that was not sent yet if the holder of its key is too full.
    fn admit(&self, target: Target) -> Result<Target, Failure> {
        let state = self.state;
        let fleet = state.fleet.borrow();
        match fleet.retry_after(&target.pick.id, &self.criteria(), state.now()) {
            Some(after) if self.sends == 0 => {
                Err(self.failure("the key's backend server is full", after))
            }
            _ => Ok(target),
        }
    }

    /// Returns whether all servers that could get the key are in zones under evacuation.
    fn is_evacuated(&self) -> bool {
        let fleet = self.state.fleet.borrow();
        let mut servers = fleet.iter().filter(|server| {
            server.entry.service == self.service
                && server.accepts_keys()
                && self.homes.allow(fleet.region(&server.entry.zone))
        });
        let is_evacuated = |server: &Server| !fleet.accepts_keys(server);
        servers.next().is_some_and(is_evacuated) && servers.all(is_evacuated)
    }

    /// Returns what this host knows of the holder of a key.
    fn find_holder(&self, key: u16) -> Found {
        let state = self.state;
        let now = state.now();
        let found = state.with_key_map(self.service, |known| {
            let range = known.map.find(key).filter(|range| range.held);
            let age = now.since(known.received_at).as_millis();
            (range.cloned(), known.map.version, age)
        });
        let Some((range, version, age_ms)) = found else {
            return Found {
                holder: self.is_evacuated().then_some(Holder::Evacuated),
                ..Found::default()
            };
        };
        let holder = range.and_then(|range| {
            let fleet = state.fleet.borrow();
            let server = fleet.get(&range.holder.id)?;
            let same = server.entry.start_ms == range.holder.start_ms;
            if !same || !server.accepts_keyed(state.bounds.get().drain, now) {
                return None;
            }
            if !self.homes.allow(fleet.region(&server.entry.zone)) {
                return Some(Holder::NotHome);
            }
            if !fleet.may_receive(server, true, now) {
                return None;
            }
            if server.is_denied(now) {
                return Some(Holder::Denied);
            }
            if server.is_unreachable(now) || fleet.awaits_probe(server, now) {
                return Some(Holder::Unreachable);
            }
            if !fleet.admits(server, now) {
                return Some(Holder::Cold(fleet.admits_after(server, now)));
            }
            let target = Target {
                pick: server.pick(),
                range_to: Some(range.to),
            };
            let claim = target.claim(self.service, range.to);
            let denied_before = self.denied_by.contains(&target.pick.id);
            let verdict = state.denials.borrow_mut().check(&claim, denied_before, now);
            Some(match verdict {
                Verdict::Send => Holder::Ready(target),
                Verdict::Wait(until) => Holder::Leaving(until.since(now)),
                Verdict::Refuse => Holder::Denied,
            })
        });
        let unavailable = || self.is_evacuated().then_some(Holder::Evacuated);
        Found {
            holder: holder.or_else(unavailable),
            version,
            age_ms,
        }
    }
}
