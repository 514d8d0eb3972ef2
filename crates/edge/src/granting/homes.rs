//! Backend servers in the regions to which the routes of a keyed service are restricted.

use std::cell::RefCell;
use std::collections::HashMap;

use tarragon_dispatch::fleet::{Fleet, Server};
use tarragon_dispatch::homes::Homes;

/// Services whose homes contain no backend server, by the catalog revision at which that was logged.
#[derive(Debug, Default)]
pub(super) struct Unmet(RefCell<HashMap<String, u64>>);

impl Unmet {
    /// Returns the servers at home, or all of them if none is: restricted requests are then rejected,
    /// and the others are still served.
    pub(super) fn servers_at_home<'a>(
        &self,
        fleet: &Fleet,
        (service, homes, revision): (&str, &Homes, u64),
        servers: Vec<&'a Server>,
    ) -> Vec<&'a Server> {
        let Some(regions) = homes.regions() else {
            return servers;
        };
        let is_home = |server: &&Server| homes.allow(fleet.region(&server.entry.zone));
        if servers.is_empty() || servers.iter().any(is_home) {
            self.0.borrow_mut().remove(service);
            return servers.into_iter().filter(is_home).collect();
        }
        let logged = self.0.borrow_mut().insert(service.to_owned(), revision);
        if logged != Some(revision) {
            log::warn!(
                "event=homes-unmet service={service} homes={} servers={} revision={revision}",
                regions.join(","),
                servers.len()
            );
        }
        servers
    }
}
