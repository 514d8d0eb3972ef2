//! Finds the route of a request and the service that processes it.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;

use crate::catalog::{Catalog, Route};

/// Routes of one catalog, by host and prefix.
#[derive(Debug, Default)]
pub struct Table {
    hosts: HashMap<String, Vec<Rc<Entry>>>,
}

/// Route and the credits of its targets.
#[derive(Debug)]
pub struct Entry {
    /// The route.
    pub route: Route,
    credits: Vec<Cell<i64>>,
}

impl Entry {
    /// Returns the service for the next request, by smooth weighted round robin.
    ///
    /// Every call adds each target's weight to its credit. The target with the highest credit is
    /// chosen, and the sum of all weights is subtracted from its credit. Any run of requests thus
    /// follows the weights.
    #[must_use]
    pub fn next_service(&self) -> &str {
        let targets = &self.route.targets;
        let total: i64 = targets.iter().map(|target| i64::from(target.weight)).sum();
        for (credit, target) in self.credits.iter().zip(targets) {
            credit.set(credit.get() + i64::from(target.weight));
        }
        let highest = (0..targets.len()).max_by_key(|&index| self.credits[index].get());
        let index = highest.unwrap_or_default();
        if let Some(credit) = self.credits.get(index) {
            credit.set(credit.get() - total);
        }
        targets
            .get(index)
            .map_or("", |target| target.service.as_str())
    }
}

impl Table {
    /// Creates the table of a catalog's routes.
    #[must_use]
    pub fn new(catalog: &Catalog) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Entry>>> = HashMap::new();
        for route in &catalog.routes {
            let entry = Entry {
                route: route.clone(),
                credits: route.targets.iter().map(|_| Cell::new(0)).collect(),
            };
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Rc::new(entry));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|entry| std::cmp::Reverse(entry.route.prefix.len()));
        }
        Self { hosts }
    }

    /// Returns the route with the longest prefix that matches `path`.
    ///
    /// ```
    /// use tarragon_dispatch::catalog::Catalog;
    /// use tarragon_dispatch::table::Table;
    ///
    /// assert!(Table::new(&Catalog::default()).find("host.example", "/a/b").is_none());
    /// ```
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<Rc<Entry>> {
        self.hosts
            .get(host)?
            .iter()
            .find(|entry| path.starts_with(&entry.route.prefix))
            .cloned()
    }
}
