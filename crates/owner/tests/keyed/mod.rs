//! Load of a keyed service played against the granter: hosts that report, backend servers with slots
//! and a queue, and the delays of reports, plans, commands and key maps.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tarragon_model::time::Instant;
use tarragon_owner::balance::Candidate;
use tarragon_owner::granter::{
    Action, Command, CommandOutcome, Granter, Liveness, PlanInputs, Timing,
};
use tarragon_owner::loads::Loads;
use tarragon_owner::plan::{Holder, MAX_KEY, Plan};
use tarragon_owner::speeds::Speeds;

const SERVERS: usize = 152;
const HOSTS: usize = 63;
const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Speeds of the backend servers, in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// Rate per second and work in milliseconds of reads and orders.
const READS: (f64, f64) = (670.0, 140.0);
const ORDERS: (f64, f64) = (240.0, 180.0);
const HOT_SHARE: f64 = 0.44;
const OBJECTIVE_US: u64 = 800_000;
const REPORT_US: u64 = 350_000;
const TICK_US: u64 = 20_000;
const WRITE_US: u64 = 10_000;
/// One way between a host and a backend server, and from the granter to a host.
const NETWORK_US: u64 = 2_000;
/// Time for which a request waits at a host for a holder of its key.
const KEY_WAIT_US: u64 = 2_000_000;
/// Pause before the only retry after a refusal.
const RETRY_US: u64 = 60_000;
const EXPONENT: f64 = 1.5;

#[derive(Clone, Copy)]
struct Request {
    key: u16,
    host: usize,
    work_ms: f64,
    started: u64,
    retried: bool,
}

enum Event {
    Arrive(bool),
    Retry(Request),
    End(usize),
    Report(usize),
    Tick,
    Adopt(Plan),
    Deliver(Command, u64),
    Outcome(Command, u64),
}

#[derive(Default)]
struct Server {
    held: BTreeMap<u16, u16>,
    running: Vec<(u64, u64, Request)>,
    queue: VecDeque<Request>,
    /// Releases that wait for accepted work, and when they were due.
    releases: Vec<(Command, u64)>,
    factor: f64,
}

impl Server {
    fn holds(&self, key: u16) -> bool {
        let range = self.held.range(..=key).next_back();
        range.is_some_and(|(_, to)| key <= *to)
    }

    fn set(&mut self, from: u16, to: u16, held: bool) {
        let overlapping: Vec<_> = self
            .held
            .range(..=to)
            .filter(|(_, end)| **end >= from)
            .collect();
        for (start, end) in overlapping
            .into_iter()
            .map(|(s, e)| (*s, *e))
            .collect::<Vec<_>>()
        {
            self.held.remove(&start);
            if start < from {
                self.held.insert(start, from - 1);
            }
            if end > to {
                self.held.insert(to + 1, end);
            }
        }
        if held {
            self.held.insert(from, to);
        }
    }

    fn works_on(&self, from: u16, to: u16) -> bool {
        let running = self.running.iter().map(|(_, _, request)| request);
        running
            .chain(&self.queue)
            .any(|r| (from..=to).contains(&r.key))
    }
}

/// What callers and backend servers saw in a period.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub served: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests that each backend server received.
    pub received: Vec<f64>,
    pub keys_moved: u64,
    pub max_segments: usize,
    pub commands: u64,
}

fn ratio(loads: &[f64]) -> f64 {
    let mean = loads.iter().sum::<f64>() / SERVERS as f64;
    loads.iter().copied().fold(0.0, f64::max) / mean
}

pub struct Service {
    now: u64,
    rng: StdRng,
    events: BinaryHeap<(Reverse<u64>, u64)>,
    bodies: BTreeMap<u64, Event>,
    next_event: u64,
    servers: Vec<Server>,
    /// Holder of each key by the key map of the hosts.
    map: Vec<Option<usize>>,
    waiting: Vec<Request>,
    traffic: Vec<BTreeMap<u16, u32>>,
    samples: Vec<BTreeMap<usize, (u32, f64)>>,
    granter: Granter,
    loads: Loads,
    speeds: Speeds,
    planned: u64,
    writing: bool,
    hot: Option<(u16, u16)>,
    pub seen: Seen,
}

fn id(index: usize) -> String {
    format!("s{index:03}")
}

fn holder(index: usize) -> Holder {
    Holder {
        id: id(index),
        start_ms: 1,
    }
}

fn index(holder: &Holder) -> usize {
    holder.id[1..].parse().unwrap()
}

fn alive(_: &Holder) -> Liveness {
    Liveness::MaybeAlive
}

