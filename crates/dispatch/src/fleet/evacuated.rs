//! Backend servers in zones under evacuation.

use tarragon_model::time::Instant;

use super::{Fleet, Server};
use crate::evacuation::Zones;

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

    /// Returns whether a zone has a region or a backend server.
    #[must_use]
    pub fn knows_zone(&self, zone: &str) -> bool {
        let mut servers = self.servers.values();
        self.location.regions.contains_key(zone) || servers.any(|s| s.entry.zone == zone)
    }
}
