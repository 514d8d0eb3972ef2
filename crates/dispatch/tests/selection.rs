//! Choice of servers by many hosts that each know little of the servers' queues.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use tarragon_dispatch::fleet::{
    AttemptClass, Criteria, Entry, Fleet, Load, Location, Observation, Pick, Refusal,
};
use tarragon_dispatch::homes::Homes;
use tarragon_model::time::Instant;

const HOSTS: u64 = 71;
const SERVERS: u32 = 183;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const SPEEDS: [f64; 3] = [0.5, 1.0, 1.5];
const END_S: usize = 14;
const END_MS: u64 = 1_000 * END_S as u64;
/// End of the arrivals.
const LAST_MS: u32 = 11_500;
const PEAK_MS: std::ops::Range<u64> = 6_000..10_000;

/// Returns a random number below `limit` that depends on `seed` only.
fn random(seed: u64, limit: u64) -> u32 {
    let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    u32::try_from(mixed % limit).unwrap()
}

/// Returns a host in a zone that knows `servers` servers, spread over the zones z0, z1, ...
fn fleet(zone: u64, servers: u32, zones: u32, zones_per_region: u32) -> Fleet {
    let region = |z| (format!("z{z}"), format!("r{}", z / zones_per_region));
    let regions: HashMap<String, String> = (0..zones).map(region).collect();
    let zone = format!("z{zone}");
    let mut fleet = Fleet::new(Location { zone, regions });
    for server in 0..servers {
        let entry = Entry {
            id: format!("s{server}"),
            start_ms: 1,
            service: "s".to_owned(),
            addr: format!("127.0.0.1:{}", 1_000 + server).parse().unwrap(),
            zone: format!("z{}", server % zones),
            slots: u32::try_from(SLOTS).unwrap(),
            draining: false,
            warmup: Duration::ZERO,
        };
        fleet.update(entry, 1, Instant::ZERO);
    }
    fleet
}

fn criteria<'a>(homes: &'a Homes, tried: &'a [String]) -> Criteria<'a> {
    Criteria {
        service: "s",
        homes,
        tried,
        remaining: Duration::from_secs(3),
        objective: Duration::from_secs(3),
        priority: 0,
        large_response: false,
        request_bytes: 300,
        random: 0.5,
    }
}

fn end(fleet: &mut Fleet, id: &str, class: AttemptClass, load: Option<Load>, ms: u64, now: u64) {
    let observation = Observation {
        elapsed: Duration::from_millis(ms),
        load,
        bytes: 1_000,
        class,
    };
    fleet.record_ended(id, observation, Instant::from_millis(now));
}

struct Request {
    host: usize,
    started_ms: u64,
    /// Read, or order with home regions.
    is_read: bool,
    tried: Vec<String>,
}

impl Request {
    fn times_ms(&self) -> (u32, u64, u64) {
        if self.is_read {
            (260, 1_000, 1_500)
        } else {
            (330, 1_200, 2_000)
        }
    }
}

#[derive(Default)]
struct Server {
    running: usize,
    queue: VecDeque<(usize, u64)>,
    received: [f64; END_S],
}

#[derive(Default)]
struct Deployment {
    /// Whether responses state the time that work takes on the machine.
    states_pace: bool,
    fleets: Vec<Fleet>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// End time, server, request, and when it was sent.
    ends: BinaryHeap<Reverse<(u64, usize, usize, u64)>>,
    served: u32,
    refused: u32,
    far: u32,
    rejected: u32,
}

impl Deployment {
    fn new(states_pace: bool) -> Self {
        Self {
            states_pace,
            fleets: (0..HOSTS)
                .map(|host| fleet(host % 6, SERVERS, 6, 2))
                .collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            ..Self::default()
        }
    }

    /// Returns the time that work takes on a server's machine now, in percent.
    fn pace(server: usize, now: u64) -> u32 {
        let is_slow = random(server as u64 * 1_000 + now / 400, 5) == 0;
        if is_slow { 300 } else { 100 }
    }

    fn start(&mut self, server: usize, request: usize, sent: u64, now: u64) {
        self.servers[server].running += 1;
        let (work, ..) = self.requests[request].times_ms();
        let (mut left, mut end) = (f64::from(work), now);
        while left > 0.0 {
            left -= SPEEDS[server / 6 % 3] * 100.0 / f64::from(Self::pace(server, end));
            end += 1;
        }
        self.ends.push(Reverse((end, server, request, sent)));
    }

