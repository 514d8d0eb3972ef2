//! Links between hosts: a WebSocket each, one CBOR frame a message.
//!
//! Every host keeps a link to the granter. What the store does not tell one host, because it is
//! turned away, another one tells it on such a link.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
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

/// Frames that wait for a link at most; more are dropped, as later ones tell the same anew.
const WAITING: usize = 64;
/// Time within which a link must be established.
const CONNECT_TIME: Duration = Duration::from_millis(800);

/// Message between two hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Frame {
    /// First frame of each side.
    Hello {
        /// Name of the host.
        host: String,
        /// Number of its process.
        incarnation: u64,
    },
    /// The granter is alive.
    #[serde(rename = "Beat")]
    Heartbeat {
        /// Version of its office in the store.
        #[serde(rename = "office")]
        term: u64,
        /// Clock of the granter as it sends this, in microseconds.
        sent_us: u64,
        /// Hosts that take requests.
        hosts: u32,
        /// Processor of the strongest host, in cores.
        #[serde(rename = "strongest")]
        max_cores: f64,
        /// Time since the store confirmed its facts, in milliseconds.
        #[serde(rename = "facts_age_ms")]
        state_age_ms: u64,
        /// Revision of its catalog.
        catalog: u64,
        /// Revision up to which it knows the backend servers.
        entries: u64,
        /// Revision of the latest change of a backend server's entry.
        changed: u64,
    },
    /// Another process has taken the granter's office; who grants is to stop.
    #[serde(rename = "Office")]
    Elected {
        /// Version of the office in the store.
        #[serde(rename = "version")]
        term: u64,
        /// Control address of the new granter.
        address: SocketAddr,
    },
    /// The sender grants nothing under any office before this version.
    #[serde(rename = "Yielded")]
    SteppedDown {
        /// Version of the office that was announced.
        #[serde(rename = "version")]
        term: u64,
    },
    /// Holders of a service's keys.
    Keys {
        /// Name of the service.
        service: String,
        /// The holders.
        map: Map,
    },
    /// What changed of the holders of a service's keys.
    KeysPatch {
        /// Name of the service.
        service: String,
        /// The changes.
        patch: Patch,
    },
    /// The sender lacks maps of keys.
    #[serde(rename = "AskKeys")]
    KeysRequest,
    /// What a host's requests tell the granter.
    Report {
        /// Clock of the granter as its latest beat told, in microseconds; this answers it.
        #[serde(rename = "beat_us")]
        heartbeat_us: u64,
        /// Processor of the host, in cores.
        cores: f64,
        /// Requests for each key since the last report, by service.
        traffic: Vec<(String, Vec<(u16, u32)>)>,
        /// Requests served since the last report and the sum of their times in milliseconds, by
        /// backend server.
        served: Vec<(String, u32, f32)>,
        /// Requests that crashed a backend server.
        crashes: Vec<(u64, String)>,
    },
    /// Requests that crashed a backend server, for all hosts.
    Crashes {
        /// Hash of the request and identifier of the backend server.
        crashes: Vec<(u64, String)>,
    },
    /// The sender cannot reach the store and asks for what is later than this.
    #[serde(rename = "Ask")]
    StateRequest {
        /// Revision of its catalog.
        catalog: u64,
        /// Revision up to which it knows the backend servers.
        entries: u64,
        /// Version of the map of keys that it knows, by service.
        keys: Vec<(String, (u64, u64))>,
    },
    /// What the store has just told the granter.
    #[serde(rename = "News")]
    StateDelta(Delta),
    /// What the store told the sender.
    #[serde(rename = "Facts")]
    StateSnapshot {
        /// The catalog, if it is later.
        catalog: Option<Object>,
        /// All entries of backend servers, if they are later.
        entries: Option<List>,
    },
}

/// What happens on links.
#[derive(Debug)]
pub enum Event {
    /// A link is up; its other end has said who it is.
    Up {
        /// Number of the link.
        link: u64,
        /// Name of the other host.
        host: String,
        /// Number of its process.
        incarnation: u64,
    },
    /// A frame came.
    Frame {
        /// Number of the link.
        link: u64,
        /// The frame.
        frame: Frame,
    },
    /// A link is down.
    Down {
        /// Number of the link.
        link: u64,
        /// What ended it.
        reason: String,
    },
}

impl Frame {
    /// Names the kind of the frame for metrics.
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
            Self::Crashes { .. } => "crashes",
            Self::StateRequest { .. } => "ask",
            Self::StateDelta(_) => "news",
            Self::StateSnapshot { .. } => "facts",
        }
    }
}

