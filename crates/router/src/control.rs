//! Control thread: feeds events to the [`Node`] state machine and executes its outputs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use tarragon_model::outcome::{Outcome, Reason};
use tarragon_model::shard;
use tarragon_model::time::Instant;
use tarragon_node::input::{Ending, Input, Submission};
use tarragon_node::node::{self, Node};
use tarragon_node::output::{Attempt, Output};
use tokio::sync::{mpsc, oneshot, watch};

use crate::backend;
use crate::error::Error;
use crate::invariants::Monitor;
use crate::peer::{self, Envelope};
use crate::shared::Shared;
use crate::store;
use crate::view::{Lease, Route, View};

/// Interval between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of commands handled before the node's outputs are executed.
const MAX_BATCH: usize = 256;
/// Maximum number of queued probes and grants.
const BACKEND_CALLS_CAPACITY: usize = 4_096;
/// Maximum number of queued record updates.
const WRITES_CAPACITY: usize = 1_024;
/// Maximum number of queued decisions on one request.
const DECISIONS_CAPACITY: usize = 8;

/// Time without requests after which a process that shuts down closes its connections.
const CLOSE_DELAY: Duration = Duration::from_millis(300);
/// Time without requests after which a process that shuts down exits: the HTTP server takes two
/// seconds to close idle connections.
const STOP_DELAY: Duration = Duration::from_secs(3);

/// Interval between two checks for invariant violations.
const INVARIANTS_INTERVAL: Duration = Duration::from_secs(1);

/// Command to the control thread.
#[derive(Debug)]
pub enum Command {
    /// An event for the node.
    Input(Input),
    /// A caller's request for the node to decide on.
    Submit {
        /// The request.
        submission: Submission,
        /// Receives the decisions.
        decisions: mpsc::Sender<Decision>,
    },
    /// An operator's query.
    Query {
        /// The query.
        query: Query,
        /// Receives the result as JSON.
        response: oneshot::Sender<serde_json::Value>,
    },
}

/// Query from the admin endpoint.
#[derive(Clone, Debug)]
pub enum Query {
    /// State of the shards, as this process knows it.
    Shards,
    /// State of this process.
    Status,
    /// Owner of a key, and why it owns the key.
    Explain {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
}

/// Decision of the node on a request.
#[derive(Debug)]
pub enum Decision {
    /// Send the request to a backend server, but only if the lease is still valid just before.
    Dispatch {
        /// The backend server, and the shard and fence to send along.
        attempt: Attempt,
        /// Lease of the shard.
        lease: Lease,
    },
    /// Respond without sending the request to a backend server.
    Refuse {
        /// Outcome of the request.
        outcome: Outcome,
        /// Reason for the refusal.
        reason: Reason,
        /// HTTP status of the first run, if the request was already run.
        status: Option<u16>,
    },
    /// Abort the attempt that is in progress.
    Abort,
}

/// Creates the channel for the decisions on one request.
#[must_use]
pub fn decisions() -> (mpsc::Sender<Decision>, mpsc::Receiver<Decision>) {
    mpsc::channel(DECISIONS_CAPACITY)
}

/// Starts the control thread.
///
/// # Errors
///
/// [`Error::Start`] if the thread cannot be spawned.
pub fn spawn(
    shared: Shared,
    inbox: mpsc::Receiver<Command>,
    publish: watch::Sender<Arc<View>>,
) -> Result<JoinHandle<()>, Error> {
    std::thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            match runtime {
                Ok(runtime) => runtime.block_on(run(shared, inbox, publish)),
                Err(error) => log::error!("event=duty-failed duty=control error=\"{error}\""),
            }
        })
        .map_err(|source| Error::Start {
            duty: "control",
            source,
        })
}

async fn run(
    shared: Shared,
    mut inbox: mpsc::Receiver<Command>,
    publish: watch::Sender<Arc<View>>,
) {
    let Some(mut control) = Control::start(&shared, publish) else {
        shared.stop.cancel();
        return;
    };
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut draining = false;
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = shared.drain.cancelled(), if !draining => {
                draining = true;
                control.handle_input(Input::Drain);
            }
            command = inbox.recv() => match command {
                Some(command) => control.handle_batch(command, &mut inbox),
                None => return,
            },
            _ = tick.tick() => {
                control.handle_input(Input::Tick);
                control.check_invariants();
            }
        }
        control.process_outputs();
        control.advance_shutdown();
    }
}