    fn send(&mut self, request: usize, now: u64) {
        let sent = &self.requests[request];
        let homes = if sent.is_read {
            Homes::anywhere()
        } else {
            Homes::only(["r0", "r1"].map(str::to_owned))
        };
        let (_, objective, timeout) = sent.times_ms();
        let left = |end: u64| Duration::from_millis((sent.started_ms + end).saturating_sub(now));
        let seed = request as u64 * 8 + sent.tried.len() as u64;
        let criteria = Criteria {
            remaining: left(timeout),
            objective: left(objective),
            priority: u32::from(!sent.is_read),
            random: f64::from(random(seed, 1_000_000)) / 1e6,
            ..criteria(&homes, &sent.tried)
        };
        let time = Instant::from_millis(now);
        let (host, is_read) = (sent.host, sent.is_read);
        let Ok(Pick { id, .. }) = self.fleets[host].pick(&criteria, &|_| true, time) else {
            self.rejected += 1;
            return;
        };
        let server: usize = id[1..].parse().unwrap();
        self.far += u32::from(host % 6 / 2 != server % 6 / 2);
        self.fleets[host].record_sent(&id);
        self.servers[server].received[usize::try_from(now / 1_000).unwrap()] += 1.0;
        if self.servers[server].running < SLOTS {
            self.start(server, request, now, now);
        } else if self.servers[server].queue.len() < QUEUE {
            self.servers[server].queue.push_back((request, now));
        } else {
            self.refused += 1;
            end(
                &mut self.fleets[host],
                &id,
                AttemptClass::Reset,
                None,
                0,
                now,
            );
            self.requests[request].tried.push(id);
            if is_read && self.requests[request].tried.len() < 3 {
                self.send(request, now);
            }
        }
    }

    fn end(&mut self, server: usize, request: usize, sent: u64, now: u64) {
        self.servers[server].running -= 1;
        if let Some((next, sent)) = self.servers[server].queue.pop_front() {
            self.start(server, next, sent, now);
        }
        let ended = &self.requests[request];
        let (_, objective, timeout) = ended.times_ms();
        let (host, took) = (ended.host, now - ended.started_ms);
        self.served += u32::from(took <= objective);
        let load = Load {
            running: u32::try_from(self.servers[server].running).unwrap(),
            waiting: u32::try_from(self.servers[server].queue.len()).unwrap(),
            pace: self.states_pace.then(|| Self::pace(server, now)),
        };
        let (class, load) = if took > timeout {
            (AttemptClass::Abandoned, None)
        } else {
            (AttemptClass::Served, Some(load))
        };
        end(
            &mut self.fleets[host],
            &format!("s{server}"),
            class,
            load,
            now - sent,
            now,
        );
    }

    fn run(&mut self) {
        let mut due = [0.0_f64; 2];
        for now in 0..END_MS {
            while let Some(Reverse((at, server, request, sent))) = self.ends.peek().copied()
                && at <= now
            {
                self.ends.pop();
                self.end(server, request, sent, now);
            }
            let peak = if PEAK_MS.contains(&now) { 1.7 } else { 1.0 };
            let arriving = now < u64::from(LAST_MS);
            for (kind, rate) in [1.816 * peak, 0.484].into_iter().enumerate() {
                due[kind] += if arriving { rate } else { 0.0 };
                while due[kind] >= 1.0 {
                    due[kind] -= 1.0;
                    let request = self.requests.len();
                    self.requests.push(Request {
                        host: random(request as u64, HOSTS) as usize,
                        started_ms: now,
                        is_read: kind == 0,
                        tried: Vec::new(),
                    });
                    self.send(request, now);
                }
            }
        }
    }
}

