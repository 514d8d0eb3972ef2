//! Reads the events of a host, and the moves among them.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use crate::client::Client;
use crate::error::Result;
use crate::trace::Move;

/// Kind of the events that state a move of ownership.
const OWNER_MOVED: &str = "owner-moved";

/// Position in the events of one host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    next: u64,
}

#[derive(Deserialize)]
struct Page {
    next: u64,
    events: Vec<Value>,
}

impl Cursor {
    /// Reads the events since the last read.
    ///
    /// A host that was replaced counts from the start again; so does the cursor.
    ///
    /// # Errors
    ///
    /// Fails when the host does not answer with events.
    pub async fn read(&mut self, client: &Client, addr: SocketAddr) -> Result<Vec<Value>> {
        let page: Page = client
            .json(addr, &format!("/events?after={}", self.next))
            .await?;
        let restarted = page.next < self.next;
        self.next = if restarted { 0 } else { page.next };
        Ok(page.events)
    }
}

/// Returns the moves of ownership among the events.
#[must_use]
pub fn moves(events: &[Value]) -> Vec<Move> {
    events.iter().filter_map(parse_move).collect()
}

fn parse_move(event: &Value) -> Option<Move> {
    if field(event, "kind")?.as_str()? != OWNER_MOVED {
        return None;
    }
    let text = |name| Some(field(event, name)?.as_str()?.to_owned());
    let group = |name| u32::try_from(field(event, name)?.as_u64()?).ok();
    let groups = group("group").map(|group| (group, group));
    Some(Move {
        shard: text("shard")?,
        to: text("to")?,
        groups: groups.or_else(|| Some((group("from_group")?, group("to_group")?))),
    })
}

/// Finds a field of the event or of its details.
fn field<'a>(event: &'a Value, name: &str) -> Option<&'a Value> {
    let details = || event.get("fields").or_else(|| event.get("detail"));
    event.get(name).or_else(|| details()?.get(name))
}
