//! Grants while the store goes away in the middle of the write of a plan.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::router::add_holder;
use common::store::{Mode, Store};
use common::{ALWAYS, keyed_state};
use tarragon_edge::granting::Grants;
use tarragon_edge::state::State;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

/// Returns the number of ranges that their holder has accepted.
fn held(state: &State) -> usize {
    let held = state.with_key_map("s", |known| {
        known.map.ranges.iter().filter(|range| range.held).count()
    });
    held.unwrap_or_default()
}

async fn run(applies: bool) {
    let state = Rc::new(keyed_state());
    let api = Rc::new(Store::new());
    let first = add_holder(&state, "a").await;
    let (completions, mut completed) = unbounded_channel();
    let mut grants = Grants::new(state.clone(), api.clone(), completions, 1, true);
    let mut step = async |grants: &mut Grants, time: Duration| {
        let end = tokio::time::Instant::now() + time;
        while tokio::time::Instant::now() < end {
            for (service, update) in grants.tick(true, ALWAYS, state.now()) {
                match update {
                    tarragon_edge::granting::Update::Map(map) => {
                        state.update_key_map(&service, map);
                    }
                    tarragon_edge::granting::Update::Patch(patch) => {
                        assert!(state.patch_key_map(&service, &patch));
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
            while let Ok(completion) = completed.try_recv() {
                grants.on_completion(completion);
            }
        }
    };
    step(&mut grants, Duration::from_secs(2)).await;
    assert!(held(&state) > 0, "the first server holds the keys");
    // A second server joins, so a plan is due, and its write gets no response.
    api.set_mode(Mode::Away { applies });
    let second = add_holder(&state, "b").await;
    step(&mut grants, Duration::from_secs(2)).await;
    let before = first.get();
    step(&mut grants, Duration::from_secs(3)).await;
    assert!(first.get() >= before + 2, "renewals go on");
    assert_eq!(second.get(), 0, "nothing moves without the store");
    api.set_mode(Mode::Serves);
    step(&mut grants, Duration::from_secs(4)).await;
    assert!(second.get() > 0, "keys move once the store is back");
    assert!(held(&state) > 1);
}

macro_rules! keeps_renewing {
    ($name:ident, $applies:literal) => {
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(run($applies)).await;
        }
    };
}

keeps_renewing!(a_write_without_a_response_that_took_effect, true);
keeps_renewing!(a_write_without_a_response_that_took_no_effect, false);
