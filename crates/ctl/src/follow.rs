//! The time line of events over all hosts.

use std::collections::HashMap;
use std::time::Duration;

use tarragon_model::host::{self, Entry};
use tarragon_timeline::event::Event;
use tarragon_timeline::merge::{Filter, merge};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::host::Api;
use crate::list;

/// Longest time that one round waits for new events.
const ROUND_WAIT: Duration = Duration::from_millis(500);

/// Holds events back until no cause of theirs can still arrive.
///
/// An effect can be read from one host before its cause is read from another. The next round asks
/// every host again, so it brings all causes of what the round before it has brought. An event is
/// therefore shown one round later, and only after everything with a smaller stamp.
#[derive(Debug, Default)]
pub struct Sorter {
    held: Vec<Event>,
}

impl Sorter {
    /// Takes the events of one round over all hosts and returns those whose order is settled.
    #[must_use]
    pub fn round(&mut self, events: Vec<Event>) -> Vec<Event> {
        let oldest = events.iter().map(|event| event.stamp).min();
        let mut settled = std::mem::take(&mut self.held);
        let split = settled.partition_point(|event| oldest.is_none_or(|new| event.stamp <= new));
        let blocked = settled.split_off(split);
        self.held = merge(vec![blocked, events]);
        settled
    }

    /// Returns all events that are still held back.
    #[must_use]
    pub fn finish(self) -> Vec<Event> {
        self.held
    }
}

/// Reads the events of several hosts, round by round.
pub struct Reader<'a> {
    api: &'a dyn Api,
    positions: HashMap<host::Id, u64>,
}

impl<'a> Reader<'a> {
    /// Creates a reader that begins with the oldest event of each host.
    #[must_use]
    pub fn new(api: &'a dyn Api) -> Self {
        Self {
            api,
            positions: HashMap::new(),
        }
    }

    /// Returns the next events of every host and notes the hosts that do not answer in the log.
    pub async fn round(&mut self, hosts: &[Entry], wait: Duration) -> Vec<Event> {
        let answers = list::ask(hosts, |host| {
            let after = self.positions.get(&host.id).copied().unwrap_or(0);
            self.api.events(host.admin_addr, after, wait)
        })
        .await;
        let mut events = Vec::new();
        for (host, answer) in answers {
            match answer {
                Ok(answer) => {
                    self.positions.insert(host.id.clone(), answer.next);
                    events.extend(answer.events);
                }
                Err(error) => log::warn!("event=host-silent host={} error=\"{error}\"", host.id),
            }
        }
        events
    }
}

/// Returns the events that the hosts hold now, or those read until the time is up.
pub async fn snapshot(
    api: &dyn Api,
    hosts: &[Entry],
    filter: &Filter,
    until: Instant,
) -> Vec<Event> {
    let mut reader = Reader::new(api);
    let mut events = Vec::new();
    while Instant::now() < until {
        let more = reader.round(hosts, Duration::ZERO).await;
        if more.is_empty() {
            break;
        }
        events.extend(more);
    }
    let mut line = merge(vec![events]);
    line.retain(|event| filter.accepts(event));
    line
}

/// Hands on events as they come until cancelled or `show` fails.
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
    let mut sorter = Sorter::default();
    loop {
        let round = cancel.run_until_cancelled(reader.round(hosts, ROUND_WAIT));
        let Some(events) = round.await else { break };
        show_all(&sorter.round(events), filter, &mut show)?;
    }
    show_all(&sorter.finish(), filter, &mut show)
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
