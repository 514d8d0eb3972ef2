//! The project's own program, started as the deploy file says, with its template filled in.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::{note, now_ms};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// Addresses of one run, all of them loopback.
pub fn ip(number: usize) -> String {
    let pid = std::process::id() as usize;
    format!("127.{}.{}.{number}", 20 + pid % 200, 1 + pid / 200 % 250)
}

/// Figures of the settings that the cases set; the others are those of a small deployment.
#[derive(Clone)]
pub struct Bounds {
    pub drain_ms: u64,
    pub grace_s: u64,
    pub hold_max_ms: u64,
    pub retry_slack: u64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain_ms: 2_000,
            grace_s: 6,
            hold_max_ms: 10_000,
            retry_slack: 58,
        }
    }
}

pub struct Router {
    pub name: String,
    ip: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    pub control: SocketAddr,
    store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub bounds: Bounds,
    pub first_start: bool,
    pub started_ms: u64,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

fn free(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a loopback address can be bound");
    listener.local_addr().unwrap()
}

/// Returns the program of the deploy file's role, and the path of the template.
fn deploy() -> (String, String) {
    let text = fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let value = |name: &str| {
        let line = text.lines().find(|line| line.trim_start().starts_with(name));
        let line = line.unwrap_or_else(|| panic!("deploy/system.toml has no {name}"));
        line.split('"').nth(1).unwrap_or_default().to_owned()
    };
    (value("run ="), value("template ="))
}

impl Router {
    pub fn new(number: usize, store: SocketAddr, dir: &Path) -> Self {
        let name = format!("front-{number}");
        let ip = ip(10 + number);
        Self {
            front: free(&ip),
            ready: free(&ip),
            control: free(&ip),
            store,
            seeds: Vec::new(),
            bounds: Bounds::default(),
            first_start: true,
            started_ms: 0,
            settings: dir.join(format!("{name}.jsonc")),
            log: dir.join(format!("{name}.log")),
            child: None,
            name,
            ip,
        }
    }

    /// Fills in the template, as the platform does at every start and whenever settings change.
    pub fn write_settings(&self) {
        let (_, template) = deploy();
        let mut text = fs::read_to_string(template).expect("the template of the deploy file");
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let fields = [
            ("node", format!("\"{}\"", self.name)),
            ("zone", "\"a\"".to_owned()),
            ("zones", "{\"a\":\"r\"}".to_owned()),
            ("first-start", self.first_start.to_string()),
            ("limits.cpu-share", "0.2".to_owned()),
            ("limits.memory-limit-mb", "260".to_owned()),
            ("listen.front", format!("\"{}\"", self.front)),
            ("listen.ready", format!("\"{}\"", self.ready)),
            ("listen.control", format!("\"{}\"", self.control)),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("platform.addr", format!("\"{}\"", self.store)),
            ("bounds.drain-ms", self.bounds.drain_ms.to_string()),
            ("bounds.grace-s", self.bounds.grace_s.to_string()),
            ("bounds.hold-max-ms", self.bounds.hold_max_ms.to_string()),
            ("bounds.retry-ratio", "0.2".to_owned()),
            ("bounds.retry-slack", self.bounds.retry_slack.to_string()),
            ("bounds.retry-window-s", "10".to_owned()),
        ];
        text = text.replace("{{ip}}", &self.ip);
        for (name, value) in fields {
            text = text.replace(&format!("{{{{{name}|json}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a placeholder of the template is not known");
        let new = self.settings.with_extension("new");
        fs::write(&new, text).expect("the settings can be written");
        fs::rename(&new, &self.settings).expect("the settings can be replaced");
    }

    pub fn start(&mut self) {
        self.write_settings();
        let (run, _) = deploy();
        let mut words = run.split(' ');
        let program = words.next().unwrap_or_default();
        let log = fs::File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let mut command = Command::new(program);
        command.args(words).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("TARRAGONTHREAD_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().unwrap())
            .stdout(log);
        // SAFETY: prctl is async-signal-safe. The process ends with this one in any case.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9, 0, 0, 0);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the build of the deploy file was done"));
        self.started_ms = now_ms();
        note(&format!("platform starts {} front={} control={}", self.name, self.front, self.control));
        self.first_start = false;
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            note(&format!("platform sends signal={signal} to {}", self.name));
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits for the end of the process, and kills it after the grace period.
    pub fn wait_end(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let end = Instant::now() + Duration::from_secs(self.bounds.grace_s);
        while let Ok(None) = child.try_wait() {
            if Instant::now() >= end {
                let _ = child.kill();
            }
            thread::sleep(Duration::from_millis(10));
        }
        note(&format!("platform sees the end of {}", self.name));
    }

    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        matches!(child.try_wait(), Ok(None))
    }

    /// Asks the process whether it is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/ready HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n";
        let answer = http::call(self.ready, request, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.word() == "200")
    }

    pub fn wait_ready(&mut self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.is_ready() {
                note(&format!("platform finds {} ready", self.name));
                return true;
            }
            if !self.is_running() {
                note(&format!("platform sees the end of {} before it was ready", self.name));
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        note(&format!("platform finds {} running and not ready", self.name));
        false
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
