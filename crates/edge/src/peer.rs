//! Links between hosts: one WebSocket per link, one CBOR-encoded [`Frame`] per message.
//!
//! Every host keeps a link to the granter. A host whose calls the store rejects or leaves
//! unanswered receives cluster state from another host over such a link.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tarragon_dispatch::admission::{self, Share};
use tarragon_dispatch::evacuation::Set;
use tarragon_store::object::{List, Object};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::cluster::Delta;
use crate::keys::{Map, Patch};
use crate::pool;
use crate::state::State;

/// Maximum number of frames queued for a link. Further ones are dropped, since later frames repeat
/// their content.
const QUEUED_FRAMES: usize = 64;
/// Timeout for establishing a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Message between two hosts.
///
/// Hosts of the previous build exchange it too, so variants and fields keep their serialized names.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// Introduces the sender; the first frame of each side.
    Hello {
        /// Name of the host.
        host: String,
        /// Incarnation number of its process.
        incarnation: u64,
    },
    /// Heartbeat of the granter.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Version of the granter's election record in the store.
        #[serde(rename = "office")]
        record_version: u64,
        /// Clock of the granter when it sends the frame, in microseconds.
        sent_us: u64,
        /// Number of hosts that serve requests.
        hosts: u32,
        /// Largest CPU share of any host, in cores.
        #[serde(rename = "strongest")]
        max_cores: f64,
        /// Time since the store last confirmed the granter's cluster state, in milliseconds.
        #[serde(rename = "facts_age_ms")]
        state_age_ms: u64,
        /// Revision of its catalog.
        catalog: u64,
        /// Revision up to which it knows the entries of backend servers.
        entries: u64,
        /// Revision of the latest change of an entry.
        changed: u64,
        /// Zones under evacuation, if the sender knows them.
        #[serde(default)]
        evacuations: Option<Box<Set>>,
        /// Admitted shares of services that are short of capacity.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        shares: Vec<Share>,
    },
    /// Another process has won the granter election; an earlier granter has to step down.
    #[serde(rename = "Office")]
    Elected {
        /// Version of the new granter's election record in the store.
        #[serde(rename = "version")]
        record_version: u64,
        /// Control address of the new granter.
        address: SocketAddr,
    },
    /// The sender is not the granter under any version of the election record before this one.
    #[serde(rename = "Yielded")]
    SteppedDown {
        /// Version of the election record that the new granter announced.
        #[serde(rename = "version")]
        record_version: u64,
    },
    /// Complete key map of a service.
    Keys {
        /// Name of the service.
        service: String,
        /// Key map.
        map: Map,
    },
    /// Change of the key map of a service.
    KeysPatch {
        /// Name of the service.
        service: String,
        /// Difference from the previous map.
        patch: Patch,
    },
    /// Requests all key maps from the granter.
    #[serde(rename = "AskKeys")]
    KeysRequest,
    /// Periodic report of a host to the granter.
    Report {
        /// `sent_us` of the latest heartbeat, which this report acknowledges.
        #[serde(rename = "beat_us")]
        heartbeat_us: u64,
        /// CPU share of the host, in cores.
        cores: f64,
        /// Number of requests for each key since the last report, by service.
        traffic: Vec<(String, Vec<(u16, u32)>)>,
        /// Backend server, number of requests that it served since the last report, and the sum of
        /// their durations in milliseconds.
        served: Vec<(String, u32, f32)>,
        /// Fingerprints of requests that crashed a backend server, with its process.
        crashes: Vec<(u64, String)>,
        /// Clock of the host when it sends the report, in microseconds; 0 from hosts of the
        /// previous build and from hosts that take no shares.
        #[serde(default)]
        clock_us: u64,
        /// Failure domain of the host; empty from hosts of the previous build.
        #[serde(default)]
        zone: String,
        /// Requests to services without keys, and the load of their servers.
        #[serde(default)]
        overload: admission::Report,
    },
    /// Response of the granter to a report: the cold backend servers that the host may send to.
    WarmupShares {
        /// `clock_us` of the report.
        clock_us: u64,
        /// Identifier of each server, start time of its process in milliseconds since the Unix
        /// epoch, and requests per second that it bears.
        shares: Vec<(String, u64, f64)>,
    },
    /// Requests that crashed a backend server, broadcast to all hosts.
    Crashes {
        /// Fingerprint of the request and process of the backend server.
        crashes: Vec<(u64, String)>,
    },
    /// Requests cluster state later than these revisions; sent by a host that lacks updates, for
    /// example because it cannot reach the store.
    #[serde(rename = "Ask")]
    StateRequest {
        /// Revision of its catalog.
        catalog: u64,
        /// Revision up to which it knows the entries of backend servers.
        entries: u64,
        /// Revision of the zones under evacuation, if it knows them.
        #[serde(default)]
        evacuations: Option<u64>,
        /// Versions of the key maps that it knows, by service.
        keys: Vec<(String, (u64, u64))>,
    },
    /// Change of the cluster state that the granter received from the store.
    #[serde(rename = "News")]
    StateDelta(Delta),
    /// Cluster state that the sender received from the store.
    #[serde(rename = "Facts")]
    StateSnapshot {
        /// Catalog, if it is later than requested.
        catalog: Option<Object>,
        /// All entries of backend servers, if they are later than requested.
        entries: Option<List>,
        /// Time for which entries that it lacks may still come back, in milliseconds.
        #[serde(default)]
        grace_ms: u64,
        /// Zones under evacuation, if they are later than requested.
        #[serde(default)]
        evacuations: Option<Box<Set>>,
    },
}

