//! Room at a backend server for one more request of this host.

use std::cell::RefCell;
use std::time::Duration;

use tarragon_dispatch::fleet::Load;
use tarragon_dispatch::inflight::{InFlight, Target, Withheld};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{CONNECTION_WAIT, CallerRequest};
use crate::state::State;

/// Time for which a request waits for a place at a server that resets connections when it is full,
/// before a backend server is selected again. The other servers may have one.
const PLACE_WAIT: Duration = Duration::from_millis(50);

/// What this host has under way at the backend servers.
#[derive(Default)]
pub struct Room {
    under_way: RefCell<InFlight>,
    changed: Notify,
}

/// Bytes of one request under way, until dropped.
pub(super) struct Held<'a> {
    room: &'a Room,
    id: &'a str,
    bytes: usize,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.room.under_way.borrow_mut().end(self.id, self.bytes);
        self.room.changed.notify_waiters();
    }
}

/// Calls `act` with a backend server as this host estimates it; `None` if it is not known.
fn with_target<T>(state: &State, id: &str, act: impl FnOnce(Target<'_>) -> T) -> Option<T> {
    let fleet = state.fleet.borrow();
    let server = fleet.get(id)?;
    Some(act(Target {
        id,
        service: &server.entry.service,
        load: server.load(state.now()),
        slots: server.entry.slots,
    }))
}

/// Waits a short time for room at a backend server.
pub(super) async fn enter<'a>(
    state: &'a State,
    request: &CallerRequest,
    id: &'a str,
    deadline: Instant,
) -> Result<Held<'a>, Withheld> {
    let room = &state.room;
    let (bytes, once) = (request.body.len(), !request.retryable);
    let began = Instant::now();
    loop {
        let changed = room.changed.notified();
        let hosts = state.host_count.get();
        let checked = with_target(state, id, |server| {
            let under_way = room.under_way.borrow();
            under_way.check(server, bytes, once, hosts, state.now())
        });
        match checked.unwrap_or(Ok(())) {
            Ok(()) => {
                room.under_way.borrow_mut().begin(id, bytes);
                return Ok(Held { room, id, bytes });
            }
            Err(withheld) => {
                let wait = match withheld {
                    Withheld::Bytes => CONNECTION_WAIT,
                    Withheld::Full => PLACE_WAIT,
                };
                let end = deadline.min(began + wait);
                if tokio::time::timeout_at(end, changed).await.is_err() {
                    state.metrics.count_withheld(withheld.name());
                    log::debug!("event=send-withheld server={id} cause={}", withheld.name());
                    return Err(withheld);
                }
            }
        }
    }
}

/// Notes that a backend server said that it did not run a request, with the load that it reported.
pub(super) fn note_declined(state: &State, id: &str, load: Option<Load>) {
    let Some(load) = load else {
        return;
    };
    with_target(state, id, |server| {
        let reported = Target {
            load: f64::from(load.running + load.waiting),
            ..server
        };
        let mut under_way = state.room.under_way.borrow_mut();
        under_way.record_declined(reported, state.now());
    });
}

/// Notes that a backend server ended the connection of a request without a response.
pub(super) fn note_lost(state: &State, id: &str) {
    let first = with_target(state, id, |server| {
        let now = state.now();
        let first = state.room.under_way.borrow_mut().record_lost(server, now);
        first.then(|| (server.service.to_owned(), server.load, server.slots))
    });
    if let Some(Some((service, load, slots))) = first {
        log::warn!(
            "event=full-server-resets service={service} server={id} load={load:.1} slots={slots}"
        );
    }
}
