//! Runs the program as a process against an HTTP server that acts as the store and as a host.

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};

fn program(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_tarragonctl"))
        .args(args)
        .env_remove("TARRAGON_STORE")
        .output()
        .expect("the program")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

/// Defines a test: the arguments lead to the exit code, and the stream contains the text.
macro_rules! exits {
    ($($name:ident: [$($arg:expr),*] => $code:expr, $stream:ident, $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let output = program(&[$($arg),*]);
            let found = text(&output.$stream);
            assert_eq!(output.status.code(), Some($code), "{output:?}");
            assert!(found.contains($expected), "{found}");
        }
    )*};
}

exits! {
    help: ["--help"] => 0, stdout, "Usage: tarragonctl";
    version: ["--version"] => 0, stdout, env!("CARGO_PKG_VERSION");
    no_command: [] => 2, stderr, "no command";
    no_store: ["status"] => 2, stderr, "--store ADDR";
    no_file: ["config", "check", "absent.jsonc"] => 2, stderr, "absent.jsonc: cannot read";
    store_refuses: ["status", "--store", "127.0.0.1:1"] => 1, stderr, "config/main";
}

#[test]
fn an_invalid_file_is_reported_with_line_and_column() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("bad.jsonc");
    fs::write(
        &path,
        "{\n  \"places\": [],\n  \"services\": [],\n  \"presett\": \"peak\"\n}\n",
    )
    .expect("a file");
    let path = path.to_str().expect("a path");
    let output = program(&["config", "check", path]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let found = text(&output.stderr);
    assert!(
        found.contains(&format!("{path}:4:3: unknown field `presett`")),
        "{found}"
    );
}

/// Defines a test: the example configuration is valid and has these services.
macro_rules! examples {
    ($($name:ident: $file:expr, $services:expr;)*) => {$(
        #[test]
        fn $name() {
            let path = example($file);
            let config = tarragon_model::settings::load_config(&path).expect("a configuration");
            let sizes: Vec<_> = config
                .services
                .iter()
                .map(|service| (service.name.as_str(), service.keyed, service.backends.len()))
                .collect();
            assert_eq!(sizes, $services);
            assert_eq!(config.places.len(), 6);
            for service in &config.services {
                assert_eq!(service.slots, 6);
                for shard in service.shard_ids() {
                    let mut regions: Vec<_> = service
                        .backends_of(shard.index)
                        .map(|backend| config.places.iter().find(|place| place.name == backend.place))
                        .map(|place| &place.expect("a place").region)
                        .collect();
                    assert!((4..=7).contains(&regions.len()), "{shard} has {}", regions.len());
                    regions.dedup();
                    assert_eq!(regions.len(), 1, "{shard} spans regions");
                }
            }
            let path = path.to_str().expect("a path");
            assert_eq!(program(&["config", "check", path]).status.code(), Some(0));
        }
    )*};
}

examples! {
    indus: "indus.jsonc", [("balance", true, 16), ("purchase", false, 12), ("packages", false, 12)];
    atlas: "atlas.jsonc", [("availability", true, 20), ("booking", false, 13), ("media", false, 12)];
}

#[test]
fn the_example_of_router_settings_loads() {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("router-example");
    fs::create_dir_all(&directory).expect("a directory");
    fs::copy(example("router.jsonc"), directory.join("router.jsonc")).expect("the settings");
    fs::write(directory.join("fleet.key"), [7; 32]).expect("a key");
    tarragon_model::settings::load(&directory.join("router.jsonc")).expect("good settings");
}

/// Store with one configuration, and one host that applies it at once.
struct Server {
    addr: SocketAddr,
    config: Mutex<(u64, Value)>,
}