struct Control {
    shared: Shared,
    node: Node,
    outputs: Vec<Output>,
    /// Channels for decisions, by request ID.
    requests: HashMap<u64, mpsc::Sender<Decision>>,
    leases: BTreeMap<shard::Id, Lease>,
    outgoing: mpsc::Sender<Envelope>,
    backend_calls: mpsc::Sender<Output>,
    writes: mpsc::Sender<store::Write>,
    publish: watch::Sender<Arc<View>>,
    /// Version of the view that was published last.
    published_version: u64,
    /// Whether the node has handed over everything, so that the process may exit.
    drained: bool,
    /// Since when no request has been in flight, once drained.
    idle_since: Option<Instant>,
    invariants: Monitor,
}

impl Control {
    fn start(shared: &Shared, publish: watch::Sender<Arc<View>>) -> Option<Self> {
        let (outgoing, outgoing_inbox) = mpsc::channel(peer::CAPACITY);
        let (backend_calls, backend_call_inbox) = mpsc::channel(BACKEND_CALLS_CAPACITY);
        let (writes, write_inbox) = mpsc::channel(WRITES_CAPACITY);
        let client = backend::Client::new().ok()?;
        spawn_thread("exchange", peer::send(shared.clone(), outgoing_inbox))?;
        spawn_thread(
            "attend",
            backend::run_calls(shared.clone(), client, backend_call_inbox),
        )?;
        spawn_thread("keeper", store::run(shared.clone(), write_inbox))?;
        let settings = node::Settings {
            me: shared.me.clone(),
            entry: shared.host_entry(),
            policies: shared.policies.clone(),
            no_regrant_wait: shared.seeded_fault == crate::seeded_fault::SeededFault::NoRegrantWait,
            resend_after_first_byte: shared.seeded_fault
                == crate::seeded_fault::SeededFault::ResendAfterFirstByte,
        };
        Some(Self {
            shared: shared.clone(),
            node: Node::new(settings, shared.clock.now()),
            outputs: Vec::new(),
            requests: HashMap::new(),
            leases: BTreeMap::new(),
            outgoing,
            backend_calls,
            writes,
            publish,
            published_version: 0,
            drained: false,
            idle_since: None,
            invariants: Monitor::default(),
        })
    }

    fn handle_batch(&mut self, first: Command, inbox: &mut mpsc::Receiver<Command>) {
        self.handle(first);
        for _ in 1..MAX_BATCH {
            let Ok(command) = inbox.try_recv() else {
                return;
            };
            self.handle(command);
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Input(input) => self.handle_input(input),
            Command::Submit {
                submission,
                decisions,
            } => {
                self.requests.insert(submission.id, decisions);
                self.handle_input(Input::Submit(submission));
            }
            Command::Query { query, response } => {
                let _ = response.send(self.node.query(self.shared.clock.now(), &query.into()));
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        let ended = match &input {
            Input::Ended {
                id,
                ending: Ending::Served | Ending::Truncated,
            }
            | Input::Cancelled { id } => Some(*id),
            _ => None,
        };
        self.node
            .handle(self.shared.clock.now(), input, &mut self.outputs);
        if let Some(id) = ended {
            self.requests.remove(&id);
        }
    }

    /// Executes all outputs and publishes the new view.
    fn process_outputs(&mut self) {
        self.renew_leases();
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.execute(output);
            }
        }
        self.publish();
    }

    /// Closes the connections and then stops the process, once its shards are handed over and it
    /// has been without requests for long enough.
    fn advance_shutdown(&mut self) {
        if !self.drained {
            return;
        }
        let now = self.shared.clock.monotonic();
        if self
            .shared
            .in_flight
            .load(std::sync::atomic::Ordering::Acquire)
            > 0
        {
            self.idle_since = None;
            return;
        }
        let since = *self.idle_since.get_or_insert(now);
        if now.since(since) >= CLOSE_DELAY {
            self.shared.close.cancel();
        }
        if now.since(since) >= STOP_DELAY {
            self.shared.stop.cancel();
        }
    }

