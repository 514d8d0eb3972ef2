//! Processes of the router under test, and the platform's way of starting them.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::http;
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn getrlimit(resource: i32, limit: *mut Limit) -> i32;
    fn setrlimit(resource: i32, limit: *const Limit) -> i32;
}

#[repr(C)]
struct Limit {
    current: u64,
    most: u64,
}

const RLIMIT_NOFILE: i32 = 7;
/// `max-fds` of the pages.
const MAX_DESCRIPTORS: u64 = 4_100;

/// Raises the number of descriptors that this process may open, within its hard limit.
pub fn allow_descriptors(count: u64) -> bool {
    let mut limit = Limit { current: 0, most: 0 };
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &mut limit) != 0 || limit.most < count {
            return false;
        }
        limit.current = limit.current.max(count);
        setrlimit(RLIMIT_NOFILE, &limit) == 0
    }
}

pub const SIGKILL: i32 = 9;
const PR_SET_PDEATHSIG: i32 = 1;

/// What the platform tells a process.
#[derive(Clone)]
pub struct Machine {
    pub node: String,
    pub ip: String,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub first_start: bool,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("bind");
    listener.local_addr().expect("address")
}

/// Returns a loopback address whose metrics port is free.
pub fn free_ip(number: u32) -> String {
    let base = std::process::id();
    for attempt in 0..200_u32 {
        let a = 64 + (base + attempt * 7) % 128;
        let b = (base / 128 + attempt * 13) % 250;
        let ip = format!("127.{a}.{b}.{}", 10 + number);
        if TcpListener::bind((ip.as_str(), 7_540)).is_ok() {
            return ip;
        }
    }
    panic!("no free loopback address");
}

impl Machine {
    pub fn new(node: &str, number: u32, store: SocketAddr) -> Self {
        let ip = free_ip(number);
        Self {
            node: node.to_owned(),
            store,
            seeds: Vec::new(),
            first_start: true,
            front: free(&ip),
            ready: free(&ip),
            control: free(&ip),
            ip,
        }
    }

    /// Returns the value of a placeholder as JSON.
    fn value(&self, name: &str) -> Option<String> {
        let text = |value: &str| format!("\"{value}\"");
        let seeds: Vec<String> = self.seeds.iter().map(|s| text(&s.to_string())).collect();
        Some(match name {
            "node" => text(&self.node),
            "zone" => text("z1"),
            "zones" => "{\"z1\":\"r1\"}".to_owned(),
            "first-start" => self.first_start.to_string(),
            "limits.cpu-share" => "0.2".to_owned(),
            "limits.memory-limit-mb" => "260".to_owned(),
            "listen.front" => text(&self.front.to_string()),
            "listen.ready" => text(&self.ready.to_string()),
            "listen.control" => text(&self.control.to_string()),
            "ip" => text(&self.ip),
            "seeds" => format!("[{}]", seeds.join(",")),
            "platform.addr" => text(&self.store.to_string()),
            "bounds.drain-ms" => "2000".to_owned(),
            "bounds.grace-s" => "6".to_owned(),
            "bounds.hold-max-ms" => "10000".to_owned(),
            "bounds.retry-ratio" => "0.2".to_owned(),
            "bounds.retry-slack" => "58".to_owned(),
            "bounds.retry-window-s" => "10".to_owned(),
            _ => return None,
        })
    }

    /// Fills in the project's template as DEPLOY.md says; the sections of absent fields are left out.
    fn settings(&self, template: &str) -> String {
        let mut out = String::new();
        let mut rest = template;
        while let Some(at) = rest.find("{{") {
            out.push_str(&rest[..at]);
            let end = at + rest[at..].find("}}").expect("open placeholder");
            let inside = &rest[at + 2..end];
            rest = &rest[end + 2..];
            if let Some(name) = inside.strip_prefix('#') {
                let close = format!("{{{{/{name}}}}}");
                let to = rest.find(&close).expect("open section");
                assert!(self.value(name).is_none(), "no section is expected to be present");
                rest = &rest[to + close.len()..];
                continue;
            }
            let (name, as_json) = match inside.strip_suffix("|json") {
                Some(name) => (name, true),
                None => (inside, false),
            };
            let value = self.value(name).unwrap_or_else(|| panic!("no field {name}"));
            out.push_str(if as_json { &value } else { value.trim_matches('"') });
        }
        out.push_str(rest);
        out
    }
}

pub struct Router {
    pub machine: Machine,
    child: Option<Child>,
    pub log: PathBuf,
    record: Record,
    /// Whether the platform's balancer sends new connections to it.
    pub rotation: Arc<AtomicBool>,
}

impl Router {
    /// Starts the program of the deploy file with the settings of `machine`.
    pub fn start(machine: Machine, dir: &Path, record: &Record) -> Self {
        let template = fs::read_to_string("platform/settings.jsonc").expect("template");
        let settings = dir.join(format!("{}.jsonc", machine.node));
        fs::write(&settings, machine.settings(&template)).expect("settings");
        let log = dir.join(format!("{}.log", machine.node));
        let mut router = Self {
            machine,
            child: None,
            log,
            record: record.clone(),
            rotation: Arc::default(),
        };
        router.spawn(&settings);
        router.probe();
        router
    }

    /// Starts the process again.
    pub fn restart(&mut self, dir: &Path) {
        self.machine.first_start = false;
        let template = fs::read_to_string("platform/settings.jsonc").expect("template");
        let settings = dir.join(format!("{}.jsonc", self.machine.node));
        fs::write(&settings, self.machine.settings(&template)).expect("settings");
        self.spawn(&settings);
    }

    fn spawn(&mut self, settings: &Path) {
        let out = File::options().create(true).append(true).open(&self.log).expect("log");
        let errors = out.try_clone().expect("log");
        let mut command = Command::new("target/release/tarragonthread");
        command
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("TARRAGONTHREAD_BOOT", settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(errors);
        // The process ends with this one, whatever happens.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                let limit = Limit { current: MAX_DESCRIPTORS, most: MAX_DESCRIPTORS };
                setrlimit(RLIMIT_NOFILE, &limit);
                Ok(())
            });
        }
        let child = command.spawn().expect("start of target/release/tarragonthread");
        self.record.note(&format!("router {} starts, pid {}", self.machine.node, child.id()));
        self.child = Some(child);
    }

    /// Asks once a second whether the process is ready, as the platform's balancer does: two misses
    /// take it out of the rotation.
    fn probe(&self) {
        let (ready, rotation) = (self.machine.ready, Arc::clone(&self.rotation));
        let (record, node) = (self.record.clone(), self.machine.node.clone());
        std::thread::spawn(move || {
            let mut misses = 2;
            loop {
                let bytes = http::request("GET", "/-/ready", &[("Host", "ready".to_owned())], b"");
                let answer = http::call(ready, &bytes, Duration::from_millis(900));
                misses = if answer.is_ok_and(|a| a.status() == 200) { 0 } else { misses + 1 };
                let inside = misses < 2;
                if rotation.swap(inside, Ordering::SeqCst) != inside {
                    record.note(&format!("router {node} in rotation: {inside}"));
                }
                std::thread::sleep(Duration::from_secs(1));
            }
        });
    }

    pub fn in_rotation(&self) -> bool {
        self.rotation.load(Ordering::SeqCst)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.note(&format!("router {} gets signal {signal}", self.machine.node));
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
        self.rotation.store(false, Ordering::SeqCst);
    }

    /// Returns the resident memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|l| l.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1_024
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
