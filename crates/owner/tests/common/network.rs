//! Sending of commands, and what the network and the servers do with them.

use std::time::Duration;

use rand::RngExt;
use tarragon_model::time::Instant;
use tarragon_owner::granter::{Action, Command, CommandOutcome, Timing};

use super::{
    Event, Fault, GRANT_DURATION, KEYS, MAX_CONFIRMATION_AGE, Process, RELEASE_TIMEOUT,
    SEND_WINDOW, STEP, Sent, Simulation, Unwritten,
};

impl Simulation {
    /// Sends a command, unless its host is no longer the granter or the command is late.
    pub(super) fn send(&mut self, process: Process, due_at: Instant, command: Command) {
        let now = self.now;
        let (host, incarnation) = process;
        let same_process = self.hosts[host].incarnation == incarnation;
        if !same_process {
            return;
        }
        let frozen = self.hosts[host].frozen_until.since(now);
        if !frozen.is_zero() {
            self.push(frozen, Event::Send(process, due_at, command));
            return;
        }
        let timing = Timing::with_grant_duration(GRANT_DURATION);
        let may_send = self.hosts[host]
            .granter_state
            .as_ref()
            .is_some_and(|granter_state| {
                now.since(granter_state.confirmed) < MAX_CONFIRMATION_AGE
                    && now.since(granter_state.ticked) <= SEND_WINDOW
            });
        let grant = command.action == Action::Grant;
        if grant && (!may_send || now.since(due_at) > timing.max_send_delay) {
            self.report(process, command, (due_at, None), CommandOutcome::NotSent);
            return;
        }
        let term = self.hosts[host]
            .granter_state
            .as_ref()
            .map(|state| state.term);
        let unwritten = Unwritten {
            process,
            term: term.unwrap_or_default(),
            times: (due_at, now),
            command,
        };
        if self.is_slow(host) {
            let delay = Duration::from_millis(self.rng.random_range(0..3_000));
            self.push(delay, Event::Write(unwritten));
        } else {
            self.write(unwritten);
        }
    }

    /// Writes the command of a slow host, unless the host has lost its term.
    pub(super) fn write_late(&mut self, unwritten: Unwritten) {
        let now = self.now;
        let (host, incarnation) = unwritten.process;
        if self.hosts[host].incarnation != incarnation {
            return;
        }
        let elected = self.hosts[host]
            .granter_state
            .as_ref()
            .is_some_and(|state| {
                state.term == unwritten.term
                    && now.since(state.confirmed) < MAX_CONFIRMATION_AGE
                    && now.since(state.ticked) <= SEND_WINDOW
            });
        if elected && now >= self.hosts[host].frozen_until {
            self.write(unwritten);
        } else {
            let Unwritten {
                process,
                times: (due_at, _),
                command,
                ..
            } = unwritten;
            self.report(process, command, (due_at, None), CommandOutcome::NotSent);
        }
    }

    /// Reports the outcome of a command to the granter; a slow host does so late, with the time of
    /// the report.
    pub(super) fn report(
        &mut self,
        process: Process,
        command: Command,
        (due_at, sent_at): (Instant, Option<Instant>),
        outcome: CommandOutcome,
    ) {
        let mut delay = STEP;
        let mut sent_at = sent_at;
        if self.is_slow(process.0) {
            delay = Duration::from_millis(self.rng.random_range(50..4_000));
            sent_at = sent_at.map(|_| self.now + delay);
        }
        self.push(
            delay,
            Event::Outcome(process, command, due_at, sent_at, outcome),
        );
    }

