//! What shows that a process runs late: histograms, and a bounded number of log lines.

use std::time::Duration;

use tarragon_edge::lag;
use tarragon_edge::logging::Limiter;
use tarragon_edge::metrics::Metrics;
use tokio::time::Instant;

#[test]
fn lines_of_one_event_are_limited_and_the_rest_counted() {
    let start = Instant::now();
    let mut limiter = Limiter::new(2);
    let at = |ms| start + Duration::from_millis(ms);
    assert_eq!(limiter.allow(at(0)), Some(0));
    assert_eq!(limiter.allow(at(10)), Some(0));
    assert_eq!(limiter.allow(at(20)), None);
    assert_eq!(limiter.allow(at(999)), None);
    assert_eq!(limiter.allow(at(1_000)), Some(2));
    assert_eq!(limiter.allow(at(1_001)), Some(0));
    assert_eq!(limiter.allow(at(1_002)), None);
}

#[test]
fn delays_of_commands_are_histograms_by_action() {
    let metrics = Metrics::new();
    metrics.record_command("grant", None, Duration::from_millis(700));
    metrics.record_command(
        "grant",
        Some(Duration::from_millis(150)),
        Duration::from_secs(3),
    );
    let text = String::from_utf8(metrics.text()).unwrap();
    for line in [
        r#"tarragon_edge_command_send_delay_seconds_count{action="grant""#,
        r#"tarragon_edge_command_duration_seconds_count{action="grant""#,
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
    let counts: Vec<&str> = text
        .lines()
        .filter(|line| line.contains("_count{"))
        .filter_map(|line| line.rsplit(' ').next())
        .collect();
    assert_eq!(counts, ["2", "1"]);
}

#[test]
fn the_lag_of_a_periodic_task_is_a_histogram() {
    let metrics = Metrics::new();
    let mut monitor = lag::Monitor::default();
    let due = Instant::now();
    monitor.record(&metrics, due, due + Duration::from_millis(450));
    monitor.record(&metrics, due, due);
    let text = String::from_utf8(metrics.text()).unwrap();
    assert!(
        text.contains("tarragon_edge_loop_lag_seconds_count"),
        "{text}"
    );
    assert!(
        text.contains("tarragon_edge_loop_lag_seconds_sum"),
        "{text}"
    );
}
