//! What a granter may do in a term: after an earlier one of its own, and after a pause.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::router::add_holder;
use common::store::Store;
use common::{ALWAYS, keyed_state};
use tarragon_edge::granting::Grants;
use tarragon_edge::state::State;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Ticks until the next completion.
async fn next<T>(state: &State, grants: &mut Grants, completed: &mut UnboundedReceiver<T>) -> T {
    let completion = async {
        loop {
            let _ = grants.tick(true, ALWAYS, state.now());
            sleep(Duration::from_millis(10)).await;
            if let Ok(completion) = completed.try_recv() {
                return completion;
            }
        }
    };
    let completion = timeout(Duration::from_secs(3), completion).await;
    completion.expect("a completion")
}

/// Delivers the response to a call about the plan, a read or a write, in the term after.
async fn response_in_the_next_term(is_read: bool) {
    let state = Rc::new(keyed_state());
    let store = Rc::new(Store::new());
    add_holder(&state, "a").await;
    let (completions, mut completed) = unbounded_channel();
    let start = |term| {
        let (state, store, completions) = (state.clone(), store.clone(), completions.clone());
        Grants::new(state, store, completions, term, false)
    };
    let mut grants = start(1);
    let no_plan = next(&state, &mut grants, &mut completed).await;
    grants.on_completion(no_plan);
    let mut response = next(&state, &mut grants, &mut completed).await;
    if is_read {
        grants = start(2);
        response = next(&state, &mut grants, &mut completed).await;
    }
    grants = start(3);
    assert!(grants.tick(true, ALWAYS, state.now()).is_empty());
    grants.on_completion(response);
    let acts = !grants.tick(true, ALWAYS, state.now()).is_empty();
    assert!(!acts, "the plan may have been replaced since");
    let own = next(&state, &mut grants, &mut completed).await;
    grants.on_completion(own);
    assert!(
        !grants.tick(true, ALWAYS, state.now()).is_empty(),
        "it acts on the plan it read"
    );
}

macro_rules! earlier_term {
    ($($name:ident: $is_read:literal;)*) => {$(
        /// Guards against grants under a plan that another granter has replaced since.
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(response_in_the_next_term($is_read)).await;
        }
    )*};
}

earlier_term! {
    a_plan_that_an_earlier_term_read_is_read_again: true;
    a_plan_that_an_earlier_term_wrote_is_read_again: false;
}

/// Guards against grants of a process that stood still after it had found its term confirmed.
#[tokio::test]
async fn a_tick_that_is_held_up_sends_no_grant() {
    let test = async {
        let state = Rc::new(keyed_state());
        let commands = add_holder(&state, "a").await;
        let (completions, mut completed) = unbounded_channel();
        let store = Rc::new(Store::new());
        let mut grants = Grants::new(state.clone(), store, completions, 1, true);
        for _ in 0..2 {
            let response = next(&state, &mut grants, &mut completed).await;
            grants.on_completion(response);
        }
        let now = state.now();
        std::thread::sleep(Duration::from_millis(200));
        let _ = grants.tick(true, ALWAYS, now);
        sleep(Duration::from_millis(200)).await;
        assert_eq!(commands.get(), 0, "another host may be granter by then");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against grants of a superseded granter under a plan of its successor, which counts on
/// knowing all of them.
#[tokio::test]
async fn a_plan_of_a_later_term_is_not_acted_on() {
    let test = async {
        let state = Rc::new(keyed_state());
        let commands = add_holder(&state, "a").await;
        let (completions, mut completed) = unbounded_channel();
        let store = Rc::new(Store::new());
        let start = |term| {
            let (state, store, completions) = (state.clone(), store.clone(), completions.clone());
            Grants::new(state, store, completions, term, false)
        };
        let mut successor = start(2);
        for _ in 0..2 {
            let response = next(&state, &mut successor, &mut completed).await;
            successor.on_completion(response);
        }
        let mut superseded = start(1);
        let read = next(&state, &mut superseded, &mut completed).await;
        superseded.on_completion(read);
        for _ in 0..10 {
            assert!(superseded.tick(true, ALWAYS, state.now()).is_empty());
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(commands.get(), 0, "only the successor acts on its plan");
    };
    LocalSet::new().run_until(test).await;
}
