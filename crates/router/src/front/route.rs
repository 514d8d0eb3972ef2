//! Finding the leader of a request's shard, while leaders come and go.

use std::time::Duration;

use tarragon_model::outcome::{Outcome, Reason};
use tokio::time::sleep;

use crate::backend::Client;
use crate::front::forward::{self, Forwarded};
use crate::front::lead;
use crate::front::parse::Task;
use crate::front::reply::Answer;
use crate::shared::Shared;
use crate::view::Route;

/// Pause before the leader is looked up again.
const PAUSE: Duration = Duration::from_millis(15);

/// Brings a request to its leader, as often as its deadline allows.
///
/// A request is tried again when it provably did not run, when running it twice does no harm, or
/// when it carries an identifier: the leader's memory, which its standbys hold too, keeps a request
/// that was dispatched from being dispatched again.
pub async fn to_leader(shared: &Shared, client: &Client, task: &Task) -> Answer {
    let mut last = Answer::refuse(Reason::NoLeader);
    let mut maybe_run = false;
    while shared.clock.at() < task.deadline {
        let route = shared.view.borrow().routes.get(&task.shard).cloned();
        last = match route {
            Some(Route::Here) => lead::run(shared, client, task).await,
            Some(Route::There(addr)) => match forward::send(shared, client, task, addr).await {
                Forwarded::Answered(answer) => answer,
                Forwarded::NotSent => Answer::refuse(Reason::NoLeader),
                Forwarded::Broken => {
                    maybe_run = true;
                    Answer::refuse(Reason::NoLeader)
                }
            },
            None => Answer::refuse(Reason::NoLeader),
        };
        if !last.is_misrouted() {
            break;
        }
        sleep(PAUSE).await;
    }
    if maybe_run && last.outcome == Outcome::NotRun {
        last.outcome = Outcome::Unknown;
    }
    last
}
