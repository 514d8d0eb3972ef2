//! A small deployment: the store, backends, and processes of the router.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use crate::backend::{self, Plan, Runs};
use crate::json::{self, Json};
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::Store;

pub struct World {
    pub record: Record,
    pub store: Store,
    pub routers: Vec<Router>,
    pub runs: Runs,
    pub dir: PathBuf,
    machines: u32,
}

/// A route of the config, with its service.
#[derive(Clone)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub attempts: u64,
}

pub const HOST: &str = "jepu9.example";

impl World {
    pub fn new(record: &Record) -> Self {
        let dir = std::env::temp_dir().join(format!("tarragon-review-2-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        Self {
            record: record.clone(),
            store: Store::new(record.clone()),
            routers: Vec::new(),
            runs: Runs::default(),
            dir,
            machines: 0,
        }
    }

    /// Writes the config as the operator does; the return is the ack.
    pub fn configure(&self, version: u64, routes: &[Route], header_bytes: u64) {
        let mut services: Vec<&Route> = Vec::new();
        for route in routes {
            if services.iter().all(|known| known.service != route.service) {
                services.push(route);
            }
        }
        let shown = routes.iter().enumerate().map(|(index, route)| {
            json::obj(vec![
                ("name", json::str(&format!("r-{index}"))),
                ("host", json::str(HOST)),
                ("path-prefix", json::str(route.prefix)),
                ("route-type", json::str(route.kind)),
                ("timeout-ms", json::num(route.timeout_ms)),
                ("slo-ms", json::num(400)),
                ("priority", json::num(1)),
                ("service", json::str(route.service)),
                ("attempts", json::num(route.attempts)),
            ])
        });
        let services = services.into_iter().map(|route| {
            json::obj(vec![
                ("name", json::str(route.service)),
                ("health-path", json::str("/health")),
                ("max-conns", json::num(110)),
                ("proto", json::str("h1")),
                ("tls", Json::Bool(false)),
            ])
        });
        let limits = json::obj(vec![
            ("max-header-bytes", json::num(header_bytes)),
            ("max-body-bytes", json::num(67_108_864)),
            ("header-timeout-ms", json::num(3_000)),
            ("idle-timeout-ms", json::num(15_000)),
        ]);
        let spec = json::obj(vec![
            ("version", json::num(version)),
            ("routes", Json::Arr(shown.collect())),
            ("services", Json::Arr(services.collect())),
            ("limits", limits),
        ]);
        self.store.write("config", "main", vec![("spec", spec)]);
        self.record.say(&format!("{:>7} config version {version} is acknowledged", self.record.ms()));
    }

    pub fn backend(&self, id: &str, plan: &Plan) {
        backend::start(id, plan, &self.store, &self.record, &self.runs);
    }

    /// Starts a machine with the router.
    pub fn machine(&mut self, node: &str, first_start: bool) {
        let store = self.store.open("127.0.0.1");
        let mut machine = Machine::new(node, self.machines, store);
        self.machines += 1;
        machine.first_start = first_start;
        machine.seeds = self.routers.iter().take(3).map(|r| r.machine.control).collect();
        self.routers.push(Router::start(machine, &self.dir, &self.record));
    }

    /// Waits until `done` or the end of `time`.
    pub fn wait(&self, time: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if done(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        done(self)
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.routers.clear();
        let keep = std::env::var_os("KEEP_LOGS").is_some();
        if keep {
            println!("logs: {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}
