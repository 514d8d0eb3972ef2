//! Zones under evacuation: after a bound, no request may reach their backend servers.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tarragon_model::time::Instant;

/// Fraction of the bound for which requests that only one server can process are sent to it. The
/// rest covers bytes on their way: a connection is closed after 1.5 s without an acknowledgement.
const KEYED_PART: f64 = 0.6;
/// Time for which the end of an evacuation is remembered; longer than any warm-up time.
const RETURN_RETENTION: Duration = Duration::from_hours(1);

/// Zones under evacuation at one revision of the store, as hosts tell each other.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set {
    /// Store revision.
    pub revision: u64,
    /// Names of the zones.
    pub zones: SmallVec<[String; 2]>,
    /// Zones whose evacuation was withdrawn, and how long ago, in milliseconds.
    #[serde(default)]
    pub returned: SmallVec<[(String, u64); 2]>,
}

/// What an update changed, by name of the zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Zones whose evacuation has begun.
    pub begun: SmallVec<[String; 2]>,
    /// Zones whose evacuation was withdrawn.
    pub withdrawn: SmallVec<[String; 2]>,
}

impl Change {
    /// Returns whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.withdrawn.is_empty()
    }
}

/// Zones under evacuation as one host knows them.
#[derive(Debug, Default)]
pub struct Zones {
    /// Time after which no request may reach a zone; `None` if the platform evacuates no zones.
    bound: Option<Duration>,
    /// Revision of the latest known set.
    revision: Option<u64>,
    /// Zones under evacuation, and the earliest time at which this host may have known.
    evacuated: BTreeMap<String, Instant>,
    /// Zones whose evacuation was withdrawn, and when this host learned so.
    returned: BTreeMap<String, Instant>,
}

impl Zones {
    /// Sets the time after which no request may reach a zone; without one, no zone is evacuated.
    pub fn set_bound(&mut self, bound: Option<Duration>) {
        self.bound = bound;
    }

    /// Returns whether the platform evacuates zones.
    #[must_use]
    pub const fn is_in_force(&self) -> bool {
        self.bound.is_some()
    }

    /// Returns the revision of the latest known set, `None` if no set is known.
    #[must_use]
    pub const fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Applies a set of another host or of the store, unless a later one is known.
    ///
    /// Before `known_at` the zones were certainly not under evacuation, unless they are known to be.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::evacuation::{Set, Zones};
    /// use tarragon_model::time::Instant;
    ///
    /// let (known_at, now) = (Instant::from_millis(60_000), Instant::from_millis(61_000));
    /// let mut zones = Zones::default();
    /// zones.set_bound(Some(Duration::from_secs(5)));
    /// let set = |revision, names: &[&str]| Set {
    ///     revision,
    ///     zones: names.iter().map(|name| (*name).to_owned()).collect(),
    ///     ..Set::default()
    /// };
    /// assert_eq!(zones.apply(&set(7, &["a"]), known_at, now).begun[..], ["a"]);
    /// assert!(zones.apply(&set(6, &[]), now, now).is_empty(), "an older set");
    /// assert!(zones.contains("a"));
    /// assert!(zones.accepts_keyed("a", known_at + Duration::from_secs(2)));
    /// assert!(!zones.accepts_keyed("a", known_at + Duration::from_secs(4)));
    /// ```
    pub fn apply(&mut self, set: &Set, known_at: Instant, now: Instant) -> Change {
        let mut change = Change::default();
        if self.revision.is_none_or(|known| known < set.revision) {
            self.revision = Some(set.revision);
            let gone = |zone: &String| !set.zones.contains(zone);
            let ended: Vec<String> = self.evacuated.keys().filter(|z| gone(z)).cloned().collect();
            for zone in ended {
                self.evacuated.remove(&zone);
                self.returned.insert(zone.clone(), now);
                change.withdrawn.push(zone);
            }
            for zone in &set.zones {
                if !self.evacuated.contains_key(zone) {
                    self.evacuated.insert(zone.clone(), known_at.min(now));
                    self.returned.remove(zone);
                    change.begun.push(zone.clone());
                }
            }
        }
        // A zone that this host does not take for evacuated has returned, whichever set is later.
        for (zone, age_ms) in &set.returned {
            if self.evacuated.contains_key(zone) {
                continue;
            }
            let at = now - Duration::from_millis(*age_ms);
            let known = self.returned.get(zone).copied();
            if known.is_none() && now.since(at) < RETURN_RETENTION {
                change.withdrawn.push(zone.clone());
            }
            self.returned
                .insert(zone.clone(), known.map_or(at, |known| known.max(at)));
        }
        self.returned
            .retain(|_, at| now.since(*at) < RETURN_RETENTION);
        change
    }

    /// Returns the latest known set for other hosts, `None` if no set is known.
    #[must_use]
    pub fn set(&self, now: Instant) -> Option<Set> {
        let returned = self.returned.iter().map(|(zone, at)| {
            let age_ms = u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX);
            (zone.clone(), age_ms)
        });
        Some(Set {
            revision: self.revision.filter(|_| self.is_in_force())?,
            zones: self.evacuated.keys().cloned().collect(),
            returned: returned.collect(),
        })
    }

    /// Returns whether a zone is under evacuation.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.is_in_force() && self.evacuated.contains_key(zone)
    }

    /// Returns the names of the zones under evacuation.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let known = self.evacuated.keys().map(String::as_str);
        known.filter(|_| self.is_in_force())
    }

    /// Returns whether requests that only one server can process may be sent to one of a zone.
    #[must_use]
    pub fn accepts_keyed(&self, zone: &str, now: Instant) -> bool {
        let (Some(bound), Some(since)) = (self.bound, self.evacuated.get(zone)) else {
            return true;
        };
        now.since(*since) < bound.mul_f64(KEYED_PART)
    }

    /// Returns when this host learned that the evacuation of a zone was withdrawn.
    #[must_use]
    pub fn returned_at(&self, zone: &str) -> Option<Instant> {
        let at = self.returned.get(zone).copied();
        at.filter(|_| self.is_in_force())
    }
}
