//! Timeline of the events of all hosts.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::host::{self, Entry};
use tarragon_timeline::event::Event;
use tarragon_timeline::merge::{Filter, merge};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::host::Api;
use crate::host_list;

/// Maximum time that one poll waits for new events.
const POLL_WAIT: Duration = Duration::from_millis(500);

/// Buffers events until none of their causes can still arrive.
///
/// An effect may be read from one host before its cause is read from another. Each poll reads every
/// host, so it returns all causes of the previous poll's events that have not been read yet. An
/// event is therefore released one poll later, and only after all events with a smaller stamp.
#[derive(Debug, Default)]
pub struct ReorderBuffer {
    pending: Vec<Event>,
}

impl ReorderBuffer {
    /// Adds the events of one poll of all hosts and returns those whose order is final.
    #[must_use]
    pub fn push(&mut self, events: Vec<Event>) -> Vec<Event> {
        let oldest = events.iter().map(|event| event.stamp).min();
        let mut ready = std::mem::take(&mut self.pending);
        let split = ready.partition_point(|event| oldest.is_none_or(|new| event.stamp <= new));
        let blocked = ready.split_off(split);
        self.pending = merge(vec![blocked, events]);
        ready
    }

    /// Returns all events that are still buffered.
    #[must_use]
    pub fn finish(self) -> Vec<Event> {
        self.pending
    }
}

/// Polls several hosts for events.
pub struct Reader<'a> {
    api: &'a dyn Api,
    positions: HashMap<host::Id, u64>,
}

impl<'a> Reader<'a> {
    /// Creates a reader that starts at the oldest event of each host.
    #[must_use]
    pub fn new(api: &'a dyn Api) -> Self {
        Self {
            api,
            positions: HashMap::new(),
        }
    }

    /// Returns the next events of every host and logs the hosts that do not respond.
    pub async fn poll(&mut self, hosts: &[Entry], wait: Duration) -> Vec<Event> {
        let responses = host_list::call_all(hosts, |host| {
            let after = self.positions.get(&host.id).copied().unwrap_or(0);
            self.api.events(host.admin_addr, after, wait)
        })
        .await;
        let mut events = Vec::new();
        for (host, response) in responses {
            match response {
                Ok(response) => {
                    self.positions.insert(host.id.clone(), response.next);
                    events.extend(response.events);
                }
                Err(error) => log::warn!("event=call-failed host={} error=\"{error}\"", host.id),
            }
        }
        events
    }
}

/// Returns the events that the hosts hold now, or those that were read before the deadline.
pub async fn snapshot(
    api: &dyn Api,
    hosts: &[Entry],
    filter: &Filter,
    deadline: Instant,
) -> Vec<Event> {
    let mut reader = Reader::new(api);
    let mut events = Vec::new();
    while Instant::now() < deadline {
        let more = reader.poll(hosts, Duration::ZERO).await;
        if more.is_empty() {
            break;
        }
        events.extend(more);
    }
    let mut timeline = merge(vec![events]);
    timeline.retain(|event| filter.accepts(event));
    timeline
}

/// Passes events to `show` in causal order as they arrive, until cancelled or `show` fails.
///
/// # Errors
///
/// Returns the error of `show`.
pub async fn follow<E>(
    api: &dyn Api,
    hosts: &[Entry],
    filter: &Filter,
    cancel: &CancellationToken,
    mut show: impl FnMut(&Event) -> Result<(), E>,
) -> Result<(), E> {
    let mut reader = Reader::new(api);
    let mut buffer = ReorderBuffer::default();
    loop {
        let poll = cancel.run_until_cancelled(reader.poll(hosts, POLL_WAIT));
        let Some(events) = poll.await else { break };
        show_all(&buffer.push(events), filter, &mut show)?;
    }
    show_all(&buffer.finish(), filter, &mut show)
}

fn show_all<E>(
    events: &[Event],
    filter: &Filter,
    show: &mut impl FnMut(&Event) -> Result<(), E>,
) -> Result<(), E> {
    events
        .iter()
        .filter(|event| filter.accepts(event))
        .try_for_each(show)
}
