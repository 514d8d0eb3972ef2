//! The control duty: one thread that owns the decisions and carries out what they ask for.

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
use crate::invariants::Invariants;
use crate::keeper;
use crate::peer::{self, Parcel};
use crate::shared::Shared;
use crate::view::{Lease, Route, View};

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(5);
/// Commands handled before outputs are carried out.
const BATCH: usize = 256;
/// Probes and grants that may wait to be sent.
const ORDERS_CAPACITY: usize = 4_096;
/// Updates of records that may wait to be sent.
const WRITES_CAPACITY: usize = 1_024;
/// Decisions that may wait for one request.
const DECISIONS_CAPACITY: usize = 8;

/// Time without requests after which a leaving process closes its connections.
const CLOSE_AFTER: Duration = Duration::from_millis(300);
/// Time without requests after which a leaving process ends: the server takes two seconds to
/// close idle connections.
const STOP_AFTER: Duration = Duration::from_secs(3);

/// Pause between two looks at the invariants that were found broken.
const INVARIANTS_PAUSE: Duration = Duration::from_secs(1);

/// Something for the control duty.
#[derive(Debug)]
pub enum Command {
    /// Something happened.
    Input(Input),
    /// A caller's request, and where to send the decisions on it.
    Submit {
        /// The request.
        submission: Submission,
        /// Receives the decisions.
        decisions: mpsc::Sender<Decision>,
    },
    /// An operator's question.
    Ask {
        /// The question.
        question: Question,
        /// Receives the answer.
        answer: oneshot::Sender<serde_json::Value>,
    },
}

/// An operator's question.
#[derive(Clone, Debug)]
pub enum Question {
    /// The shards as this process knows them.
    Shards,
    /// The state of this process.
    Status,
    /// Who owns a key, and why.
    Explain {
        /// Service of the key.
        service: String,
        /// The key.
        key: String,
    },
}

/// What is to become of a request.
#[derive(Debug)]
pub enum Decision {
    /// Hand it to a backend server, provided that the lease holds at the last moment.
    Dispatch {
        /// Where to.
        order: Attempt,
        /// The lease to check.
        lease: Lease,
    },
    /// Answer it.
    Refuse {
        /// The request's fate.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Status of the first run of a request that was already done.
        status: Option<u16>,
    },
    /// Give it up.
    Abort,
}

/// Creates the channel for the decisions on one request.
#[must_use]
pub fn decisions() -> (mpsc::Sender<Decision>, mpsc::Receiver<Decision>) {
    mpsc::channel(DECISIONS_CAPACITY)
}

/// Starts the control duty on a thread of its own.
///
/// # Errors
///
/// Fails when the thread cannot be started.
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
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut draining = false;
    loop {
        tokio::select! {
            () = shared.stop.cancelled() => return,
            () = shared.drain.cancelled(), if !draining => {
                draining = true;
                control.input(Input::Drain);
            }
            command = inbox.recv() => match command {
                Some(command) => control.batch(command, &mut inbox),
                None => return,
            },
            _ = tick.tick() => {
                control.input(Input::Tick);
                control.watch_invariants();
            }
        }
        control.settle();
        control.finish();
    }
}

struct Control {
    shared: Shared,
    node: Node,
    outputs: Vec<Output>,
    requests: HashMap<u64, mpsc::Sender<Decision>>,
    leases: BTreeMap<shard::Id, Lease>,
    parcels: mpsc::Sender<Parcel>,
    orders: mpsc::Sender<Output>,
    writes: mpsc::Sender<keeper::Write>,
    publish: watch::Sender<Arc<View>>,
    published: u64,
    drained: bool,
    idle_since: Option<Instant>,
    invariants: Invariants,
}

