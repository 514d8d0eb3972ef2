//! Arguments with which the processes of a run start this executable.

use std::ffi::OsString;

use super::layout::{Host, Layout, Server};
use crate::deployment::SLOTS;

/// Options that all routers share.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Router {
    /// Name of the policy.
    pub policy: Option<String>,
    /// Fault to seed into the routers.
    pub seeded_fault: Option<String>,
}

/// Returns the arguments of a host's router.
#[must_use]
pub fn host(layout: &Layout, host: &Host, router: &Router) -> Vec<OsString> {
    let mut args = Args::new(&["router"]);
    args.option("--settings", layout.settings_path(host));
    if let Some(policy) = &router.policy {
        args.option("--policy", policy);
    }
    if let Some(name) = &router.seeded_fault {
        args.option("--seeded-fault", name);
    }
    args.list
}

/// Divisor that turns percent into a factor.
const PERCENT: f64 = 100.0;
/// Time after its start during which a backend server is slower, in milliseconds.
const COLD_MS: u32 = 1_500;

/// Returns the arguments of a backend server.
///
/// The backend server accepts twice its connection limit, so that a router that opens too many
/// connections is detected instead of refused.
#[must_use]
pub fn server(layout: &Layout, server: &Server) -> Vec<OsString> {
    let mut args = Args::new(&["standin", "backend"]);
    args.option("--service", &server.service);
    args.option("--id", server.declared.id.as_str());
    args.option("--listen", server.declared.addr.to_string());
    args.option("--record", layout.record_path(server));
    args.option("--slots", SLOTS.to_string());
    args.option("--connections", (2 * server.connections).to_string());
    args.option(
        "--speed",
        (f64::from(server.speed_percent) / PERCENT).to_string(),
    );
    args.option("--connect-us", layout.connect_us.to_string());
    args.option("--cold-ms", COLD_MS.to_string());
    if server.checks_fences {
        args.flag("--checks");
    }
    args.list
}

/// Returns the arguments of the store.
#[must_use]
pub fn store(layout: &Layout) -> Vec<OsString> {
    let mut args = Args::new(&["standin", "store"]);
    args.option("--listen", layout.store_addr.to_string());
    args.list
}

/// Returns the arguments of the fault proxy.
#[must_use]
pub fn links(layout: &Layout) -> Vec<OsString> {
    let mut args = Args::new(&["standin", "links"]);
    args.option("--control", layout.links_addr.to_string());
    args.option("--config", layout.links_path());
    args.list
}

struct Args {
    list: Vec<OsString>,
}

impl Args {
    fn new(words: &[&str]) -> Self {
        let list = words.iter().map(OsString::from).collect();
        Self { list }
    }

    fn option(&mut self, name: &str, value: impl Into<OsString>) {
        self.list.push(name.into());
        self.list.push(value.into());
    }

    fn flag(&mut self, name: &str) {
        self.list.push(name.into());
    }
}