impl Server {
    fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let addr = listener.local_addr().expect("an address");
        let config = json!({ "places": [], "services": [] });
        let server = Arc::new(Self {
            addr,
            config: Mutex::new((3, config)),
        });
        let shared = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.serve(&stream.expect("a connection")));
            }
        });
        server
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some((line, body)) = read_request(&mut reader) {
            let (status, response) = self.response(&line, &body);
            let response = response.to_string();
            let length = response.len();
            let head = format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\n\r\n");
            let mut writer = stream;
            writer
                .write_all(format!("{head}{response}").as_bytes())
                .expect("a response");
        }
    }

    fn response(&self, line: &str, body: &[u8]) -> (u16, Value) {
        let mut config = self.config.lock().expect("the configuration");
        let version = config.0;
        let object =
            json!({ "kind": "config", "name": "main", "version": version, "value": config.1 });
        let host = json!({
            "kind": "hosts", "name": "h1", "version": 1,
            "value": {
                "id": "h1", "region": "sindh", "failure_domain": "karachi-1", "state": "live",
                "peer_addr": "127.0.0.1:1", "forward_addr": "127.0.0.1:2", "admin_addr": self.addr,
            },
        });
        let event = json!({
            "seq": 1, "stamp": { "wall_us": 9, "logical": 0 }, "host": "h1",
            "kind": "config-seen", "fields": [{ "name": "version", "value": "3" }],
        });
        match line.split_whitespace().collect::<Vec<_>>()[..2] {
            ["GET", "/v1/objects/config/main"] => (200, object),
            ["GET", "/v1/objects/hosts"] => (200, json!({ "revision": 4, "items": [host] })),
            ["PUT", target]
                if target == format!("/v1/objects/config/main?if_version={version}") =>
            {
                *config = (version + 1, serde_json::from_slice(body).expect("JSON"));
                (200, json!({ "version": version + 1 }))
            }
            ["GET", "/status"] => (
                200,
                json!({
                    "host": "h1", "incarnation": 5, "draining": false, "config_version": version,
                    "config_in_force": {}, "invariants": { "one-owner": 0 },
                }),
            ),
            ["GET", "/shards"] => (200, json!({ "shards": [] })),
            ["GET", "/explain?service=balance&key=a%2Fb"] => (
                200,
                json!({
                    "service": "balance", "key": "a/b", "group": 4, "shard": "balance.0",
                    "leader": "h1#5", "owner": "b0", "why": ["hash of the key"],
                }),
            ),
            ["GET", "/events?after=0&wait_ms=0"] => {
                (200, json!({ "host": "h1", "next": 1, "events": [event] }))
            }
            ["GET", "/events?after=1&wait_ms=0"] => {
                (200, json!({ "host": "h1", "next": 1, "events": [] }))
            }
            _ => (404, Value::Null),
        }
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<(String, Vec<u8>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((first, body))
}

/// Defines a test: the command succeeds against the server, and its output contains the text.
macro_rules! outputs {
    ($($name:ident: [$($arg:expr),*] => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            let server = Server::start();
            let store = server.addr.to_string();
            let output = program(&["--store", &store, "--timeout", "5", $($arg),*]);
            assert_eq!(output.status.code(), Some(0), "{output:?}");
            let found = text(&output.stdout);
            assert!(found.contains($expected), "{found}");
        }
    )*};
}

outputs! {
    choose: ["preset", "choose", "peak"] => "accepted as version 4\nin force everywhere: version 4\n";
    choose_json: ["preset", "choose", "peak", "--json"] => "\"in_force\":true";
    choose_again: ["preset", "choose", "ordinary"] => "already so in version 3\n";
    add_place: ["place", "add", "hub", "sindh"] => "accepted as version 4\n";
    presets: ["preset", "show"] => "* ordinary";
    config_show: ["config", "show"] => "\"version\": 3";
    hosts: ["host", "list"] => "h1           live     region=sindh";
    fleet: ["status"] => "h1           serving   listed=live failure_domain=karachi-1 config=3";
    owner: ["owner", "balance", "a/b"] => "owner=b0 shard=balance.0 group=4 leader=h1#5\n";
    explain: ["explain", "balance", "a/b"] => "  hash of the key\n";
    timeline: ["timeline"] => "at=9.0 host=h1 seq=1 event=config-seen version=3\n";
    timeline_json: ["timeline", "--json"] => "\"kind\":\"config-seen\"";
}
