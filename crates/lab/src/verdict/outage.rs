//! Time during which keys were not served.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use smallvec::smallvec;

use super::Breach;
use crate::trace::{Gap, Span};

/// Time limit for a key to be served again after a covered fault, in milliseconds.
pub const UNAVAILABLE_LIMIT_MS: u64 = 4_000;

/// Distribution of a set of values, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Distribution {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Maximum.
    pub max: u64,
}

/// Returns the longest covered gap, in milliseconds, and a breach for each covered gap over the
/// limit.
#[must_use]
pub fn unavailable(gaps: &[Gap]) -> (u64, Vec<Breach>) {
    let covered = || gaps.iter().filter(|gap| gap.covered);
    let longest = covered().map(Gap::millis).max().unwrap_or_default();
    let mut breaches: Vec<Breach> = covered()
        .filter(|gap| gap.millis() > UNAVAILABLE_LIMIT_MS)
        .map(breach)
        .collect();
    breaches.sort_by_key(|breach| breach.at_us);
    (longest, breaches)
}

fn breach(gap: &Gap) -> Breach {
    Breach {
        at_us: gap.from_us,
        check: "unavailable_ms_max",
        key: format!("{}/{}", gap.service, gap.key),
        parties: gap.faults.iter().cloned().collect(),
        evidence: smallvec![format!(
            "from_us={} to_us={} gap_ms={} first: {}",
            gap.from_us,
            gap.to_us,
            gap.millis(),
            gap.first
        )],
    }
}

/// Returns the distribution of all gaps by the kinds of faults that were active.
#[must_use]
pub fn by_kind(gaps: &[Gap]) -> BTreeMap<String, Distribution> {
    let mut kinds: BTreeMap<String, Vec<u64>> = BTreeMap::new();
    for gap in gaps {
        let kind = if gap.faults.is_empty() {
            "none".to_owned()
        } else {
            gap.faults.join("+")
        };
        kinds.entry(kind).or_default().push(gap.millis());
    }
    kinds
        .into_iter()
        .map(|(kind, values)| (kind, distribution(&values)))
        .collect()
}

/// Returns the distribution of values in milliseconds.
#[must_use]
pub fn distribution(values: &[u64]) -> Distribution {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return Distribution::default();
    };
    for value in values {
        histogram.saturating_record(*value);
    }
    Distribution {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        max: values.iter().copied().max().unwrap_or_default(),
    }
}

/// Time that the system gets to recover after the end of a fault, in microseconds.
pub const RECOVERY_US: u64 = 5_000_000;

/// Sets for each gap which faults were active and whether the guarantee covers it.
///
/// The guarantee covers one disruptive fault at a time, together with any number of other faults.
pub fn attribute(gaps: &mut [Gap], spans: &[Span]) {
    for gap in gaps {
        let active = spans
            .iter()
            .filter(|span| span.from_us <= gap.to_us && gap.from_us <= span.to_us + RECOVERY_US);
        let (mut disruptive, mut kinds) = (0, Vec::new());
        for span in active {
            disruptive += u32::from(span.kind.is_disruptive());
            kinds.push(span.kind.name().to_owned());
        }
        kinds.sort();
        kinds.dedup();
        gap.faults = kinds;
        gap.covered = disruptive <= 1;
    }
}
