//! A few nodes that exchange encoded messages in virtual time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use tarragon_model::config::Config;
use tarragon_model::host::Peer;
use tarragon_model::record::Record;
use tarragon_model::shard;
use tarragon_node::input::{
    Ending, GrantResult, Input, ProbeResult, ReadRecord, Submission, WriteOutcome,
};
use tarragon_node::node::Node;
use tarragon_node::output::Output;

use super::{fixture, meter};
use crate::error::Result;

/// Virtual time between two ticks, as in the router; messages arrive at the next one.
pub const TICK_MS: u64 = 5;
/// Text of the only start of each backend server.
const INSTANCE: &str = "start-1";

/// What one process has done so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Processor time of decisions, encoding and decoding.
    pub cpu: Duration,
    /// Frames sent.
    pub frames: usize,
    /// Bytes of the frames sent.
    pub bytes: usize,
    /// Updates wanted of the store.
    pub writes: usize,
    /// Requests handed to backend servers.
    pub dispatched: usize,
    /// Probes and grants sent to backend servers.
    pub probes: usize,
}

impl Tally {
    /// Returns what was done after an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(earlier.cpu),
            frames: self.frames - earlier.frames,
            bytes: self.bytes - earlier.bytes,
            writes: self.writes - earlier.writes,
            dispatched: self.dispatched - earlier.dispatched,
            probes: self.probes - earlier.probes,
        }
    }

    /// Returns the sum of two readings.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            frames: self.frames + other.frames,
            bytes: self.bytes + other.bytes,
            writes: self.writes + other.writes,
            dispatched: self.dispatched + other.dispatched,
            probes: self.probes + other.probes,
        }
    }
}

struct Process {
    node: Node,
    peer: Peer,
    alive: bool,
    frames: Vec<(Peer, Vec<u8>)>,
    inputs: Vec<Input>,
    tally: Tally,
}

struct Sent {
    from: Peer,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Processes, and a store that answers at the next tick.
pub struct Mesh {
    processes: Vec<Process>,
    addresses: HashMap<SocketAddr, usize>,
    objects: HashMap<shard::Id, (u64, Record)>,
    revision: u64,
    now_ms: u64,
}

impl Mesh {
    /// Starts the first hosts of one region with a configuration and records for the first service's shards.
    #[must_use]
    pub fn new(hosts: usize, config: &Config, records: &[Record]) -> Self {
        let mut mesh = Self {
            processes: (0..hosts).map(Process::new).collect(),
            addresses: (0..hosts)
                .map(|index| (fixture::entry(fixture::local(index)).peer_addr, index))
                .collect(),
            objects: HashMap::new(),
            revision: 1,
            now_ms: 0,
        };
        for (index, record) in records.iter().enumerate() {
            let object = (1, record.clone());
            mesh.objects.insert(fixture::shard(index), object);
        }
        let entries = (0..hosts).map(|index| fixture::entry(fixture::local(index)));
        let entries: Vec<_> = entries.collect();
        for process in &mut mesh.processes {
            process.inputs = vec![
                Input::Hosts(entries.clone()),
                Input::Config {
                    version: 1,
                    config: Box::new(config.clone()),
                },
                Input::Records(read(records)),
            ];
        }
        mesh
    }

    /// Returns the virtual time since the start, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns what a process has done so far.
    #[must_use]
    pub fn tally(&self, index: usize) -> Tally {
        self.processes[index].tally
    }

    /// Ends a process without notice.
    pub fn kill(&mut self, index: usize) {
        self.processes[index].alive = false;
    }

    /// Counts the shards that processes may act for now.
    #[must_use]
    pub fn acting(&self) -> usize {
        let now = fixture::now(self.now_ms).at;
        let alive = self.processes.iter().filter(|process| process.alive);
        let leases = alive.flat_map(|process| process.node.leases());
        leases.filter(|(_, until)| *until > now).count()
    }

    /// Hands a caller's request to a process.
    pub fn submit(&mut self, index: usize, submission: Submission) {
        let input = Input::Submit(submission);
        self.processes[index].inputs.push(input);
    }

    /// Lets virtual time pass.
    ///
    /// # Errors
    ///
    /// Fails when a message cannot be encoded or decoded.
    pub fn pass(&mut self, ms: u64) -> Result<()> {
        for _ in 0..ms / TICK_MS {
            self.step()?;
        }
        Ok(())
    }

