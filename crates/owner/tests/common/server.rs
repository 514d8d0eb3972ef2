//! Simulated backend server that holds keys through grants and checks fencing tokens.

use std::time::Duration;

use tarragon_model::time::Instant;
use tarragon_owner::granter::Command;
use tarragon_owner::plan::Holder;

use super::KEYS;

/// Percentage by which the clock of every other server runs slow.
const SLOW_PERCENT: u32 = 2;

/// Simulated backend server.
pub struct Server {
    index: usize,
    /// Number of earlier servers at the same address.
    generation: u32,
    /// Start time of its current incarnation.
    pub start_ms: u64,
    /// When its current incarnation started.
    pub started: Instant,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Time until which it is unreachable.
    pub unreachable_until: Instant,
    /// Highest fencing token under which it accepted each key, over all incarnations.
    pub accepted: [u64; KEYS.len()],
    highest_fence: [u64; KEYS.len()],
    held: [Option<(u64, Instant)>; KEYS.len()],
    postponed: Vec<(Instant, Instant, Command)>,
}

impl Server {
    /// Creates a server that holds no keys.
    pub fn new(index: usize) -> Self {
        Self {
            index,
            generation: 0,
            start_ms: 1,
            started: Instant::ZERO,
            leaving: false,
            unreachable_until: Instant::ZERO,
            accepted: [0; KEYS.len()],
            highest_fence: [0; KEYS.len()],
            held: [None; KEYS.len()],
            postponed: Vec::new(),
        }
    }

    /// Returns its identifier.
    pub fn id(&self) -> String {
        format!("b{}.{}", self.index, self.generation)
    }

    /// Returns the identifiers of the servers that had its address before.
    pub fn former_ids(&self) -> Vec<String> {
        let earlier = 0..self.generation;
        earlier
            .map(|generation| format!("b{}.{generation}", self.index))
            .collect()
    }

    /// Replaces the server by a new one at the same address.
    pub fn replace(&mut self, now: Instant) {
        self.generation += 1;
        self.restart(now);
    }

    /// Returns its current incarnation.
    pub fn holder(&self) -> Holder {
        Holder {
            id: self.id(),
            start_ms: self.start_ms,
        }
    }

    /// Restarts the server, which loses all of its state.
    pub fn restart(&mut self, now: Instant) {
        self.start_ms = now.as_micros();
        self.started = now;
        self.highest_fence = [0; KEYS.len()];
        self.held = [None; KEYS.len()];
        self.postponed.clear();
    }

    /// Returns whether it holds a key.
    pub fn holds(&self, key: usize, now: Instant) -> bool {
        self.held[key].is_some_and(|(_, until)| now < until)
    }

    /// Returns whether it has seen no higher fencing token than the command's.
    pub fn accepts(&self, command: &Command) -> bool {
        keys(command).all(|key| self.highest_fence[key] <= command.fence)
    }

    /// Accepts a grant and returns whether a key is new to the server.
    pub fn grant(&mut self, command: &Command, until: Instant, now: Instant) -> bool {
        let slow = if self.index.is_multiple_of(2) {
            until.since(now) * SLOW_PERCENT / 100
        } else {
            Duration::ZERO
        };
        let mut first_time = false;
        for key in keys(command) {
            first_time |= self.accepted[key] < command.fence;
            self.highest_fence[key] = command.fence;
            self.accepted[key] = command.fence;
            if until > now {
                self.held[key] = Some((command.fence, until + slow));
            }
        }
        first_time
    }

    /// Gives up keys that it does not hold under a higher fencing token.
    pub fn release(&mut self, command: &Command) {
        for key in keys(command) {
            self.highest_fence[key] = self.highest_fence[key].max(command.fence);
            if self.held[key].is_some_and(|(fence, _)| fence <= command.fence) {
                self.held[key] = None;
            }
        }
    }

    /// Stores a command that is executed at `at`.
    pub fn postpone(&mut self, at: Instant, arrival: Instant, command: Command) {
        self.postponed.push((at, arrival, command));
    }

    /// Removes and returns the postponed commands that are due, with their arrival times.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Instant, Command)> {
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
