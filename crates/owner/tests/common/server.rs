//! Backend server that holds keys by grant and checks fence numbers.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::granter::Command;
use tarragon_owner::plan::Holder;

use super::KEYS;

/// Part by which the clock of every other server runs slow.
const SLOW_PERCENT: u32 = 2;

/// One backend server.
pub struct Server {
    index: usize,
    /// Start of its present life.
    pub start_ms: u64,
    /// When its present life started.
    pub started: Instant,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Until when nothing reaches it.
    pub cut_until: Instant,
    /// Highest fence number under which it took each key, over all of its lives.
    pub taken: [u64; KEYS.len()],
    seen: [u64; KEYS.len()],
    held: [Option<(u64, Instant)>; KEYS.len()],
    postponed: Vec<(Instant, Instant, Command)>,
}

impl Server {
    /// Creates a server that holds nothing.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            start_ms: 1,
            started: Instant::ZERO,
            leaving: false,
            cut_until: Instant::ZERO,
            taken: [0; KEYS.len()],
            seen: [0; KEYS.len()],
            held: [None; KEYS.len()],
            postponed: Vec::new(),
        }
    }

    /// Returns its identifier.
    pub fn id(&self) -> String {
        format!("b{}", self.index)
    }

    /// Returns its present life.
    pub fn holder(&self) -> Holder {
        Holder {
            id: self.id(),
            start_ms: self.start_ms,
        }
    }

    /// Starts anew: it holds and knows nothing.
    pub fn restart(&mut self, now: Instant) {
        self.start_ms = now.as_micros();
        self.started = now;
        self.seen = [0; KEYS.len()];
        self.held = [None; KEYS.len()];
        self.postponed.clear();
    }

    /// Tells whether it holds a key.
    pub fn holds(&self, key: usize, now: Instant) -> bool {
        self.held[key].is_some_and(|(_, until)| now < until)
    }

    /// Tells whether it has seen no higher fence number than the order's.
    pub fn accepts(&self, command: &Command) -> bool {
        keys(command).all(|key| self.seen[key] <= command.fence)
    }

    /// Takes a grant; returns whether a key is new to it.
    pub fn grant(&mut self, command: &Command, until: Instant, now: Instant) -> bool {
        let slow = if self.index.is_multiple_of(2) {
            until.since(now) * SLOW_PERCENT / 100
        } else {
            Duration::ZERO
        };
        let mut fresh = false;
        for key in keys(command) {
            fresh |= self.taken[key] < command.fence;
            self.seen[key] = command.fence;
            self.taken[key] = command.fence;
            if until > now {
                self.held[key] = Some((command.fence, until + slow));
            }
        }
        fresh
    }

    /// Gives keys back that it holds under no higher fence number.
    pub fn release(&mut self, command: &Command) {
        for key in keys(command) {
            self.seen[key] = self.seen[key].max(command.fence);
            if self.held[key].is_some_and(|(fence, _)| fence <= command.fence) {
                self.held[key] = None;
            }
        }
    }

    /// Keeps an order that is to be carried out later.
    pub fn postpone(&mut self, at: Instant, arrival: Instant, command: Command) {
        self.postponed.push((at, arrival, command));
    }

    /// Returns the postponed orders that are due, with the time of their arrival.
    pub fn due(&mut self, now: Instant) -> Vec<(Instant, Command)> {
        let all = std::mem::take(&mut self.postponed);
        let (due, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, ..)| *at <= now);
        self.postponed = rest;
        let due = due.into_iter();
        due.map(|(_, arrival, command)| (arrival, command))
            .collect()
    }
}

fn keys(command: &Command) -> impl Iterator<Item = usize> {
    let range = command.from..=command.to;
    (0..KEYS.len()).filter(move |key| range.contains(&KEYS[*key]))
}