    fn step(&mut self) -> Result<()> {
        self.now_ms += TICK_MS;
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            if !process.alive {
                continue;
            }
            let (sent, asked) = process.step(self.now_ms)?;
            for frame in sent {
                self.deliver(frame);
            }
            for output in asked {
                self.answer(index, output);
            }
        }
        Ok(())
    }

    fn deliver(&mut self, sent: Sent) {
        if let Some(index) = self.addresses.get(&sent.to) {
            let frames = &mut self.processes[*index].frames;
            frames.push((sent.from, sent.bytes));
        }
    }

    fn answer(&mut self, index: usize, output: Output) {
        let inputs = match output {
            Output::Write {
                shard,
                if_version,
                record,
            } => vec![self.write(shard, if_version, *record)],
            Output::Probe { shard, backend, .. } => vec![Input::Probed {
                shard,
                backend,
                result: ProbeResult::Responded {
                    instance: INSTANCE.to_owned(),
                    draining: false,
                },
            }],
            Output::Grant { shard, backend, .. } => vec![Input::Granted {
                shard,
                backend,
                result: GrantResult::Responded {
                    granted: true,
                    ticket: self.now_ms,
                    instance: INSTANCE.to_owned(),
                },
            }],
            Output::Dispatch { id, .. } => served(id),
            _ => Vec::new(),
        };
        self.processes[index].inputs.extend(inputs);
    }

    fn write(&mut self, shard: shard::Id, if_version: u64, record: Record) -> Input {
        let known = self.objects.get(&shard);
        let version = known.map_or(0, |(version, _)| *version);
        let result = if version == if_version {
            self.revision += 1;
            let object = (self.revision, record);
            self.objects.insert(shard.clone(), object);
            WriteOutcome::Applied {
                version: self.revision,
            }
        } else {
            WriteOutcome::Conflict {
                version,
                record: known.map(|(_, record)| Box::new(record.clone())),
            }
        };
        Input::WriteEnded { shard, result }
    }
}

impl Process {
    fn new(index: usize) -> Self {
        Self {
            node: fixture::node(fixture::local(index)),
            peer: fixture::peer(fixture::local(index)),
            alive: true,
            frames: Vec::new(),
            inputs: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Handles what arrived and one tick; returns frames and the other outputs.
    fn step(&mut self, now_ms: u64) -> Result<(Vec<Sent>, Vec<Output>)> {
        let now = fixture::now(now_ms);
        let frames = std::mem::take(&mut self.frames);
        let inputs = std::mem::take(&mut self.inputs);
        let before = meter::cpu();
        let mut out = Vec::new();
        for (from, bytes) in frames {
            let message = fixture::decode(&bytes)?;
            let input = Input::Message { from, message };
            self.node.handle(now, input, &mut out);
        }
        for input in inputs {
            self.node.handle(now, input, &mut out);
        }
        self.node.handle(now, Input::Tick, &mut out);
        let mut sent = Vec::new();
        let mut asked = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message } => sent.push(Sent {
                    from: self.peer.clone(),
                    to,
                    bytes: fixture::encode(message)?,
                }),
                other => asked.push(other),
            }
        }
        self.tally.cpu += meter::cpu().saturating_sub(before);
        self.count(&sent, &asked);
        Ok((sent, asked))
    }

    fn count(&mut self, sent: &[Sent], asked: &[Output]) {
        self.tally.frames += sent.len();
        self.tally.bytes += sent.iter().map(|frame| frame.bytes.len()).sum::<usize>();
        for output in asked {
            match output {
                Output::Write { .. } => self.tally.writes += 1,
                Output::Dispatch { .. } => self.tally.dispatched += 1,
                Output::Probe { .. } | Output::Grant { .. } => self.tally.probes += 1,
                _ => {}
            }
        }
    }
}

fn served(id: u64) -> Vec<Input> {
    let responded = Input::Responded {
        id,
        status: 200,
        instance: Some(INSTANCE.to_owned()),
    };
    let ending = Ending::Served;
    vec![responded, Input::Ended { id, ending }]
}

fn read(records: &[Record]) -> Vec<ReadRecord> {
    let records = records.iter().enumerate();
    let read = records.map(|(index, record)| ReadRecord {
        shard: fixture::shard(index),
        version: 1,
        record: record.clone(),
    });
    read.collect()
}