/// Links of one host.
pub struct Links {
    state: Rc<State>,
    me: Frame,
    senders: RefCell<HashMap<u64, Sender<Message>>>,
    events: Sender<Event>,
    next: Cell<u64>,
}

impl Links {
    /// Creates no links yet; events of those to come go to `events`.
    #[must_use]
    pub fn new(state: Rc<State>, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            me: Frame::Hello {
                host: state.settings.host.clone(),
                incarnation: state.incarnation,
            },
            state,
            senders: RefCell::default(),
            events,
            next: Cell::new(1),
        })
    }

    /// Takes links of other hosts until the process ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let links = Rc::clone(&self);
                    let link = links.number();
                    tokio::task::spawn_local(async move { links.answer(link, stream).await });
                }
                Err(error) => {
                    log::warn!("event=accept-failed listener=control error=\"{error}\"");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        }
    }

    /// Dials a host and returns the number that the link will have.
    pub fn dial(self: &Rc<Self>, address: SocketAddr) -> u64 {
        let link = self.number();
        let links = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let connected = tokio::time::timeout(CONNECT_TIME, connect(address)).await;
            match connected {
                Ok(Ok(socket)) => links.run(link, socket).await,
                Ok(Err(text)) => links.down(link, text).await,
                Err(_) => links.down(link, "timeout".to_owned()).await,
            }
        });
        link
    }

    /// Sends a frame on a link; it is dropped when the link is down or does not keep up.
    pub fn send(&self, link: u64, frame: &Frame) {
        if let Some(message) = encode(frame) {
            self.push(link, frame.name(), message);
        }
    }

    /// Sends a frame on every link.
    pub fn broadcast(&self, frame: &Frame) {
        let Some(message) = encode(frame) else {
            return;
        };
        let all: Vec<u64> = self.senders.borrow().keys().copied().collect();
        for link in all {
            self.push(link, frame.name(), message.clone());
        }
    }

    /// Ends a link.
    pub fn close(&self, link: u64) {
        self.senders.borrow_mut().remove(&link);
    }

    fn push(&self, link: u64, name: &'static str, message: Message) {
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

    fn number(&self) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        number
    }

    async fn answer(&self, link: u64, stream: TcpStream) {
        pool::set_peer_options(&stream);
        let accepted = tokio::time::timeout(CONNECT_TIME, tokio_tungstenite::accept_async(stream));
        match accepted.await {
            Ok(Ok(socket)) => self.run(link, socket).await,
            Ok(Err(error)) => log::debug!("event=link-refused error=\"{error}\""),
            Err(_) => log::debug!("event=link-refused error=timeout"),
        }
    }

    async fn run<S>(&self, link: u64, socket: WebSocketStream<S>)
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let (sender, waiting) = mpsc::channel(WAITING);
        if let Some(hello) = encode(&self.me) {
            // The ring is empty, so the first frame always fits.
            let _ = sender.try_send(hello);
        }
        self.senders.borrow_mut().insert(link, sender);
        let reason = self.exchange(link, socket, waiting).await;
        self.senders.borrow_mut().remove(&link);
        self.down(link, reason).await;
    }

    async fn exchange<S>(
        &self,
        link: u64,
        socket: WebSocketStream<S>,
        mut waiting: Receiver<Message>,
    ) -> String
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let (mut sink, mut stream) = socket.split();
        let write = async {
            while let Some(message) = waiting.recv().await {
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
                        Ok(frame) => self.take(link, frame).await,
                        Err(text) => return text,
                    },
                    Some(Ok(_)) => {}
                }
            }
        };
        tokio::select! { reason = write => reason, reason = read => reason, }
    }

    async fn take(&self, link: u64, frame: Frame) {
        let event = match frame {
            Frame::Hello { host, incarnation } => Event::Up {
                link,
                host,
                incarnation,
            },
            frame => Event::Frame { link, frame },
        };
        self.tell(event).await;
    }

    async fn down(&self, link: u64, reason: String) {
        self.tell(Event::Down { link, reason }).await;
    }

    async fn tell(&self, event: Event) {
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
            log::error!("event=frame-unwritable error=\"{error}\"");
            None
        }
    }
}

fn decode(bytes: &[u8]) -> Result<Frame, String> {
    ciborium::from_reader(bytes).map_err(|error| format!("unreadable frame: {error}"))
}
