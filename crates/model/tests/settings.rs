//! Loading of valid and invalid settings files.

use std::fs;
use std::path::{Path, PathBuf};

use tarragon_model::settings::{self, Error, Limits};

const VALID: &str = r#"{
  // A host of the experiments.
  "host": "h1",
  "region": "sindh",
  "failure_domain": "karachi-1",
  "caller_addr": "127.0.0.1:7001",
  "peer_addr": "127.0.0.1:7101",
  "forward_addr": "127.0.0.1:7201",
  "admin_addr": "127.0.0.1:7301",
  "store_addr": "127.0.0.1:7900",
  "fleet_key_file": "fleet.key",
  "dial": { "127.0.0.1:7102": "127.0.0.1:9102" },
  "limits": { "connections": 7 },
}
"#;

fn directory(case: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join("settings")
        .join(case);
    fs::create_dir_all(&path).expect("a directory for the case");
    fs::write(path.join("fleet.key"), [7; settings::MIN_KEY_BYTES]).expect("a key");
    path
}

fn load(case: &str, text: &str) -> Result<settings::Router, Error> {
    let path = directory(case).join("router.jsonc");
    fs::write(&path, text).expect("the settings");
    settings::load(&path)
}

#[test]
fn valid_settings_load() {
    let router = load("valid", VALID).expect("valid settings");
    assert_eq!(router.host.as_str(), "h1");
    assert_eq!(router.limits.connections, 7);
    assert_eq!(router.limits.events, Limits::default().events);
    assert_eq!(
        router.fleet_key().expect("the key").len(),
        settings::MIN_KEY_BYTES
    );
    let from = "127.0.0.1:7102".parse().expect("an address");
    assert_eq!(router.dial_addr(from).port(), 9_102);
    let text = serde_json::to_string(&router).expect("JSON");
    assert_eq!(
        serde_json::from_str::<settings::Router>(&text).expect("settings"),
        router
    );
}

/// Defines tests that replace one string in valid settings and expect a position and a message.
macro_rules! invalid {
    ($($name:ident: $from:expr => $to:expr, $line:expr, $column:expr, $message:expr;)*) => {$(
        #[test]
        fn $name() {
            let text = VALID.replacen($from, $to, 1);
            assert_ne!(text, VALID);
            let error = load(stringify!($name), &text).expect_err("invalid settings");
            let Error::Invalid(diagnostics) = &error else { panic!("{error}") };
            assert_eq!(diagnostics.len(), 1, "{error}");
            assert_eq!((diagnostics[0].line, diagnostics[0].column), ($line, $column), "{error}");
            assert!(diagnostics[0].message.contains($message), "{error}");
            assert!(!diagnostics[0].advice.is_empty());
            let position = format!("router.jsonc:{}:{}: ", $line, $column);
            assert!(error.to_string().contains(&position), "{error}");
        }
    )*};
}

invalid! {
    unfinished_text: "\"h1\"," => "\"h1\"", 3, 15, "comma";
    unknown_field: "\"limits\"" => "\"limit\"", 13, 3, "unknown field `limit`";
    unknown_limit: "\"connections\"" => "\"sockets\"", 13, 15, "unknown field `sockets`";
    missing_field: "\"region\": \"sindh\"," => "", 1, 1, "missing field `region`";
    wrong_type: "\"h1\"" => "1", 3, 11, "invalid type";
    no_address: "127.0.0.1:7001" => "here", 6, 18, "socket address";
    empty_name: "\"h1\"" => "\"\"", 3, 11, "not a valid name";
    capital_in_name: "karachi-1" => "Karachi-1", 5, 21, "not a valid name";
    same_address: "7301" => "7101", 9, 17, "127.0.0.1:7101 is also the peer_addr";
    missing_key: "fleet.key" => "other.key", 11, 21, "cannot read the file";
    no_connections: "7 }" => "0 }", 13, 30, "zero";
    small_header: "\"connections\": 7" => "\"header_bytes\": 9", 13, 31, "9 bytes";
}

#[test]
fn a_short_key_is_refused() {
    let path = directory("short");
    fs::write(path.join("fleet.key"), "short").expect("a key");
    fs::write(path.join("router.jsonc"), VALID).expect("the settings");
    let error = settings::load(&path.join("router.jsonc")).expect_err("a short key");
    assert!(error.to_string().contains("router.jsonc:11:21"), "{error}");
    assert!(error.to_string().contains("5 bytes"), "{error}");
}

#[test]
fn a_missing_file_is_named() {
    let error = settings::load(Path::new("absent.jsonc")).expect_err("no file");
    assert!(matches!(error, Error::Read { .. }));
    assert!(error.to_string().starts_with("absent.jsonc: "));
}