/// Event on a link.
#[derive(Debug)]
pub enum Event {
    /// The other host has introduced itself on the link.
    Up {
        /// Number of the link.
        link: u64,
        /// Name of the other host.
        host: String,
        /// Incarnation number of its process.
        incarnation: u64,
    },
    /// A frame was received.
    Frame {
        /// Number of the link.
        link: u64,
        /// Received frame.
        frame: Frame,
    },
    /// The link has ended or could not be established.
    Down {
        /// Number of the link.
        link: u64,
        /// Cause.
        reason: String,
    },
}

impl Frame {
    /// Returns the name of the frame in metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Hello { .. } => "hello",
            Self::Heartbeat { .. } => "beat",
            Self::Elected { .. } => "office",
            Self::SteppedDown { .. } => "yielded",
            Self::Keys { .. } => "keys",
            Self::KeysPatch { .. } => "keys-patch",
            Self::KeysRequest => "ask-keys",
            Self::Report { .. } => "report",
            Self::WarmupShares { .. } => "warmup-shares",
            Self::Crashes { .. } => "crashes",
            Self::StateRequest { .. } => "ask",
            Self::StateDelta(_) => "news",
            Self::StateSnapshot { .. } => "facts",
        }
    }
}

/// Links of one host to other hosts.
pub struct Links {
    state: Rc<State>,
    hello: Frame,
    senders: RefCell<HashMap<u64, Sender<Message>>>,
    events: Sender<Event>,
    next_link: Cell<u64>,
}

