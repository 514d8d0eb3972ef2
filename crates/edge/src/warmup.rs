//! Requests of this host to cold backend servers.

use tarragon_dispatch::fleet::warmup::Limits;
use tarragon_dispatch::warmup::Limit;

use crate::state::State;

impl State {
    /// Derives the limits on requests to cold backend servers from the catalog and the bounds in
    /// force.
    pub fn update_warmup_limits(&self) {
        let mut limits = Limits::new();
        if let Some(bound) = self.bounds.get().warmup {
            let catalog = self.catalog();
            let services = catalog.services.iter();
            limits.extend(services.filter_map(|service| {
                let rate = service.warmup?;
                Some((service.name.clone(), Limit::new(rate, bound)))
            }));
        }
        self.fleet.borrow_mut().set_warmup_limits(limits);
    }
}
