//! Cold backend servers as holders of keys.

use tarragon_dispatch::fleet::{Fleet, Server};
use tarragon_model::time::Instant;

/// Returns the servers that are warm, or all of them if none is.
///
/// Only one host may send to a cold server, so even a busy warm server serves more of the requests
/// for a key. Keys that a server holds when it turns cold move away for the same reason.
pub(super) fn warm_or_all<'a>(
    fleet: &Fleet,
    servers: impl Iterator<Item = &'a Server>,
    now: Instant,
) -> Vec<&'a Server> {
    let mut servers: Vec<&Server> = servers.collect();
    if servers.iter().any(|server| !fleet.is_cold(server, now)) {
        servers.retain(|server| !fleet.is_cold(server, now));
    }
    servers
}