impl Control {
    fn start(shared: &Shared, publish: watch::Sender<Arc<View>>) -> Option<Self> {
        let (parcels, parcel_inbox) = mpsc::channel(peer::CAPACITY);
        let (orders, order_inbox) = mpsc::channel(ORDERS_CAPACITY);
        let (writes, write_inbox) = mpsc::channel(WRITES_CAPACITY);
        let client = backend::Client::new().ok()?;
        spawn_helper("exchange", peer::send(shared.clone(), parcel_inbox))?;
        spawn_helper(
            "attend",
            backend::attend(shared.clone(), client, order_inbox),
        )?;
        spawn_helper("keeper", keeper::run(shared.clone(), write_inbox))?;
        let settings = node::Settings {
            me: shared.me.clone(),
            entry: shared.entry(),
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
            parcels,
            orders,
            writes,
            publish,
            published: 0,
            drained: false,
            idle_since: None,
            invariants: Invariants::default(),
        })
    }

    fn batch(&mut self, first: Command, inbox: &mut mpsc::Receiver<Command>) {
        self.command(first);
        for _ in 1..BATCH {
            let Ok(command) = inbox.try_recv() else {
                return;
            };
            self.command(command);
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Input(input) => self.input(input),
            Command::Submit {
                submission,
                decisions,
            } => {
                self.requests.insert(submission.id, decisions);
                self.input(Input::Submit(submission));
            }
            Command::Ask { question, answer } => {
                let _ = answer.send(self.node.query(self.shared.clock.now(), &question.into()));
            }
        }
    }

    fn input(&mut self, input: Input) {
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

    /// Carries out all outputs and makes the new state known.
    fn settle(&mut self) {
        self.renew_leases();
        while !self.outputs.is_empty() {
            for output in std::mem::take(&mut self.outputs) {
                self.carry_out(output);
            }
        }
        self.publish();
    }

    /// Ends the process in steps, once its duties are handed over and its requests answered.
    fn finish(&mut self) {
        if !self.drained {
            return;
        }
        let now = self.shared.clock.at();
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
        if now.since(since) >= CLOSE_AFTER {
            self.shared.close.cancel();
        }
        if now.since(since) >= STOP_AFTER {
            self.shared.stop.cancel();
        }
    }

    /// Puts each invariant that was newly found broken into the time line.
    fn watch_invariants(&mut self) {
        let now = self.shared.clock.now();
        if now.at < self.invariants.due {
            return;
        }
        self.invariants.due = now.at + INVARIANTS_PAUSE;
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

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => {
                if self.parcels.try_send(Parcel { to, message }).is_err() {
                    self.shared.metrics.frame_dropped();
                }
            }
            Output::Write {
                shard,
                if_version,
                record,
            } => {
                let write = keeper::Write {
                    shard,
                    if_version,
                    record: *record,
                };
                if let Err(error) = self.writes.try_send(write) {
                    let write = error.into_inner();
                    self.input(Input::WriteEnded {
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
            order @ (Output::Probe { .. } | Output::Grant { .. }) => {
                let _ = self.orders.try_send(order);
            }
            Output::Event(draft) => self.shared.record(draft),
            Output::Drained => self.drained = true,
        }
    }

    fn dispatch(&mut self, id: u64, order: Attempt) {
        let lease = self.leases.get(&order.shard).cloned().unwrap_or_default();
        let sent = self.requests.get(&id).is_some_and(|decisions| {
            decisions
                .try_send(Decision::Dispatch { order, lease })
                .is_ok()
        });
        if !sent {
            self.requests.remove(&id);
            self.input(Input::Ended {
                id,
                ending: Ending::NotSent,
            });
        }
    }

    fn publish(&mut self) {
        let version = self.node.view_version();
        if version == self.published {
            return;
        }
        self.published = version;
        let routes = self.node.routes().map(|(shard, route)| {
            let route = match route {
                node::Route::Local => Route::Here,
                node::Route::Remote(addr) => Route::There(addr),
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

impl From<Question> for node::Query {
    fn from(question: Question) -> Self {
        match question {
            Question::Shards => Self::Shards,
            Question::Status => Self::Status,
            Question::Explain { service, key } => Self::Explain { service, key },
        }
    }
}

fn spawn_helper<F>(name: &'static str, work: F) -> Option<()>
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
