//! CPU time of the current thread and memory of the process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Bytes in a kibibyte.
const KIBIBYTE: f64 = 1024.0;

/// Returns the CPU time that the current thread has used.
#[must_use]
pub fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Runs the work and returns its CPU time, in milliseconds.
pub fn cpu_ms<T>(work: impl FnOnce() -> T) -> f64 {
    let before = thread_cpu_time();
    let result = work();
    let spent = thread_cpu_time().saturating_sub(before);
    std::hint::black_box(result);
    spent.as_secs_f64() * 1e3
}

/// Returns the resident memory of the process in bytes; 0 when `/proc` does not provide it.
#[must_use]
pub fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes = kibibytes.and_then(|text| text.parse::<f64>().ok());
    kibibytes.unwrap_or_default() * KIBIBYTE
}

/// Returns the median of the values, the upper one of the middle two; 0 when there are none.
///
/// ```
/// assert!((tarragon_lab::capacity::meter::median(vec![9.0, 1.0, 2.0]) - 2.0).abs() < 1e-9);
/// ```
#[must_use]
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Repeats a measurement and returns the median.
pub fn median_of(times: usize, measure: impl FnMut() -> f64) -> f64 {
    let values = std::iter::repeat_with(measure).take(times);
    median(values.collect())
}

/// Converts a count; `f64::MAX` when it exceeds `u32`.
#[must_use]
pub fn as_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
