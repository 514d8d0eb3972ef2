//! Quick run of all capacity experiments.

use std::collections::HashSet;
use std::fs;
use std::path::PathBuf;

use tarragon_lab::capacity;
use tarragon_lab::capacity::cluster::Cluster;
use tarragon_lab::capacity::fixture::{self, Size};
use tarragon_lab::capacity::options::{self, Effort};

/// Points of each series in a quick run.
const POINTS: usize = 4;

#[test]
fn every_series_has_four_points_and_its_files() {
    let out = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("capacity");
    let _ = fs::remove_dir_all(&out);
    let options = options::Options {
        out: out.clone(),
        effort: Effort::Quick,
    };
    capacity::run(&options).unwrap();
    let summary = fs::read_to_string(out.join("summary.md")).unwrap();
    let names = summary
        .lines()
        .skip(2)
        .filter_map(|line| line.split('|').nth(1));
    let names: Vec<&str> = names.map(str::trim).collect();
    let distinct: HashSet<&str> = names.iter().copied().collect();
    assert_eq!(distinct.len(), names.len());
    for name in names {
        let csv = fs::read_to_string(out.join(format!("{name}.csv"))).unwrap();
        assert_eq!(csv.lines().count(), 1 + POINTS, "{name}");
        assert!(out.join(format!("{name}.md")).exists(), "{name}");
        let plot = fs::read_to_string(out.join(format!("{name}.svg"))).unwrap();
        assert!(plot.contains("<circle"), "{name}");
    }
}

#[test]
fn shards_of_a_lost_leader_get_a_new_leader() {
    let size = Size {
        services: 1,
        shards: 2,
        groups: 16,
        backends: fixture::BACKENDS,
    };
    let records =
        [[0, 1, 2], [0, 2, 1]].map(|replicas| fixture::record(replicas.map(fixture::same_region)));
    let mut cluster = Cluster::new(4, &fixture::config(size), &records);
    cluster.advance(3_000).unwrap();
    assert_eq!(cluster.acting_shards(), 2);
    cluster.kill(0);
    cluster.advance(4_000).unwrap();
    assert_eq!(cluster.acting_shards(), 2);
}

/// Generates a test that a command line is rejected.
macro_rules! rejected {
    ($($name:ident: $args:expr;)*) => {$(
        #[test]
        fn $name() {
            let args = $args.map(str::to_owned);
            assert!(options::parse(&args).is_err());
        }
    )*};
}

rejected! {
    unknown_option: ["--hosts"];
    missing_directory: ["--out"];
    free_argument: ["fast"];
}
