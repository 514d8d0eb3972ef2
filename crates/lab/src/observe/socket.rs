//! Counts the open connections of each backend server from the kernel's socket table.

use std::collections::HashMap;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::Samples;
use crate::clock;
use crate::trace::Connections;

/// Kernel's table of TCP sockets over IPv4.
const TABLE_PATH: &str = "/proc/net/tcp";
/// Code of an established connection in the state column of the table.
const ESTABLISHED: &str = "01";
/// Interval between samples.
const PERIOD: Duration = Duration::from_millis(500);

/// Backend server and the port that it listens on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Listening port.
    pub port: u16,
    /// Name of the service that the backend server belongs to.
    pub service: String,
    /// Identifier of the backend server.
    pub backend: String,
}

/// Samples the connections of all backend servers periodically until cancelled.
pub fn watch(listeners: Vec<Listener>, samples: Samples, stop: &CancellationToken) {
    let work = async move {
        let mut ticks = tokio::time::interval(PERIOD);
        loop {
            ticks.tick().await;
            let Ok(table) = tokio::fs::read_to_string(TABLE_PATH).await else {
                continue;
            };
            let counts = count_established(&table);
            let found = sample(&listeners, &counts);
            samples.lists().connections.extend(found);
        }
    };
    tokio::spawn(stop.clone().run_until_cancelled_owned(work));
}

fn sample(listeners: &[Listener], counts: &HashMap<u16, u32>) -> Vec<Connections> {
    let at_us = clock::now_us();
    let samples = listeners.iter().filter_map(|listener| {
        Some(Connections {
            at_us,
            service: listener.service.clone(),
            backend: listener.backend.clone(),
            count: *counts.get(&listener.port)?,
        })
    });
    samples.collect()
}

/// Counts the established connections of a socket table by local port.
#[must_use]
pub fn count_established(table: &str) -> HashMap<u16, u32> {
    let mut counts = HashMap::new();
    for line in table.lines().skip(1) {
        let mut columns = line.split_whitespace().skip(1);
        let local = columns.next().and_then(|addr| addr.rsplit_once(':'));
        let state = columns.nth(1);
        let port = local.and_then(|(_, port)| u16::from_str_radix(port, 16).ok());
        if let (Some(port), Some(ESTABLISHED)) = (port, state) {
            *counts.entry(port).or_default() += 1;
        }
    }
    counts
}
