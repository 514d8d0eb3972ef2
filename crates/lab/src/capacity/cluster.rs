//! Simulated cluster: a few nodes that exchange encoded messages in virtual time.

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

/// Virtual time between two ticks, as in the router.
///
/// A message is handled at the receiver's next tick. Processes step in the order of their indices,
/// so this is the current tick if the receiver comes after the sender.
pub const TICK_MS: u64 = 5;
/// Instance of every backend server; none restarts.
const INSTANCE: &str = "start-1";

/// Cumulative resource use of one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// CPU time of the node, encoding and decoding.
    pub cpu: Duration,
    /// Number of frames sent.
    pub frames: usize,
    /// Total size of the frames sent, in bytes.
    pub bytes: usize,
    /// Number of writes requested from the store.
    pub writes: usize,
    /// Number of requests dispatched to backend servers.
    pub dispatched: usize,
    /// Number of probes and grants sent to backend servers.
    pub probes: usize,
}

impl Usage {
    /// Returns the use since an earlier reading.
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

/// Router process with its pending frames and inputs.
struct Process {
    node: Node,
    peer: Peer,
    alive: bool,
    frames: Vec<(Peer, Vec<u8>)>,
    inputs: Vec<Input>,
    usage: Usage,
}

/// Encoded message on its way to a peer address.
struct Frame {
    from: Peer,
    to: SocketAddr,
    bytes: Vec<u8>,
}

/// Processes with a store and backend servers that respond at the next tick.
pub struct Cluster {
    processes: Vec<Process>,
    /// Index of each process by its peer address.
    addresses: HashMap<SocketAddr, usize>,
    /// Version and record of each shard in the store.
    objects: HashMap<shard::Id, (u64, Record)>,
    revision: u64,
    now_ms: u64,
}

impl Cluster {
    /// Starts the first hosts of one region with a configuration and the records of the first
    /// service's shards.
    #[must_use]
    pub fn new(hosts: usize, config: &Config, records: &[Record]) -> Self {
        let mut cluster = Self {
            processes: (0..hosts).map(Process::new).collect(),
            addresses: (0..hosts)
                .map(|index| (fixture::entry(fixture::same_region(index)).peer_addr, index))
                .collect(),
            objects: HashMap::new(),
            revision: 1,
            now_ms: 0,
        };
        for (index, record) in records.iter().enumerate() {
            let object = (1, record.clone());
            cluster.objects.insert(fixture::shard(index), object);
        }
        let entries = (0..hosts).map(|index| fixture::entry(fixture::same_region(index)));
        let entries: Vec<_> = entries.collect();
        for process in &mut cluster.processes {
            process.inputs = vec![
                Input::Hosts(entries.clone()),
                Input::Config {
                    version: 1,
                    config: Box::new(config.clone()),
                },
                Input::Records(first_versions(records)),
            ];
        }
        cluster
    }

    /// Returns the virtual time since the start, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the resource use of a process so far.
    #[must_use]
    pub fn usage(&self, index: usize) -> Usage {
        self.processes[index].usage
    }

    /// Stops a process without warning.
    pub fn kill(&mut self, index: usize) {
        self.processes[index].alive = false;
    }

    /// Counts the shards whose leader holds a valid lease now.
    #[must_use]
    pub fn acting_shards(&self) -> usize {
        let now = fixture::now(self.now_ms).at;
        let alive = self.processes.iter().filter(|process| process.alive);
        let leases = alive.flat_map(|process| process.node.leases());
        leases.filter(|(_, until)| *until > now).count()
    }

    /// Submits a caller's request to a process; it is handled at the next tick.
    pub fn submit(&mut self, index: usize, submission: Submission) {
        let input = Input::Submit(submission);
        self.processes[index].inputs.push(input);
    }

    /// Advances virtual time, tick by tick.
    ///
    /// # Errors
    ///
    /// Fails when a message cannot be encoded or decoded.
    pub fn advance(&mut self, ms: u64) -> Result<()> {
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
            let (sent, outputs) = process.step(self.now_ms)?;
            for frame in sent {
                self.deliver(frame);
            }
            for output in outputs {
                self.respond(index, output);
            }
        }
        Ok(())
    }

    /// Queues a frame at its receiver; frames to unknown addresses are dropped.
    fn deliver(&mut self, frame: Frame) {
        if let Some(index) = self.addresses.get(&frame.to) {
            let frames = &mut self.processes[*index].frames;
            frames.push((frame.from, frame.bytes));
        }
    }

    /// Queues the response of the store or a backend server to an output of a process.
    fn respond(&mut self, index: usize, output: Output) {
        let inputs = match output {
            Output::Write {
                shard,
                if_version,
                record,
            } => vec![self.update_object(shard, if_version, *record)],
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
            Output::Dispatch { id, .. } => successful_dispatch(id),
            _ => Vec::new(),
        };
        self.processes[index].inputs.extend(inputs);
    }

    /// Applies a conditional write to the store.
    fn update_object(&mut self, shard: shard::Id, if_version: u64, record: Record) -> Input {
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
            node: fixture::node(fixture::same_region(index)),
            peer: fixture::peer(fixture::same_region(index)),
            alive: true,
            frames: Vec::new(),
            inputs: Vec::new(),
            usage: Usage::default(),
        }
    }

    /// Handles the pending frames and inputs and one tick; returns the frames sent and the other
    /// outputs.
    fn step(&mut self, now_ms: u64) -> Result<(Vec<Frame>, Vec<Output>)> {
        let now = fixture::now(now_ms);
        let frames = std::mem::take(&mut self.frames);
        let inputs = std::mem::take(&mut self.inputs);
        let before = meter::thread_cpu_time();
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
        let mut others = Vec::new();
        for output in out {
            match output {
                Output::Send { to, message } => sent.push(Frame {
                    from: self.peer.clone(),
                    to,
                    bytes: fixture::encode(message)?,
                }),
                other => others.push(other),
            }
        }
        self.usage.cpu += meter::thread_cpu_time().saturating_sub(before);
        self.record_outputs(&sent, &others);
        Ok((sent, others))
    }

    fn record_outputs(&mut self, sent: &[Frame], others: &[Output]) {
        self.usage.frames += sent.len();
        self.usage.bytes += sent.iter().map(|frame| frame.bytes.len()).sum::<usize>();
        for output in others {
            match output {
                Output::Write { .. } => self.usage.writes += 1,
                Output::Dispatch { .. } => self.usage.dispatched += 1,
                Output::Probe { .. } | Output::Grant { .. } => self.usage.probes += 1,
                _ => {}
            }
        }
    }
}

/// Returns the inputs after a successful dispatch.
fn successful_dispatch(id: u64) -> Vec<Input> {
    let responded = Input::Responded {
        id,
        status: 200,
        instance: Some(INSTANCE.to_owned()),
    };
    let ending = Ending::Served;
    vec![responded, Input::Ended { id, ending }]
}

/// Returns the records at version 1, as read from the store.
fn first_versions(records: &[Record]) -> Vec<ReadRecord> {
    let records = records.iter().enumerate();
    let read = records.map(|(index, record)| ReadRecord {
        shard: fixture::shard(index),
        version: 1,
        record: record.clone(),
    });
    read.collect()
}