impl Service {
    pub fn new(seed: u64) -> Self {
        let start = Instant::from_millis(0);
        let weights: Vec<_> = (0..SERVERS).map(|index| (holder(index), 1.0)).collect();
        let timing = Timing::with_grant_duration(Duration::from_secs(3));
        let server = || Server {
            factor: 1.0,
            ..Server::default()
        };
        let mut service = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            bodies: BTreeMap::new(),
            next_event: 0,
            servers: (0..SERVERS).map(|_| server()).collect(),
            map: vec![None; usize::from(MAX_KEY) + 1],
            waiting: Vec::new(),
            traffic: vec![BTreeMap::new(); HOSTS],
            samples: vec![BTreeMap::new(); HOSTS],
            granter: Granter::new(Plan::assign(&weights, 1), true, timing, start),
            loads: Loads::new(start),
            speeds: Speeds::default(),
            planned: 0,
            writing: false,
            hot: None,
            seen: Seen::default(),
        };
        for host in 0..HOSTS {
            service.after(REPORT_US * host as u64 / HOSTS as u64, Event::Report(host));
        }
        service.after(0, Event::Tick);
        service.after(200_000, Event::Arrive(true));
        service.after(200_000, Event::Arrive(false));
        service
    }

    fn after(&mut self, us: u64, event: Event) {
        self.events.push((Reverse(self.now + us), self.next_event));
        self.bodies.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    /// Makes `count` neighboring keys at a random place hot, or none.
    pub fn set_hot(&mut self, count: u16) {
        let from = self.rng.random_range(0..MAX_KEY - count.max(1));
        self.hot = (count > 0).then(|| (from, from + count - 1));
    }

    /// Returns the expected load of the busiest server, relative to the mean, and infinity while a
    /// twentieth of the hot keys has no holder.
    pub fn expected_imbalance(&self) -> f64 {
        let mut loads = vec![0.0; SERVERS];
        let hot = self.hot.map_or(0.0, |_| HOT_SHARE * READS.0);
        let cold = (READS.0 + ORDERS.0 - hot) / (f64::from(MAX_KEY) + 1.0);
        for holder in self.map.iter().flatten() {
            loads[*holder] += cold;
        }
        if let Some((from, to)) = self.hot {
            let keys = &self.map[usize::from(from)..=usize::from(to)];
            if keys.iter().flatten().count() * 20 < keys.len() * 19 {
                return f64::INFINITY;
            }
            for holder in keys.iter().flatten() {
                loads[*holder] += hot / keys.len() as f64;
            }
        }
        ratio(&loads)
    }

    /// Plays for a time and returns what was seen.
    pub fn run(&mut self, ms: u64) -> Seen {
        let end = self.now + ms * 1_000;
        self.seen = Seen {
            received: vec![0.0; SERVERS],
            ..Seen::default()
        };
        while let Some((Reverse(at), _)) = self.events.peek().filter(|(at, _)| at.0 <= end) {
            self.now = *at;
            let (_, number) = self.events.pop().unwrap();
            let event = self.bodies.remove(&number).unwrap();
            self.handle(event);
        }
        self.now = end;
        self.seen.clone()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(is_read) => self.arrive(is_read),
            Event::Retry(request) => self.dispatch(request),
            Event::End(server) => self.end(server),
            Event::Report(host) => self.report(host),
            Event::Tick => self.tick(),
            Event::Adopt(plan) => {
                self.writing = false;
                self.granter.adopt(plan, self.instant());
            }
            Event::Deliver(command, due) => self.deliver(command, due),
            Event::Outcome(command, due) => {
                let done = CommandOutcome::Done { handover: None };
                let (due, now) = (Instant::from_micros(due), self.instant());
                self.granter.record_outcome(&command, due, Some(now), &done);
                self.update_map();
            }
        }
    }

    fn arrive(&mut self, is_read: bool) {
        let (rate, work_ms) = if is_read { READS } else { ORDERS };
        let gap = -self.rng.random::<f64>().max(1e-9).ln() / rate;
        self.after((gap * 1e6) as u64, Event::Arrive(is_read));
        let key = match self.hot {
            Some((from, to)) if is_read && self.rng.random_bool(HOT_SHARE) => {
                self.rng.random_range(from..=to)
            }
            _ => self.rng.random_range(0..=MAX_KEY),
        };
        let host = self.rng.random_range(0..HOSTS);
        let work_ms = work_ms * self.rng.random_range(0.8..1.2);
        *self.traffic[host].entry(key).or_default() += 1;
        let started = self.now;
        self.dispatch(Request {
            key,
            host,
            work_ms,
            started,
            retried: false,
        });
    }

    fn dispatch(&mut self, request: Request) {
        let Some(at) = self.map[usize::from(request.key)] else {
            if self.now - request.started > KEY_WAIT_US {
                self.seen.refused += 1;
            } else {
                self.waiting.push(request);
            }
            return;
        };
        self.seen.received[at] += 1.0;
        let server = &mut self.servers[at];
        if !server.holds(request.key) {
            self.after(RETRY_US, Event::Retry(request));
        } else if server.running.len() + server.queue.len() < SLOTS + QUEUE {
            server.queue.push_back(request);
            self.start(at);
        } else if request.retried {
            self.seen.refused += 1;
        } else {
            self.after(
                RETRY_US,
                Event::Retry(Request {
                    retried: true,
                    ..request
                }),
            );
        }
    }

    fn start(&mut self, at: usize) {
        let server = &mut self.servers[at];
        while server.running.len() < SLOTS
            && let Some(request) = server.queue.pop_front()
        {
            let us = (request.work_ms * 1e3 * server.factor / SPEEDS[at % 3]) as u64;
            server.running.push((self.now + us, us, request));
            self.events.push((Reverse(self.now + us), self.next_event));
            self.bodies.insert(self.next_event, Event::End(at));
            self.next_event += 1;
        }
    }

    fn end(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(done) = server.running.iter().position(|(end, ..)| *end <= now) else {
            return;
        };
        let (_, us, request) = server.running.swap_remove(done);
        if now - request.started <= OBJECTIVE_US {
            self.seen.served += 1;
        } else {
            self.seen.late += 1;
        }
        let sample = self.samples[request.host].entry(at).or_default();
        *sample = (sample.0 + 1, sample.1 + us as f64 / 1e3);
        let releases = std::mem::take(&mut server.releases);
        for (command, due) in releases {
            self.deliver(command, due);
        }
        self.start(at);
    }

    fn report(&mut self, host: usize) {
        self.after(REPORT_US, Event::Report(host));
        let now = self.instant();
        for (key, count) in std::mem::take(&mut self.traffic[host]) {
            self.add_load(key, count, now);
        }
        for (server, (count, sum_ms)) in std::mem::take(&mut self.samples[host]) {
            self.add_sample(server, count, sum_ms, now);
        }
    }

    fn deliver(&mut self, command: Command, due: u64) {
        let server = &mut self.servers[index(&command.server)];
        let grant = command.action == Action::Grant;
        if !grant && server.works_on(command.from, command.to) {
            server.set(command.from, command.to, false);
            server.releases.push((command, due));
            return;
        }
        server.set(command.from, command.to, grant);
        self.after(NETWORK_US, Event::Outcome(command, due));
    }

    fn tick(&mut self) {
        self.after(TICK_US, Event::Tick);
        let now = self.instant();
        let due = self.now;
        for command in self.granter.commands(&alive, now) {
            self.seen.commands += 1;
            self.after(NETWORK_US, Event::Deliver(command, due));
        }
        self.update_map();
        for request in std::mem::take(&mut self.waiting) {
            self.dispatch(request);
        }
        if !self.writing && self.is_plan_due(now) {
            self.plan(now);
        }
    }

    /// Takes over which keys are held; hosts learn of it within one tick.
    fn update_map(&mut self) {
        let plan = self.granter.plan();
        self.seen.max_segments = self.seen.max_segments.max(plan.segments.len());
        for segment in &plan.segments {
            let held = self.granter.is_accepted(segment.from);
            let holder = held.then(|| index(&segment.holder));
            self.map[usize::from(segment.from)..=usize::from(segment.to)].fill(holder);
        }
    }

    fn plan(&mut self, now: Instant) {
        self.planned = self.now;
        self.loads.decay(now);
        let rates = self.loads.rates(now);
        let candidates = self.candidates(now);
        let inputs = PlanInputs {
            candidates: &candidates,
            rates: &rates,
            request_time_s: self.speeds.mean_ms() / 1e3,
            min_sequence: 1,
        };
        let Some(plan) = self.granter.propose(&inputs, &alive, now) else {
            return;
        };
        for segment in plan.segments.iter().filter(|s| s.fence == plan.sequence) {
            let moved = segment
                .previous
                .as_ref()
                .is_some_and(|p| p.holder != segment.holder);
            self.seen.keys_moved += u64::from(segment.to - segment.from + 1) * u64::from(moved);
        }
        self.writing = true;
        self.after(WRITE_US, Event::Adopt(plan));
    }

    // The calls below mirror those of the edge crate.

    fn add_load(&mut self, key: u16, count: u32, _now: Instant) {
        self.loads.add(key, count as f32);
    }

    fn add_sample(&mut self, server: usize, count: u32, sum_ms: f64, _now: Instant) {
        self.speeds.add(&id(server), count, sum_ms);
    }

    fn is_plan_due(&self, _now: Instant) -> bool {
        u128::from(self.now - self.planned) >= self.loads.plan_interval().as_micros()
    }

    fn candidates(&mut self, _now: Instant) -> Vec<Candidate> {
        let candidates = (0..SERVERS).map(|at| Candidate {
            holder: holder(at),
            capacity: SLOTS as f64 / self.speeds.slowness(&id(at)).powf(EXPONENT),
            throughput: SLOTS as f64 / self.speeds.slowness(&id(at)),
        });
        candidates.collect()
    }
}
