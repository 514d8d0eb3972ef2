//! Test fleet of real processes on loopback: a store, two backend servers and three routers.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

use http::Method;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tarragon_lab::fleet::port::Block;
use tokio::sync::{Mutex, MutexGuard};

use crate::support::{BufferedResponse, Process, TIMEOUT, WorkDir, call};

/// Held by each fleet: a test program runs one fleet at a time, so that it needs few processes.
static EXCLUSIVE: Mutex<()> = Mutex::const_new(());
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Failure domains and regions of the hosts and backend servers.
const PLACES: [(&str, &str); 3] = [
    ("karachi-1", "sindh"),
    ("karachi-2", "sindh"),
    ("gwadar-1", "balochistan"),
];
/// Fleet key of all routers.
pub const FLEET_KEY: &[u8] = b"a key of the tests, long enough for the settings";

/// Router process, killed when dropped.
pub struct Router {
    child: Child,
    pub name: String,
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub forward: SocketAddr,
    pub admin: SocketAddr,
}

impl Router {
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits until the process has exited, at most `limit`.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.try_wait() {
                return Some(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// All processes of one test.
pub struct Fleet {
    pub routers: Vec<Router>,
    pub backends: Vec<Process>,
    pub store: Process,
    checks: bool,
    dir: PathBuf,
    _ports: Block,
    _exclusive: MutexGuard<'static, ()>,
}

impl Fleet {
    /// Starts a fleet and waits until each router serves requests.
    pub async fn start(dir: &WorkDir) -> Self {
        Self::with_limits(dir, json!({})).await
    }

    /// Starts a fleet whose routers use these `limits` in their settings.
    pub async fn with_limits(dir: &WorkDir, limits: Value) -> Self {
        Self::with(dir, &limits, true).await
    }

    /// Starts a fleet whose backend servers do not check fences.
    pub async fn unchecked(dir: &WorkDir) -> Self {
        Self::with(dir, &json!({}), false).await
    }

    async fn with(dir: &WorkDir, limits: &Value, checks: bool) -> Self {
        let exclusive = EXCLUSIVE.lock().await;
        let mut ports = Block::claim().unwrap();
        let store = Process::start("store --listen 127.0.0.1:0");
        let root = dir.path("");
        let backends: Vec<_> = (1..=2)
            .map(|number| start_backend(&root, number, checks))
            .collect();
        fs::write(root.join("fleet.key"), FLEET_KEY).unwrap();
        let mut routers = Vec::new();
        for (at, place) in PLACES.iter().enumerate() {
            let router = start_router(&root, at, *place, &mut ports, store.addr, limits);
            write_host_entry(&store, &router, *place).await;
            routers.push(router);
        }
        let fleet = Self {
            routers,
            backends,
            store,
            checks,
            dir: root,
            _ports: ports,
            _exclusive: exclusive,
        };
        fleet.configure().await;
        fleet
    }

    async fn configure(&self) {
        let config = self.path("config.json");
        fs::write(&config, self.config().to_string()).unwrap();
        self.ctl_ok(&["config", "apply", config.to_str().unwrap()]);
        for router in &self.routers {
            self.await_served(router.caller, "/balance/first/?work_us=100")
                .await;
        }
    }

    fn config(&self) -> Value {
        let places = PLACES.map(|(name, region)| json!({"name": name, "region": region}));
        json!({ "places": places, "services": [self.service("balance")] })
    }

    /// Returns the configuration of a service on the fleet's backend servers.
    pub fn service(&self, name: &str) -> Value {
        let backends: Vec<_> = self
            .backends
            .iter()
            .zip(PLACES)
            .enumerate()
            .map(|(at, (process, (place, _)))| {
                json!({
                    "id": format!("b{}", at + 1), "addr": process.addr,
                    "place": place, "shard": 0,
                })
            })
            .collect();
        json!({
            "name": name, "keyed": true, "checks_fences": self.checks, "groups": 16,
            "shards": [{ "weight": 1 }], "backends": backends,
            "slots": 6, "connections": 110, "deadline_ms": 5000,
        })
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.join(name)
    }

    /// Runs `tarragonctl` with these arguments.
    pub fn ctl(&self, args: &[&str]) -> Output {
        let store = self.store.addr.to_string();
        let defaults = ["ctl", "--store", &store, "--timeout", "20"];
        Command::new(env!("CARGO_BIN_EXE_lab"))
            .args(defaults)
            .args(args)
            .output()
            .unwrap()
    }

    /// Runs `tarragonctl`, which must succeed, and returns its standard output.
    pub fn ctl_ok(&self, args: &[&str]) -> String {
        let output = self.ctl(args);
        assert_eq!(output.status.code(), Some(0), "{args:?}: {output:?}");
        String::from_utf8(output.stdout).unwrap()
    }

    /// Retries a GET request until it gets status 200.
    pub async fn await_served(&self, caller: SocketAddr, path: &str) -> BufferedResponse {
        let mut last = None;
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            match call(caller, Method::GET, path, &[], "").await {
                Ok(response) if response.status == 200 => return response,
                other => last = Some(other),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{caller}{path} not served in time: {last:?}");
    }

    /// Waits until the output of `tarragonctl timeline` contains `text`, and returns the output.
    pub async fn timeline_with(&self, args: &[&str], text: &str) -> String {
        let mut all = vec!["timeline"];
        all.extend(args);
        let end = Instant::now() + TIMEOUT;
        loop {
            let output = self.ctl(&all);
            let found = String::from_utf8_lossy(&output.stdout).into_owned();
            if found.contains(text) {
                return found;
            }
            assert!(Instant::now() < end, "no {text:?} in {output:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a GET request and parses the response as JSON.
    pub async fn get_json(&self, admin: SocketAddr, path: &str) -> Value {
        call(admin, Method::GET, path, &[], "")
            .await
            .unwrap()
            .json()
    }

    /// Returns the index of the router that leads the only shard.
    pub async fn leader(&self) -> usize {
        let end = Instant::now() + TIMEOUT;
        while Instant::now() < end {
            for (at, router) in self.routers.iter().enumerate() {
                let shards = self.get_json(router.admin, "/shards").await;
                if shards["shards"][0]["acting"] == true {
                    return at;
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("no leader in time");
    }

    /// Returns the states in the record lines of a request, from all backend servers.
    pub fn record_states(&self, request: &str) -> Vec<String> {
        (1..=self.backends.len())
            .map(|number| self.path(&format!("b{number}.records")))
            .filter(|path| path.exists())
            .flat_map(|path| crate::support::states(&path, request))
            .collect()
    }
}

fn start_backend(dir: &Path, number: usize, checks: bool) -> Process {
    let checks = if checks { "--checks" } else { "" };
    let record = dir.join(format!("b{number}.records"));
    Process::start(&format!(
        "backend --service balance --id b{number} --listen 127.0.0.1:0 {checks} --record {}",
        record.display()
    ))
}

fn start_router(
    dir: &Path,
    at: usize,
    (place, region): (&str, &str),
    ports: &mut Block,
    store: SocketAddr,
    limits: &Value,
) -> Router {
    let name = format!("h{}", at + 1);
    let [caller, peer, forward, admin] = std::array::from_fn(|_| ports.addr().unwrap());
    let settings = json!({
        "host": name, "region": region, "failure_domain": place,
        "caller_addr": caller, "peer_addr": peer, "forward_addr": forward, "admin_addr": admin,
        "store_addr": store, "fleet_key_file": "fleet.key", "limits": limits,
    });
    let path = dir.join(format!("{name}.json"));
    fs::write(&path, settings.to_string()).unwrap();
    let log = File::create(dir.join(format!("{name}.log"))).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_lab"))
        .args(["router", "--settings"])
        .arg(&path)
        .env("TARRAGON_LOG", "info")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .unwrap();
    Router {
        child,
        name,
        caller,
        peer,
        forward,
        admin,
    }
}

async fn write_host_entry(store: &Process, router: &Router, (place, region): (&str, &str)) {
    let entry = json!({
        "id": router.name, "region": region, "failure_domain": place, "state": "live",
        "peer_addr": router.peer, "forward_addr": router.forward, "admin_addr": router.admin,
    });
    let path = format!("/v1/objects/hosts/{}?if_version=0", router.name);
    let response = call(store.addr, Method::PUT, &path, &[], &entry.to_string()).await;
    assert_eq!(response.unwrap().status, 200);
}
