//! Backend servers in zones under evacuation.

use tarragon_model::time::Instant;

use super::{Fleet, Server};
use crate::evacuation::Zones;
use crate::warmup::Rate;

impl Fleet {
    /// Returns the zones under evacuation.
    #[must_use]
    pub const fn evacuation(&self) -> &Zones {
        &self.evacuation
    }

    /// Returns the zones under evacuation, to update them.
    pub const fn evacuation_mut(&mut self) -> &mut Zones {
        &mut self.evacuation
    }

    /// Returns whether a server may get keys: it accepts them, and its zone is not under evacuation.
    #[must_use]
    pub fn accepts_keys(&self, server: &Server) -> bool {
        server.accepts_keys() && !self.evacuation.contains(&server.entry.zone)
    }

    /// Returns whether the evacuation of its zone allows a request to be sent to a server now.
    ///
    /// `keyed` says that no other server can process the request.
    #[must_use]
    pub fn may_receive(&self, server: &Server, keyed: bool, now: Instant) -> bool {
        let zone = &server.entry.zone;
        if keyed {
            self.evacuation.accepts_keyed(zone, now)
        } else {
            !self.evacuation.contains(zone)
        }
    }

    /// Returns until when a server bears only the load of a cold one, since the evacuation of its
    /// zone was withdrawn; `None` if it was not, or if the service limits no such load.
    ///
    /// ```
    /// use std::collections::HashMap;
    /// use std::time::Duration;
    /// use tarragon_dispatch::evacuation::Set;
    /// use tarragon_dispatch::fleet::{Entry, Fleet, Location};
    /// use tarragon_dispatch::warmup::Rate;
    /// use tarragon_model::time::Instant;
    ///
    /// let (zone, regions) = ("a".to_owned(), HashMap::new());
    /// let mut fleet = Fleet::new(Location { zone: zone.clone(), regions });
    /// let now = Instant::from_millis(9_000);
    /// let entry = Entry {
    ///     id: "x".to_owned(),
    ///     start_ms: 1,
    ///     service: "s".to_owned(),
    ///     addr: "127.0.0.1:9".parse().unwrap(),
    ///     zone: zone.clone(),
    ///     slots: 1,
    ///     draining: false,
    ///     warmup: Duration::ZERO,
    /// };
    /// fleet.update(entry, 1, now);
    /// let zones = fleet.evacuation_mut();
    /// zones.set_bound(Some(Duration::from_secs(5)));
    /// zones.apply(&Set { revision: 1, zones: [zone].into_iter().collect(), ..Set::default() }, now, now);
    /// zones.apply(&Set { revision: 2, ..Set::default() }, now, now);
    /// let rate = Rate { per_s: 6.0, time: Duration::from_secs(8) };
    /// let server = fleet.get("x").unwrap();
    /// assert_eq!(fleet.cold_after_return(server, Some(&rate)), Some(now + rate.time));
    /// assert_eq!(fleet.cold_after_return(server, None), None);
    /// ```
    #[must_use]
    pub fn cold_after_return(&self, server: &Server, rate: Option<&Rate>) -> Option<Instant> {
        let returned_at = self.evacuation.returned_at(&server.entry.zone)?;
        Some(returned_at + rate?.time)
    }

    /// Returns whether a zone has a region or a backend server.
    #[must_use]
    pub fn knows_zone(&self, zone: &str) -> bool {
        let mut servers = self.servers.values();
        self.location.regions.contains_key(zone) || servers.any(|s| s.entry.zone == zone)
    }
}
