//! Sizes of a shard's owners.

use std::collections::BTreeMap;
use std::hint::black_box;

use tarragon_model::fence::Fence;
use tarragon_model::{backend, key};
use tarragon_node::persist::RecordBuilder;
use tarragon_node::state::State;
use tarragon_router::wire;

use super::Experiment;
use crate::capacity::fixture::{self, BACKENDS};
use crate::capacity::meter::{self, float};
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::error::Result;

const SIZES: [usize; 6] = [64, 1_024, 16_384, 65_536, 262_144, 1_048_576];
/// Keys with an owner of their own.
const KEYS: [usize; 5] = [10, 40, 160, 640, 2_560];
/// Key groups at the greatest size.
const GROUPS: f64 = 1_048_576.0;
/// Hot keys of the planned system.
const HOT: f64 = 160.0;

/// Sizes against key groups and against keys with owners of their own.
pub struct Owners;

impl Experiment for Owners {
    fn name(&self) -> &'static str {
        "owners"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let x = "key groups of a shard";
        let mut snapshot = Series::new("owners-snapshot", x, "snapshot, KB", GROUPS);
        let mut record = Series::new("owners-record", x, "record, KB, no runs", GROUPS);
        let mut write = Series::new("owners-write", x, "CPU ms an owners write", GROUPS);
        for groups in effort.sizes(&SIZES) {
            let state = state(*groups, 0);
            let size = float(*groups);
            snapshot.add(size, kilobytes(&state)?);
            record.add(size, record_kilobytes(&state)?);
            let cost = meter::repeat(effort.repeats(), || {
                meter::cost_ms(|| black_box(draft(&state.clone())))
            });
            write.add(size, cost);
        }
        let x = "keys with an owner of their own";
        let mut keys = Series::new("owners-hot-keys", x, "record, KB", HOT);
        for count in effort.sizes(&KEYS) {
            keys.add(float(*count), record_kilobytes(&state(0, *count))?);
        }
        Ok(vec![snapshot, record, write, keys])
    }
}

/// Returns a state in which no two neighbouring groups have one owner.
fn state(groups: usize, keys: usize) -> State {
    let backends = (0..BACKENDS).map(|index| backend::Id::new(&format!("backend-{index:06}")));
    let owner = |index: usize| fixture::narrow(index % BACKENDS);
    let overrides = (0..keys).map(|index| (key::Hash::of(&format!("key-{index}")), owner(index)));
    State {
        backends: backends.collect(),
        owners: (0..groups).map(owner).collect(),
        overrides: overrides.collect::<BTreeMap<_, _>>(),
        ..State::default()
    }
}

fn draft(state: &State) -> tarragon_model::record::Record {
    let draft = RecordBuilder {
        token: "h0-1".to_owned(),
        first_group: 0,
    };
    let trio = fixture::record([0, 1, 2]).replica_set;
    draft.build(Fence::new(1, 0), &trio, state)
}

fn kilobytes(state: &State) -> Result<f64> {
    let bytes = wire::encode(state).map_err(fixture::coding)?;
    Ok(float(bytes.len()) / 1e3)
}

fn record_kilobytes(state: &State) -> Result<f64> {
    let bytes = serde_json::to_vec(&draft(state)).map_err(fixture::coding)?;
    Ok(float(bytes.len()) / 1e3)
}
