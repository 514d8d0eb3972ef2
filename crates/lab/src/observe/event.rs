//! Reads the events of a host and extracts the moves of ownership.

use std::net::SocketAddr;

use serde::Deserialize;
use tarragon_timeline::event::{Event, Kind, Name};

use crate::client::Client;
use crate::error::Result;
use crate::trace::Move;

/// Read position in the events of one incarnation of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    incarnation: u64,
    next: u64,
}

#[derive(Deserialize)]
struct Page {
    next: u64,
    events: Vec<Event>,
}

impl Cursor {
    /// Resets the position when the host has a new incarnation.
    pub fn reset_on_restart(&mut self, incarnation: u64) {
        if self.incarnation != incarnation {
            *self = Self {
                incarnation,
                next: 0,
            };
        }
    }

    /// Reads the events since the previous read.
    ///
    /// # Errors
    ///
    /// Fails when the request fails or the response cannot be parsed.
    pub async fn read(&mut self, client: &Client, addr: SocketAddr) -> Result<Vec<Event>> {
        let path = format!("/events?after={}&wait_ms=0", self.next);
        let page: Page = client.json(addr, &path).await?;
        self.next = page.next;
        Ok(page.events)
    }
}

/// Returns the moves of key groups among the events; moves of single keys are left out.
#[must_use]
pub fn moves(events: &[Event]) -> Vec<Move> {
    events.iter().filter_map(parse_move).collect()
}

fn parse_move(event: &Event) -> Option<Move> {
    if event.kind != Kind::OwnerMoved || event.field(Name::Key).is_some() {
        return None;
    }
    let group = event.field(Name::Group).and_then(|text| text.parse().ok());
    Some(Move {
        shard: event.field(Name::Shard)?.to_owned(),
        to: event.field(Name::To)?.to_owned(),
        groups: group.map(|group| (group, group)),
    })
}