    fn write(&mut self, unwritten: Unwritten) {
        let now = self.now;
        let timing = Timing::with_grant_duration(GRANT_DURATION);
        let Unwritten {
            process,
            times: (due_at, connected),
            command,
            ..
        } = unwritten;
        let grant = command.action == Action::Grant;
        self.count += 1;
        let sent = Sent {
            number: self.count,
            process,
            times: (due_at, now),
            connected,
            command,
        };
        self.open.insert(sent.number);
        // Copies arrive independently of each other, and after commands that were sent later.
        let copies = if self.rng.random_bool(0.1) { 2 } else { 1 };
        let mut first = None;
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.2);
            let range = if slow { 400..945 } else { 10..80 };
            let latency = self.rng.random_range(range);
            let mut latency = Duration::from_millis(latency);
            if self.copies.is_some() {
                // A second copy arrives within the transit time of the response to the first one.
                let first = *first.get_or_insert(latency);
                latency = latency.clamp(
                    first.saturating_sub(timing.max_transit),
                    first + timing.max_transit,
                );
            }
            self.push(latency, Event::Arrive(sent.clone()));
        }
        let timeout = if grant {
            timing.response_timeout
        } else {
            RELEASE_TIMEOUT
        };
        self.push(timeout, Event::GiveUp(sent));
    }

    /// Closes the connection of a command that got no response.
    ///
    /// The kernel does so even while the host is frozen. The host notices when it runs again.
    pub(super) fn give_up(&mut self, sent: Sent) {
        if !self.open.contains(&sent.number) {
            return;
        }
        if self.fault != Fault::KeepUnsent {
            self.open.remove(&sent.number);
        }
        let (host, _) = sent.process;
        if self.is_slow(host) {
            let times = (sent.times.0, Some(self.now));
            self.report(sent.process, sent.command, times, CommandOutcome::Unknown);
            return;
        }
        let frozen = self.hosts[host].frozen_until.since(self.now);
        let noticed = self.now + frozen;
        let outcome = Event::Outcome(
            sent.process,
            sent.command,
            sent.times.0,
            Some(noticed),
            CommandOutcome::Unknown,
        );
        self.push(frozen, outcome);
    }

    /// Delivers a command to its server, which executes it now or later and may respond.
    ///
    /// A command that cannot arrive stays queued at its sender while the connection is open. One
    /// that left the host before the connection was closed still arrives for a limited time.
    pub(super) fn deliver(&mut self, sent: Sent) {
        let now = self.now;
        let timing = Timing::with_grant_duration(GRANT_DURATION);
        let Sent {
            number,
            process,
            times: (due_at, sent_at),
            connected,
            command,
        } = sent.clone();
        let index = self
            .servers
            .iter()
            .position(|server| server.id() == command.server.id);
        let Some(index) = index else { return };
        let open = self.open.contains(&number);
        if now < self.servers[index].unreachable_until {
            if open {
                let retransmission = Duration::from_millis(self.rng.random_range(20..300));
                self.push(retransmission, Event::Arrive(sent));
            }
            return;
        }
        let in_transit = now.since(sent_at) <= timing.response_timeout + timing.max_transit;
        // A connection breaks when its server restarts, so only commands sent later reach the new
        // process.
        let broken = self.servers[index].started > connected;
        if broken || !(open || in_transit) {
            return;
        }
        let delayed = now < self.delays_until && self.rng.random_bool(0.4);
        let arrival = now;
        if delayed {
            let delay = Duration::from_millis(self.rng.random_range(2_000..12_000));
            self.servers[index].postpone(now + delay, arrival, command);
            return;
        }
        let (accepted, outcome) = self.execute(index, arrival, &command);
        self.granted += u64::from(accepted);
        let responds = self.rng.random_bool(0.97);
        if responds && self.open.remove(&number) {
            self.report(process, command, (due_at, Some(sent_at)), outcome);
        }
    }

    pub(super) fn execute(
        &mut self,
        index: usize,
        arrival: Instant,
        command: &Command,
    ) -> (bool, CommandOutcome) {
        let now = self.now;
        let others: Vec<u64> = (0..KEYS.len())
            .map(|key| {
                let others = self.servers.iter().enumerate();
                let others = others.filter(|(other, _)| *other != index);
                others
                    .map(|(_, server)| server.accepted[key])
                    .max()
                    .unwrap_or(0)
            })
            .collect();
        let server = &mut self.servers[index];
        if command.action == Action::Release {
            server.release(command);
            return (
                false,
                CommandOutcome::Done {
                    handover: Some("state".to_owned()),
                },
            );
        }
        if !server.accepts(command) {
            return (false, CommandOutcome::StaleFence);
        }
        // A grant that is executed after its expiry holds no keys, so its fencing token is not
        // used.
        let expired = arrival + GRANT_DURATION <= now;
        for (key, value) in KEYS.iter().enumerate() {
            let within = !expired && (command.from..=command.to).contains(value);
            if within && others[key] >= command.fence && server.accepted[key] < command.fence {
                let text = format!("fence {} reused for key {value}", command.fence);
                self.violation = Some(text);
                return (false, CommandOutcome::StaleFence);
            }
        }
        let first_time = server.grant(command, arrival + GRANT_DURATION, now);
        self.moved += u64::from(first_time);
        (true, CommandOutcome::Done { handover: None })
    }
}
