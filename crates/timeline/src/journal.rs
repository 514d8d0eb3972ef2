//! Bounded journal of the latest events of one process.

use std::collections::VecDeque;

use tarragon_model::host;

use crate::event::{Draft, Event};
use crate::stamp::{Clock, Stamp};

/// Ring buffer of the latest events of one process.
#[derive(Clone, Debug)]
pub struct Journal {
    host: host::Id,
    clock: Clock,
    events: VecDeque<Event>,
    capacity: usize,
    next: u64,
}

impl Journal {
    /// Creates a journal of at most `capacity` events; zero counts as one.
    #[must_use]
    pub fn new(host: host::Id, capacity: usize) -> Self {
        Self {
            host,
            clock: Clock::new(),
            events: VecDeque::new(),
            capacity: capacity.max(1),
            next: 1,
        }
    }

    /// Stamps an event, appends it and returns it for logging.
    ///
    /// The oldest event is overwritten when the journal is full. `wall_us` is the wall clock in
    /// microseconds since the Unix epoch.
    pub fn push(&mut self, draft: Draft, wall_us: u64) -> Event {
        let event = Event {
            seq: self.next,
            stamp: self.clock.now(wall_us),
            host: self.host.clone(),
            kind: draft.kind,
            fields: draft.fields,
        };
        self.next += 1;
        if self.events.len() == self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event.clone());
        event
    }

    /// Returns a stamp for a message to another process.
    #[must_use = "a stamp that is not sent orders nothing"]
    pub fn stamp(&mut self, wall_us: u64) -> Stamp {
        self.clock.now(wall_us)
    }

    /// Advances the clock past the stamp of a message from another process.
    pub fn observe(&mut self, wall_us: u64, stamp: Stamp) {
        self.clock.observe(wall_us, stamp);
    }

    /// Returns at most `max` events after `seq`, and the `seq` for the next call.
    ///
    /// Overwritten events are left out and show as a gap in [`Event::seq`]. A `seq` beyond the
    /// latest event comes from an earlier incarnation of the host, so reading restarts at the
    /// beginning.
    ///
    /// ```
    /// use tarragon_timeline::event::{Draft, Kind};
    /// use tarragon_timeline::journal::Journal;
    ///
    /// let mut journal = Journal::new("h1".into(), 16);
    /// journal.push(Draft::new(Kind::StoreUnavailable), 1);
    /// journal.push(Draft::new(Kind::StoreAvailable), 2);
    /// let (events, next) = journal.after(0, 1);
    /// assert_eq!(events[0].kind, Kind::StoreUnavailable);
    /// assert_eq!(journal.after(next, 9).0[0].kind, Kind::StoreAvailable);
    /// ```
    #[must_use]
    pub fn after(&self, seq: u64, max: usize) -> (Vec<Event>, u64) {
        let seq = if seq > self.latest() { 0 } else { seq };
        let start = self.events.partition_point(|event| event.seq <= seq);
        let events: Vec<_> = self.events.range(start..).take(max).cloned().collect();
        let next = events.last().map_or(seq, |event| event.seq);
        (events, next)
    }

    /// Returns the `seq` of the latest event, or zero if there is none.
    #[must_use]
    pub fn latest(&self) -> u64 {
        self.next - 1
    }

    /// Returns the number of overwritten events.
    #[must_use]
    pub fn overwritten(&self) -> u64 {
        self.latest() - self.events.len() as u64
    }
}
