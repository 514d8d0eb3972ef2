//! Plans whose write is answered when another host may have been elected.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::keyed_state;
use common::router::add_holder;
use common::store::{Mode, Store};
use tarragon_edge::granting::Grants;
use tarragon_model::time::Instant;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Lets a plan that moves keys be written while the store does not confirm the term. If it is
/// `answered`, the store tells so in response to the write, otherwise to a later read.
async fn write_unconfirmed(answered: bool) {
    let state = Rc::new(keyed_state());
    let store = Rc::new(Store::new());
    let first = add_holder(&state, "a").await;
    let (completions, mut completed) = unbounded_channel();
    let mut grants = Grants::new(state.clone(), store.clone(), completions, 1, true);
    let mut step = async |exclusive_until: Instant, time: Duration| {
        let end = state.now() + time;
        while state.now() < end {
            let _ = grants.tick(true, exclusive_until, state.now());
            sleep(Duration::from_millis(20)).await;
            while let Ok(completion) = completed.try_recv() {
                grants.on_completion(completion);
            }
        }
    };
    step(state.now(), Duration::from_millis(2_500)).await;
    assert!(first.get() > 0, "the first plan is in force");

    let confirmed_until = state.now();
    let second = add_holder(&state, "b").await;
    if !answered {
        store.set_mode(Mode::Away { applies: true });
        step(confirmed_until, Duration::from_secs(2)).await;
        store.set_mode(Mode::Serves);
    }
    let renewals = first.get();
    step(confirmed_until, Duration::from_secs(3)).await;
    assert_eq!(
        second.get(),
        0,
        "another host may renew the first holder's grants"
    );
    assert!(first.get() >= renewals + 2, "renewals go on");

    step(state.now(), Duration::from_secs(3)).await;
    assert!(
        second.get() > 0,
        "keys move once the store confirms the term"
    );
}

macro_rules! unconfirmed_write {
    ($($name:ident: $answered:literal;)*) => {$(
        /// Guards against a move of keys by a superseded granter whose plan is written late.
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(write_unconfirmed($answered)).await;
        }
    )*};
}

unconfirmed_write! {
    a_plan_that_is_written_late_moves_nothing_until_the_term_is_confirmed: true;
    a_plan_that_is_found_written_late_moves_nothing_until_the_term_is_confirmed: false;
}
