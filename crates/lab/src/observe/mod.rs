//! Samples that are taken while a run goes on: status, assignments, events, connections.

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

/// Time between two samples of a host.
const PERIOD: Duration = Duration::from_millis(300);

/// All samples of a run.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    inner: Arc<Mutex<Lists>>,
}

/// The lists behind [`Samples`].
#[derive(Debug, Default)]
pub struct Lists {
    /// Answers to `GET /status`.
    pub statuses: Vec<Status>,
    /// Owners that acting leaders stated; repeated answers are left out.
    pub assignments: Vec<Assignment>,
    /// Events of all hosts, in the order in which they were read.
    pub events: Vec<Event>,
    /// Changes of the shards' records in the store.
    pub changes: Vec<Change>,
    /// Connections of the backend servers.
    pub connections: Vec<Connections>,
}

impl Samples {
    /// Locks the lists.
    pub fn lists(&self) -> MutexGuard<'_, Lists> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Samples a host until cancelled.
    pub fn watch(&self, client: &Client, admin_addr: SocketAddr, stop: &CancellationToken) {
        let host = watch(client.clone(), admin_addr, self.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(host));
    }
}

async fn watch(client: Client, admin_addr: SocketAddr, samples: Samples) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut cursor = event::Cursor::default();
    loop {
        ticks.tick().await;
        if let Ok(status) = state::status(&client, admin_addr).await {
            cursor.follow(status.incarnation);
            samples.lists().statuses.push(status);
        }
        if let Ok(assignments) = state::assignments(&client, admin_addr).await {
            let mut lists = samples.lists();
            for assignment in assignments {
                state::push(&mut lists.assignments, assignment);
            }
        }
        if let Ok(events) = cursor.read(&client, admin_addr).await {
            samples.lists().events.extend(events);
        }
    }
}
