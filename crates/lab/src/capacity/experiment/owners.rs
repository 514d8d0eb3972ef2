//! Size and write cost of the owners of a shard's key groups and keys.

use std::collections::BTreeMap;
use std::hint::black_box;

use tarragon_model::fence::Fence;
use tarragon_model::{backend, key};
use tarragon_node::persist::RecordBuilder;
use tarragon_node::state::State;
use tarragon_router::wire;

use super::Experiment;
use crate::capacity::fixture::{self, BACKENDS};
use crate::capacity::meter::{self, as_f64};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

/// Numbers of key groups of a shard.
const SIZES: [usize; 6] = [64, 1_024, 16_384, 65_536, 262_144, 1_048_576];
/// Numbers of keys with an owner of their own.
const KEYS: [usize; 5] = [10, 40, 160, 640, 2_560];
/// Key groups at the largest size.
const LARGEST_GROUPS: f64 = 1_048_576.0;
/// Hot keys of the planned system.
const PLANNED_HOT_KEYS: f64 = 160.0;

/// Cost by number of key groups and by number of keys with an owner of their own.
pub struct Owners;

impl Experiment for Owners {
    fn name(&self) -> &'static str {
        "owners"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "key groups of a shard";
        let mut snapshot = Series::new("owners-snapshot", x, "snapshot, KB", LARGEST_GROUPS);
        let mut record = Series::new("owners-record", x, "record, KB, no runs", LARGEST_GROUPS);
        let mut write = Series::new("owners-write", x, "CPU ms an owners write", LARGEST_GROUPS);
        for groups in effort.sizes(&SIZES) {
            let state = state(*groups, 0);
            let size = as_f64(*groups);
            snapshot.add(size, snapshot_kilobytes(&state)?);
            record.add(size, record_kilobytes(&state)?);
            let cost = meter::median_of(effort.repeats(), || {
                meter::cpu_ms(|| black_box(build_record(&state.clone())))
            });
            write.add(size, cost);
        }
        let x = "keys with an owner of their own";
        let mut keys = Series::new("owners-hot-keys", x, "record, KB", PLANNED_HOT_KEYS);
        for count in effort.sizes(&KEYS) {
            keys.add(as_f64(*count), record_kilobytes(&state(0, *count))?);
        }
        Ok(vec![snapshot, record, write, keys])
    }
}

/// Returns a state in which adjacent groups have different owners, so that the record cannot merge
/// them into runs.
fn state(groups: usize, keys: usize) -> State {
    let backends = (0..BACKENDS).map(|index| backend::Id::new(&format!("backend-{index:06}")));
    let owner = |index: usize| fixture::to_u16(index % BACKENDS);
    let overrides = (0..keys).map(|index| (key::Hash::of(&format!("key-{index}")), owner(index)));
    State {
        backends: backends.collect(),
        owners: (0..groups).map(owner).collect(),
        overrides: overrides.collect::<BTreeMap<_, _>>(),
        ..State::default()
    }
}

fn build_record(state: &State) -> tarragon_model::record::Record {
    let builder = RecordBuilder {
        token: "h0-1".to_owned(),
        first_group: 0,
    };
    let replica_set = fixture::record([0, 1, 2]).replica_set;
    builder.build(Fence::new(1, 0), &replica_set, state)
}

/// Returns the size of a snapshot of the state, in kilobytes.
fn snapshot_kilobytes(state: &State) -> Result<f64> {
    let bytes = wire::encode(state).map_err(fixture::codec_error)?;
    Ok(as_f64(bytes.len()) / 1e3)
}

/// Returns the size of the record of the state, in kilobytes.
fn record_kilobytes(state: &State) -> Result<f64> {
    let bytes = serde_json::to_vec(&build_record(state)).map_err(fixture::codec_error)?;
    Ok(as_f64(bytes.len()) / 1e3)
}
