//! Samples taken during a run: statuses, assignments, events, record changes and connections.

pub mod event;
pub mod record;
pub mod socket;
pub mod state;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tarragon_timeline::event::Event;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::client::Client;
use crate::trace::{Assignment, Change, Connections, Status};

/// Interval between samples of a host.
const PERIOD: Duration = Duration::from_millis(300);

/// Samples of a run, shared by the tasks that collect them.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    inner: Arc<Mutex<Lists>>,
}

/// Samples by kind, guarded by [`Samples`].
#[derive(Debug, Default)]
pub struct Lists {
    /// Responses to `GET /status`.
    pub statuses: Vec<Status>,
    /// Owners reported by acting leaders; consecutive repeats for a shard are left out.
    pub assignments: Vec<Assignment>,
    /// Events of all hosts, in the order in which they were read.
    pub events: Vec<Event>,
    /// Changes of the shard records in the store.
    pub changes: Vec<Change>,
    /// Counts of open connections to the backend servers.
    pub connections: Vec<Connections>,
}

impl Samples {
    /// Locks the samples for reading or appending.
    pub fn lists(&self) -> MutexGuard<'_, Lists> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Samples a host periodically until cancelled.
    pub fn watch(&self, client: &Client, admin_addr: SocketAddr, stop: &CancellationToken) {
        let work = sample_host(client.clone(), admin_addr, self.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(work));
    }
}

async fn sample_host(client: Client, admin_addr: SocketAddr, samples: Samples) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut cursor = event::Cursor::default();
    loop {
        ticks.tick().await;
        if let Ok(status) = state::status(&client, admin_addr).await {
            cursor.reset_on_restart(status.incarnation);
            samples.lists().statuses.push(status);
        }
        if let Ok(assignments) = state::assignments(&client, admin_addr).await {
            let mut lists = samples.lists();
            for assignment in assignments {
                state::push_if_changed(&mut lists.assignments, assignment);
            }
        }
        if let Ok(events) = cursor.read(&client, admin_addr).await {
            samples.lists().events.extend(events);
        }
    }
}
