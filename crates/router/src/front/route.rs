//! Routes a request to the leader of its shard, with retries while the leader changes.

use std::time::Duration;

use tarragon_model::outcome::{Outcome, Reason};
use tokio::time::sleep;

use crate::backend::Client;
use crate::front::forward::{self, Forwarded};
use crate::front::leader;
use crate::front::parse::ParsedRequest;
use crate::front::response::CallerResponse;
use crate::shared::Shared;
use crate::view::Route;

/// Delay before the leader is looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(15);

/// Sends a request to the leader of its shard and retries until its deadline.
///
/// A retry is safe if the request provably did not run, if it is idempotent, or if it carries an
/// identifier: the leader's ledger, which its standbys replicate, prevents a request that was
/// dispatched from being dispatched again.
pub async fn to_leader(
    shared: &Shared,
    client: &Client,
    request: &ParsedRequest,
) -> CallerResponse {
    let mut response = CallerResponse::refused(Reason::NoLeader);
    let mut may_have_run = false;
    while shared.clock.monotonic() < request.deadline {
        let route = shared.view.borrow().routes.get(&request.shard).cloned();
        response = match route {
            Some(Route::Local) => leader::run(shared, client, request).await,
            Some(Route::Remote(addr)) => match forward::send(shared, client, request, addr).await {
                Forwarded::Responded(response) => response,
                Forwarded::NotSent => CallerResponse::refused(Reason::NoLeader),
                Forwarded::Broken => {
                    may_have_run = true;
                    CallerResponse::refused(Reason::NoLeader)
                }
            },
            None => CallerResponse::refused(Reason::NoLeader),
        };
        if !response.is_misrouted() {
            break;
        }
        sleep(RETRY_DELAY).await;
    }
    if may_have_run && response.outcome == Outcome::NotRun {
        response.outcome = Outcome::Unknown;
    }
    response
}
