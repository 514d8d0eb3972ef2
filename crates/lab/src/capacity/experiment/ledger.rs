//! Snapshots and copies of remembered identifiers.

use std::hint::black_box;

use tarragon_lease::state::State as _;
use tarragon_ledger::ledger::{self, Entry};
use tarragon_node::state::{self, State};
use tarragon_router::wire;

use super::Experiment;
use crate::capacity::fixture::{self, EPOCH_MS};
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Remembered identifiers.
pub(super) const SIZES: [usize; 5] = [4_096, 16_384, 65_536, 131_072, 262_144];
/// Bits of an identifier behind its time.
const TIME_SHIFT: u32 = 80;
/// Version and variant of a UUID of version 7.
const MARKS: u128 = 0x7000_8000_0000_0000_0000;
/// Identifiers of one millisecond.
const PER_MS: usize = 8;

/// Cost of a shard's state against remembered identifiers.
pub struct Ledger;

impl Experiment for Ledger {
    fn name(&self) -> &'static str {
        "ledger"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "remembered identifiers";
        let target = float(ledger::DEFAULT_CAPACITY);
        let mut snapshot = Series::new("ledger-snapshot", x, "snapshot, KB", target);
        let mut clone = Series::new("ledger-clone", x, "State::clone, CPU ms", target);
        for count in effort.sizes(&SIZES) {
            let state = remembering(*count);
            let bytes = wire::encode(&state).map_err(fixture::coding)?;
            snapshot.add(float(*count), float(bytes.len()) / 1e3);
            let cost = meter::repeat(effort.repeats(), || {
                meter::cost_ms(|| black_box(state.clone()))
            });
            clone.add(float(*count), cost);
        }
        Ok(vec![snapshot, clone])
    }
}

/// Returns a state that remembers answered identifiers.
pub(super) fn remembering(count: usize) -> State {
    let mut state = State::default();
    for index in 0..count {
        let at = EPOCH_MS + (index / PER_MS) as u64;
        let id = (u128::from(at) << TIME_SHIFT) | MARKS | index as u128;
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
