//! Costs of snapshots and copies of the request ledger.

use std::hint::black_box;

use tarragon_lease::state::State as _;
use tarragon_ledger::ledger::{self, Entry};
use tarragon_node::state::{self, State};
use tarragon_router::wire;

use super::Experiment;
use crate::capacity::fixture::{self, EPOCH_MS};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of remembered request identifiers.
pub(super) const SIZES: [usize; 5] = [4_096, 16_384, 65_536, 131_072, 262_144];
/// Number of bits of an identifier below its timestamp.
const TIME_SHIFT: u32 = 80;
/// Version and variant bits of a version 7 UUID.
const UUID_V7_BITS: u128 = 0x7000_8000_0000_0000_0000;
/// Identifiers with the same millisecond in their timestamp.
const IDS_PER_MS: usize = 8;

/// Cost of a shard's state by number of remembered identifiers.
pub struct Ledger;

impl Experiment for Ledger {
    fn name(&self) -> &'static str {
        "ledger"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "remembered identifiers";
        let reference_size = as_f64(ledger::DEFAULT_CAPACITY);
        let mut snapshot = Series::new("ledger-snapshot", x, "snapshot, KB", reference_size);
        let mut clone = Series::new("ledger-clone", x, "State::clone, CPU ms", reference_size);
        for count in effort.sizes(&SIZES) {
            let state = state_with_requests(*count);
            let bytes = wire::encode(&state).map_err(fixture::codec_error)?;
            snapshot.add(as_f64(*count), as_f64(bytes.len()) / 1e3);
            let cost = meter::median_of(effort.repeats(), || {
                meter::cpu_ms(|| black_box(state.clone()))
            });
            clone.add(as_f64(*count), cost);
        }
        Ok(vec![snapshot, clone])
    }
}

/// Returns a shard state that remembers `count` finished requests.
pub(super) fn state_with_requests(count: usize) -> State {
    let mut state = State::default();
    for index in 0..count {
        let at = EPOCH_MS + (index / IDS_PER_MS) as u64;
        let id = (u128::from(at) << TIME_SHIFT) | UUID_V7_BITS | index as u128;
        let dispatched = Entry::Dispatched {
            id,
            fingerprint: index as u64,
            at,
        };
        state.apply(&state::Entry::Ledger(dispatched));
        let finished = Entry::Finished { id, status: 200 };
        state.apply(&state::Entry::Ledger(finished));
    }
    state
}