/// Guards against hosts that all send to the servers that looked least loaded a while ago: with the
/// cheapest of all servers, 0.821 of the requests met the objective and 0.042 were refused.
#[test]
fn hosts_do_not_crowd_onto_the_servers_that_look_fastest() {
    for states_pace in [false, true] {
        let mut deployment = Deployment::new(states_pace);
        deployment.run();
        let total = f64::from(u32::try_from(deployment.requests.len()).unwrap());
        let Deployment {
            served,
            refused,
            rejected,
            far,
            ..
        } = deployment;
        let [served, refused, rejected, far] =
            [served, refused, rejected, far].map(|count| f64::from(count) / total);
        let per_second = deployment.servers.iter().flat_map(|server| server.received);
        let mean = per_second.clone().sum::<f64>() / f64::from(SERVERS * LAST_MS) * 1_000.0;
        let busiest = per_second.fold(0.0, f64::max) / mean;
        println!(
            "pace={states_pace} served={served:.3} refused={refused:.4} rejected={rejected:.4} \
             far={far:.3} busiest={busiest:.2}"
        );
        assert!(served > 0.93 && refused < 0.008 && rejected < 0.01);
        // About 0.06 of the requests comes from a region outside its homes.
        assert!(far < 0.13 && busiest < 3.4);
    }
}

/// Returns a host that sends seldom, and knows twelve servers in its region `r0` and twelve in `r1`.
fn host() -> Fleet {
    fleet(0, 24, 2, 1)
}

/// Records the end of a request at each of the servers `s0`, `s0 + step`, ...
fn end_all(fleet: &mut Fleet, step: usize, class: AttemptClass, waiting: u32) {
    let load = Load {
        running: 6,
        waiting,
        pace: None,
    };
    for server in (0..24).step_by(step) {
        end(fleet, &format!("s{server}"), class, Some(load), 50, 1);
    }
}

fn picked(fleet: &Fleet, at_ms: u64) -> Vec<Result<String, Refusal>> {
    let homes = Homes::anywhere();
    let picked = (0..100).map(|number| {
        let random = f64::from(number) / 100.0;
        let criteria = Criteria {
            random,
            ..criteria(&homes, &[])
        };
        let picked = fleet.pick(&criteria, &|_| true, Instant::from_millis(at_ms));
        picked.map(|pick| pick.id)
    });
    picked.collect()
}

/// Guards against requests that follow each other to a server that just refused one.
#[test]
fn a_server_that_refused_is_avoided_for_a_short_time() {
    for class in [AttemptClass::Shed, AttemptClass::Reset] {
        let mut fleet = host();
        end(&mut fleet, "s2", class, None, 50, 1);
        let is_picked = |at_ms| picked(&fleet, at_ms).contains(&Ok("s2".to_owned()));
        assert!(!is_picked(2) && is_picked(2_000), "{class:?}");
    }
}

/// Guards against bytes to another region while a request would hardly wait in this one, and against
/// waits while the other region has room.
#[test]
fn requests_leave_the_region_only_while_it_is_short_of_room() {
    for (waiting, leaves) in [(2, false), (18, true)] {
        let mut fleet = host();
        end_all(&mut fleet, 2, AttemptClass::Served, waiting);
        let far = |id: &String| id[1..].parse::<u32>().unwrap() % 2 == 1;
        let left = picked(&fleet, 2).iter().flatten().any(far);
        assert_eq!(left, leaves, "{waiting} waiting");
    }
}

/// Guards against refusals of requests that may run once where servers decline some of them: a server
/// that declines says that the request did not run, so sending it loses nothing.
#[test]
fn a_request_that_may_run_once_is_sent_where_servers_decline_requests() {
    for class in [AttemptClass::Served, AttemptClass::Shed] {
        let mut fleet = host();
        end_all(&mut fleet, 1, class, 12);
        let picked = picked(&fleet, 2);
        assert!(picked.iter().all(Result::is_ok), "{class:?}");
    }
}

/// Guards against rejected callers that all return at the same moment.
#[test]
fn the_retry_after_of_full_servers_is_spread_after_the_expected_wait() {
    let mut fleet = host();
    end_all(&mut fleet, 1, AttemptClass::Failed, 200);
    let refusals = picked(&fleet, 2).into_iter();
    let waits: BTreeSet<Duration> = refusals
        .map(|refusal| match refusal {
            Err(Refusal::Overloaded(wait)) => wait,
            other => panic!("{other:?}"),
        })
        .collect();
    let (first, last) = (waits.first().unwrap(), waits.last().unwrap());
    assert!(waits.len() > 50 && *first >= Duration::from_millis(100));
    assert!(*last > first.mul_f64(1.2) && *last <= Duration::from_secs(3));
}
