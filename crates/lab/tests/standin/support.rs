//! Work directories, processes and HTTP calls of the tests.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

/// Time within which anything that is awaited must happen.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(10);

/// Defines tests that each get a work directory of their own.
macro_rules! cases {
    ($($name:ident($dir:ident) $body:block)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let $dir = crate::support::WorkDir::new(concat!(module_path!(), "::", stringify!($name)));
                $body
            }
        )*
    };
}

/// Directory of one test, kept when the test fails.
pub struct WorkDir(PathBuf);

impl WorkDir {
    pub fn new(case: &str) -> Self {
        let name = format!("{}-{}", case.replace("::", "-"), std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for WorkDir {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Running stand-in, killed when dropped.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
}

impl Process {
    /// Starts `lab standin` with arguments that hold no spaces.
    pub fn start(args: &str) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_lab"))
            .arg("standin")
            .args(args.split_whitespace())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut out = BufReader::new(child.stdout.take().unwrap());
        out.read_line(&mut line).unwrap();
        let addr = line.trim().strip_prefix("listening=").unwrap();
        Self {
            addr: addr.parse().unwrap(),
            child,
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).unwrap();
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().unwrap()
    }

    pub async fn get(&self, path: &str) -> BufferedResponse {
        call(self.addr, Method::GET, path, &[], "").await.unwrap()
    }

    pub async fn post(&self, path: &str, body: &str) -> BufferedResponse {
        call(self.addr, Method::POST, path, &[], body)
            .await
            .unwrap()
    }

    pub async fn fault(&self, order: &str) {
        assert_eq!(self.post("/_fault", order).await.status, StatusCode::OK);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// BufferedResponse with its whole body.
#[derive(Debug)]
pub struct BufferedResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Vec<u8>,
}

impl BufferedResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }
}

/// Calls over a connection of its own; fails when the answer does not end well.
pub async fn call(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<BufferedResponse, String> {
    let response = open(addr, method, path, headers, body).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(BufferedResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes().to_vec(),
    })
}

/// Calls and returns the answer's head with its body still to come.
pub async fn open(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Result<Response, String> {
    let mut request = Client::default()
        .request(method, format!("http://{addr}{path}"))
        .data(Body::from(body.to_owned()));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let sent = tokio::time::timeout(TIMEOUT, request.send()).await;
    sent.map_err(|_| "timeout".to_owned())?
        .map_err(|error| error.to_string())
}

/// Waits until `probe` gives something.
pub async fn eventually<T>(mut probe: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(Instant::now() < end, "nothing came in time");
        tokio::time::sleep(POLL).await;
    }
}

/// Returns the lines of a record file, each as its state and request.
pub fn records(path: &Path) -> Vec<(String, String)> {
    let text = std::fs::read_to_string(path).unwrap();
    let line = |line: &str| {
        let line: Value = serde_json::from_str(line).unwrap();
        let text = |name: &str| line[name].as_str().unwrap().to_owned();
        (text("state"), text("request"))
    };
    text.lines().map(line).collect()
}

/// Returns the states that a record file holds for a request.
pub fn states(path: &Path, request: &str) -> Vec<String> {
    records(path)
        .into_iter()
        .filter(|(_, of)| of == request)
        .map(|(state, _)| state)
        .collect()
}