    /// Records new invariant violations in the timeline.
    fn check_invariants(&mut self) {
        let now = self.shared.clock.now();
        if now.at < self.invariants.next_check {
            return;
        }
        self.invariants.next_check = now.at + INVARIANTS_INTERVAL;
        let status = self.node.query(now, &node::Query::Status);
        for draft in self.invariants.compare(&status["invariants"]) {
            self.shared.record(draft);
        }
    }

    fn renew_leases(&mut self) {
        for (shard, until) in self.node.leases() {
            self.leases.entry(shard.clone()).or_default().set(until);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                if self.outgoing.try_send(Envelope { to, message }).is_err() {
                    self.shared.metrics.frame_dropped();
                }
            }
            Output::Write {
                shard,
                if_version,
                record,
            } => {
                let write = store::Write {
                    shard,
                    if_version,
                    record: *record,
                };
                if let Err(error) = self.writes.try_send(write) {
                    let write = error.into_inner();
                    self.handle_input(Input::WriteEnded {
                        shard: write.shard,
                        result: tarragon_node::input::WriteOutcome::Failed,
                    });
                }
            }
            Output::Dispatch { id, attempt } => self.dispatch(id, attempt),
            Output::Refuse {
                id,
                outcome,
                reason,
                status,
            } => {
                if let Some(decisions) = self.requests.remove(&id) {
                    let _ = decisions.try_send(Decision::Refuse {
                        outcome,
                        reason,
                        status,
                    });
                }
            }
            Output::Abort { id } => {
                if let Some(decisions) = self.requests.get(&id) {
                    let _ = decisions.try_send(Decision::Abort);
                }
            }
            call @ (Output::Probe { .. } | Output::Grant { .. }) => {
                let _ = self.backend_calls.try_send(call);
            }
            Output::Event(draft) => self.shared.record(draft),
            Output::Drained => self.drained = true,
        }
    }

    /// Passes a dispatch decision to the request; reports the attempt as not sent if the request no
    /// longer listens.
    fn dispatch(&mut self, id: u64, attempt: Attempt) {
        let lease = self.leases.get(&attempt.shard).cloned().unwrap_or_default();
        let sent = self.requests.get(&id).is_some_and(|decisions| {
            decisions
                .try_send(Decision::Dispatch { attempt, lease })
                .is_ok()
        });
        if !sent {
            self.requests.remove(&id);
            self.handle_input(Input::Ended {
                id,
                ending: Ending::NotSent,
            });
        }
    }

    /// Publishes a view if the node has changed since the last one.
    fn publish(&mut self) {
        let version = self.node.view_version();
        if version == self.published_version {
            return;
        }
        self.published_version = version;
        let routes = self.node.routes().map(|(shard, route)| {
            let route = match route {
                node::Route::Local => Route::Local,
                node::Route::Remote(addr) => Route::Remote(addr),
            };
            (shard.clone(), route)
        });
        let view = View {
            config: self.node.config(),
            config_version: self.node.config_version(),
            routes: routes.collect(),
            ready: self.node.is_ready(),
            draining: self.shared.drain.is_cancelled(),
        };
        let _ = self.publish.send(Arc::new(view));
    }
}

impl From<Query> for node::Query {
    fn from(query: Query) -> Self {
        match query {
            Query::Shards => Self::Shards,
            Query::Status => Self::Status,
            Query::Explain { service, key } => Self::Explain { service, key },
        }
    }
}

fn spawn_thread<F>(name: &'static str, work: F) -> Option<()>
where
    F: std::future::Future<Output = ()> + Send + 'static,
{
    let spawned = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            match tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            {
                Ok(runtime) => runtime.block_on(work),
                Err(error) => log::error!("event=duty-failed duty={name} error=\"{error}\""),
            }
        });
    spawned.ok().map(|_| ())
}