impl Links {
    /// Creates an empty set of links, whose events are sent to `events`.
    #[must_use]
    pub fn new(state: Rc<State>, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            hello: Frame::Hello {
                host: state.settings.host.clone(),
                incarnation: state.incarnation,
            },
            state,
            senders: RefCell::default(),
            events,
            next_link: Cell::new(1),
        })
    }

    /// Accepts links from other hosts until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let links = Rc::clone(&self);
                    let link = links.next_id();
                    tokio::task::spawn_local(async move { links.accept(link, stream).await });
                }
                Err(error) => {
                    log::warn!("event=accept-failed listener=control error=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Connects to a host in the background and returns the number of the new link.
    pub fn dial(self: &Rc<Self>, address: SocketAddr) -> u64 {
        let link = self.next_id();
        let links = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
            match connected {
                Ok(Ok(socket)) => links.run(link, socket).await,
                Ok(Err(text)) => links.report_down(link, text).await,
                Err(_) => links.report_down(link, "timeout".to_owned()).await,
            }
        });
        link
    }

    /// Queues a frame for a link; drops it if the link is down or its queue is full.
    pub fn send(&self, link: u64, frame: &Frame) {
        if let Some(message) = encode(frame) {
            self.enqueue(link, frame.name(), message);
        }
    }

    /// Queues a frame for every link.
    pub fn broadcast(&self, frame: &Frame) {
        let Some(message) = encode(frame) else {
            return;
        };
        let all: Vec<u64> = self.senders.borrow().keys().copied().collect();
        for link in all {
            self.enqueue(link, frame.name(), message.clone());
        }
    }

    /// Closes a link.
    pub fn close(&self, link: u64) {
        self.senders.borrow_mut().remove(&link);
    }

    fn enqueue(&self, link: u64, name: &'static str, message: Message) {
        let bytes = message.len();
        let Some(sent) = self
            .senders
            .borrow()
            .get(&link)
            .map(|sender| sender.try_send(message))
        else {
            return;
        };
        match sent {
            Ok(()) => self.state.metrics.count_frame_bytes(name, bytes),
            Err(_) => log::debug!("event=frame-dropped link={link} frame={name}"),
        }
    }

    fn next_id(&self) -> u64 {
        let number = self.next_link.get();
        self.next_link.set(number + 1);
        number
    }

    async fn accept(&self, link: u64, stream: TcpStream) {
        pool::set_peer_options(&stream);
        let accepted =
            tokio::time::timeout(CONNECT_TIMEOUT, tokio_tungstenite::accept_async(stream));
        match accepted.await {
            Ok(Ok(socket)) => self.run(link, socket).await,
            Ok(Err(error)) => log::debug!("event=link-accept-failed error=\"{error}\""),
            Err(_) => log::debug!("event=link-accept-failed error=timeout"),
        }
    }

    async fn run<S>(&self, link: u64, socket: WebSocketStream<S>)
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let (sender, queue) = mpsc::channel(QUEUED_FRAMES);
        if let Some(hello) = encode(&self.hello) {
            // The queue is empty, so the first frame always fits.
            let _ = sender.try_send(hello);
        }
        self.senders.borrow_mut().insert(link, sender);
        let reason = self.exchange(link, socket, queue).await;
        self.senders.borrow_mut().remove(&link);
        self.report_down(link, reason).await;
    }

    /// Sends queued frames and receives frames until the link ends; returns the cause.
    async fn exchange<S>(
        &self,
        link: u64,
        socket: WebSocketStream<S>,
        mut queue: Receiver<Message>,
    ) -> String
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let (mut sink, mut stream) = socket.split();
        let write = async {
            while let Some(message) = queue.recv().await {
                if let Err(error) = sink.send(message).await {
                    return error.to_string();
                }
            }
            "closed here".to_owned()
        };
        let read = async {
            loop {
                match stream.next().await {
                    None => return "closed by peer".to_owned(),
                    Some(Err(error)) => return error.to_string(),
                    Some(Ok(Message::Binary(bytes))) => match decode(&bytes) {
                        Ok(frame) => self.handle_frame(link, frame).await,
                        // Another build may send frames that this one does not know.
                        Err(text) => {
                            log::warn!("event=frame-unreadable link={link} error=\"{text}\"");
                        }
                    },
                    Some(Ok(_)) => {}
                }
            }
        };
        tokio::select! {
            reason = write => reason,
            reason = read => reason,
        }
    }

    async fn handle_frame(&self, link: u64, frame: Frame) {
        let event = match frame {
            Frame::Hello { host, incarnation } => Event::Up {
                link,
                host,
                incarnation,
            },
            frame => Event::Frame { link, frame },
        };
        self.emit(event).await;
    }

    async fn report_down(&self, link: u64, reason: String) {
        self.emit(Event::Down { link, reason }).await;
    }

    async fn emit(&self, event: Event) {
        if self.events.send(event).await.is_err() {
            log::debug!("event=link-event-lost reason=\"process ends\"");
        }
    }
}

async fn connect(address: SocketAddr) -> Result<WebSocketStream<TcpStream>, String> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| error.to_string())?;
    pool::set_peer_options(&stream);
    let url = format!("ws://{address}/");
    let connected = tokio_tungstenite::client_async(url, stream).await;
    connected
        .map(|(socket, _)| socket)
        .map_err(|error| error.to_string())
}

fn encode(frame: &Frame) -> Option<Message> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(frame, &mut bytes) {
        Ok(()) => Some(Message::Binary(bytes.into())),
        Err(error) => {
            log::error!("event=frame-encode-failed error=\"{error}\"");
            None
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Frame, String> {
    ciborium::from_reader(bytes).map_err(|error| format!("unreadable frame: {error}"))
}
