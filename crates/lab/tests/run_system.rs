//! A system of real processes survives the loss of a host and of a backend server.

use std::collections::BTreeMap;
use std::process::Command;
use std::sync::OnceLock;

/// Fault file of the run.
const FAULTS: &str = r#"[
    { "at_ms": 2000, "kind": "host-kill", "target": "h1", "for_ms": 1500 },
    { "at_ms": 2500, "kind": "backend-kill", "target": "balance-1", "for_ms": 1500 },
    { "at_ms": 5000, "kind": "preset-change" } // while both are back
]"#;

/// Runs the system once for all tests and returns its figures.
fn figures() -> &'static BTreeMap<String, u64> {
    static FIGURES: OnceLock<BTreeMap<String, u64>> = OnceLock::new();
    FIGURES.get_or_init(|| {
        let dir = std::env::temp_dir().join(format!("lab-test-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let faults = dir.join("faults.jsonc");
        std::fs::write(&faults, FAULTS).unwrap();
        let output = Command::new(env!("CARGO_BIN_EXE_lab"))
            .args(["run", "--seed", "1", "--seconds", "10", "--hosts", "5"])
            .args(["--load", "60", "--probes", "24", "--faults"])
            .arg(&faults)
            .arg("--report")
            .arg(&dir)
            .output()
            .unwrap();
        let text = String::from_utf8_lossy(&output.stdout);
        println!("{text}{}", String::from_utf8_lossy(&output.stderr));
        std::fs::remove_dir_all(&dir).unwrap();
        let last = text.lines().last().unwrap_or_default();
        let pairs = last.split(' ').filter_map(|pair| pair.split_once('='));
        pairs
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect()
    })
}

/// Defines a test: a figure of the run lies in this range.
macro_rules! figure {
    ($name:ident, $allowed:expr) => {
        #[test]
        fn $name() {
            let value = figures()[stringify!($name)];
            assert!($allowed.contains(&value), "{}={value}", stringify!($name));
        }
    };
}

figure!(served, 100..);
figure!(faults, 3..=3);
figure!(faults_failed, 0..=0);
figure!(wrong_owner, 0..=0);
figure!(double_run, 0..=0);
figure!(false_not_run, 0..=0);
figure!(broken_answers, 0..=0);
figure!(config_reverts, 0..=0);
figure!(lost_assignments, 0..=0);
figure!(unavailable_ms_max, 0..=4_000);
figure!(over_slots, 0..=0);
figure!(over_connections, 0..=0);
figure!(invariants, 0..=0);
figure!(host_crashes, 0..=0);
