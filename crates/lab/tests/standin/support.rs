//! Work directories, stand-in processes and HTTP calls for the tests.

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

/// Maximum wait for any expected event.
pub const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Defines async tests, each with its own work directory.
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

/// Work directory of one test, removed unless the test fails.
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

/// Running stand-in process, killed when dropped.
pub struct Process {
    child: Child,
    pub addr: SocketAddr,
}

impl Process {
    /// Starts `lab standin` with arguments separated by whitespace, and waits until it listens.
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

    pub async fn fault(&self, request: &str) {
        assert_eq!(self.post("/_fault", request).await.status, StatusCode::OK);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Response whose body has been read completely.
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

/// Sends a request over a new connection and reads the whole response.
///
/// Fails when the response body breaks off.
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

/// Sends a request over a new connection and returns the response with its body unread.
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

/// Polls `probe` until it returns `Some`; panics after [`TIMEOUT`].
pub async fn eventually<T>(mut probe: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TIMEOUT;
    loop {
        if let Some(found) = probe() {
            return found;
        }
        assert!(
            Instant::now() < end,
            "the expected event did not happen in time"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the state and request identifier of each line of a record file.
pub fn records(path: &Path) -> Vec<(String, String)> {
    let text = std::fs::read_to_string(path).unwrap();
    let line = |line: &str| {
        let line: Value = serde_json::from_str(line).unwrap();
        let text = |name: &str| line[name].as_str().unwrap().to_owned();
        (text("state"), text("request"))
    };
    text.lines().map(line).collect()
}

/// Returns the states recorded for a request, in order.
pub fn states(path: &Path, request: &str) -> Vec<String> {
    records(path)
        .into_iter()
        .filter(|(_, recorded)| recorded == request)
        .map(|(state, _)| state)
        .collect()
}
