//! Which earlier granters count as stopped, and on whose word.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use common::state;
use common::store::Store;
use serde_json::{Value, json};
use tarragon_edge::cluster::Cache;
use tarragon_edge::election;
use tarragon_edge::peer::{Event, Frame, Links};
use tarragon_edge::state::State;
use tarragon_store::api::{Api, ResponseFuture};
use tarragon_store::object::{Changes, Key, List, Object, Version};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

const KEY: Key<'static> = Key {
    kind: "tarragon-offices",
    name: "granter",
};
/// Link on which tests put frames of a host that has no connection.
const LINK: u64 = 1_000;

/// Store whose responses to writes are late.
struct SlowStore {
    store: Store,
    delay_ms: AtomicU64,
}

impl SlowStore {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            store: Store::new(),
            delay_ms: AtomicU64::new(0),
        })
    }

    fn delay_writes(&self, delay: Duration) {
        let delay = u64::try_from(delay.as_millis()).unwrap();
        self.delay_ms.store(delay, Ordering::SeqCst);
    }

    async fn record(&self) -> Option<(Version, Value)> {
        let object = self.store.get(KEY, &CancellationToken::new()).await.ok()?;
        Some((object.version, object.value))
    }

    /// Writes a record that names a process, over the present one.
    async fn name_granter(&self, process: &Process, vacant: bool) -> u64 {
        let expected = self.record().await.map_or(Version::ABSENT, |known| known.0);
        let record = json!({
            "token": rand::random::<u64>().to_string(),
            "host": process.host,
            "address": process.address,
            "incarnation": process.incarnation,
            "vacant": vacant,
            "voters": [format!("{}/{}", process.host, process.incarnation)],
        });
        let stop = CancellationToken::new();
        let written = self.store.put(KEY, expected, &record, &stop).await;
        written.unwrap().0
    }

    /// Returns the hosts that the record names as earlier granters.
    async fn predecessors(&self) -> Vec<String> {
        let (_, record) = self.record().await.unwrap();
        let former = record["former"].as_array().unwrap();
        let host = |process: &Value| process["host"].as_str().unwrap().to_owned();
        former.iter().map(host).collect()
    }
}

impl Api for SlowStore {
    fn get<'a>(&'a self, key: Key<'a>, stop: &'a CancellationToken) -> ResponseFuture<'a, Object> {
        self.store.get(key, stop)
    }

    fn list<'a>(&'a self, kind: &'a str, stop: &'a CancellationToken) -> ResponseFuture<'a, List> {
        self.store.list(kind, stop)
    }

    fn put<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        value: &'a Value,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, Version> {
        let delay = Duration::from_millis(self.delay_ms.load(Ordering::SeqCst));
        Box::pin(async move {
            let response = self.store.put(key, expected, value, stop).await;
            sleep(delay).await;
            response
        })
    }

    fn delete<'a>(
        &'a self,
        key: Key<'a>,
        expected: Version,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, ()> {
        self.store.delete(key, expected, stop)
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: Version,
        wait: Duration,
        stop: &'a CancellationToken,
    ) -> ResponseFuture<'a, Changes> {
        self.store.watch(kind, after, wait, stop)
    }
}

/// Process of another host.
struct Process {
    host: &'static str,
    incarnation: u64,
    address: SocketAddr,
}

/// Host under test.
struct Host {
    state: Rc<State>,
    events: Sender<Event>,
    cluster: Rc<Cache>,
}

impl Host {
    fn start(store: Rc<SlowStore>) -> Self {
        let state = Rc::new(state());
        let (events, incoming) = mpsc::channel(16);
        let links = Links::new(state.clone(), events.clone());
        let cluster = Rc::new(Cache::default());
        let election = election::run(state.clone(), cluster.clone(), links, store, incoming);
        tokio::task::spawn_local(election);
        Self {
            state,
            events,
            cluster,
        }
    }

    async fn receive(&self, frame: Frame) {
        let event = Event::Frame { link: LINK, frame };
        self.events.send(event).await.unwrap();
    }

    async fn is_granter_within(&self, time: Duration) -> bool {
        let elected = async {
            while !self.state.is_granter.get() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(time, elected).await.is_ok()
    }
}

/// Other end of the links to a host.
struct Peer {
    links: Rc<Links>,
    events: Receiver<Event>,
    address: SocketAddr,
}

impl Peer {
    async fn start(host: &str, incarnation: u64) -> Self {
        let mut state = state();
        state.settings.host = host.to_owned();
        state.incarnation = incarnation;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (events, incoming) = mpsc::channel(256);
        let links = Links::new(Rc::new(state), events);
        tokio::task::spawn_local(links.clone().serve(listener));
        Self {
            links,
            events: incoming,
            address,
        }
    }

    /// Waits until the host announces its term; returns the link and the record's version.
    async fn announcement(&mut self) -> (u64, u64) {
        loop {
            let event = timeout(Duration::from_secs(5), self.events.recv()).await;
            if let Event::Frame {
                link,
                frame: Frame::Elected { record_version, .. },
            } = event.expect("an announcement").unwrap()
            {
                return (link, record_version);
            }
        }
    }
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn heartbeat(record_version: u64) -> Frame {
    Frame::Heartbeat {
        record_version,
        sent_us: 1,
        hosts: 2,
        max_cores: 0.2,
        state_age_ms: 0,
        catalog: 0,
        entries: 0,
        changed: 0,
        evacuations: None,
        shares: Vec::new(),
    }
}

/// Runs a host whose claim is answered after a later granter has told it of its term.
async fn claim_answered_late(frame: impl Fn(u64) -> Frame) {
    let store = SlowStore::new();
    store.delay_writes(Duration::from_millis(600));
    let host = Host::start(store.clone());
    while store.record().await.is_none() {
        sleep(Duration::from_millis(5)).await;
    }
    let later = Process {
        host: "later",
        incarnation: 7,
        address: address(),
    };
    let version = store.name_granter(&later, false).await;
    host.receive(frame(version)).await;
    let elected = host.is_granter_within(Duration::from_secs(1)).await;
    host.state.stop.cancel();
    assert!(!elected, "the claim is older than the term it was told of");
}

macro_rules! late_claim {
    ($($name:ident: $frame:expr;)*) => {$(
        /// Guards against a granter that another one had counted as stopped before its election.
        #[tokio::test]
        async fn $name() {
            LocalSet::new().run_until(claim_answered_late($frame)).await;
        }
    )*};
}

late_claim! {
    a_claim_answered_after_a_later_announcement_is_void:
        |record_version| Frame::Elected { record_version, address: address() };
    a_claim_answered_after_a_later_heartbeat_is_void: heartbeat;
}

/// Guards against a lower version of the record, and other voters than the store has, by a response
/// to a renewal of an earlier term of the host.
#[tokio::test]
async fn a_renewal_answered_in_a_later_term_changes_nothing() {
    let test = async {
        let mut peer = Peer::start("later", 7).await;
        let store = SlowStore::new();
        let host = Host::start(store.clone());
        assert!(host.is_granter_within(Duration::from_secs(1)).await);
        let (term, _) = store.record().await.unwrap();
        store.delay_writes(Duration::from_secs(2));
        while store.record().await.unwrap().0 == term {
            sleep(Duration::from_millis(5)).await;
        }
        store.delay_writes(Duration::ZERO);
        let later = Process {
            host: "later",
            incarnation: 7,
            address: peer.address,
        };
        let record_version = store.name_granter(&later, true).await;
        let address = peer.address;
        host.receive(Frame::Elected {
            record_version,
            address,
        })
        .await;
        sleep(Duration::from_secs(3)).await;
        host.state.stop.cancel();
        let mut versions = Vec::new();
        while let Ok(event) = peer.events.try_recv() {
            if let Event::Frame {
                frame: Frame::Heartbeat { record_version, .. },
                ..
            } = event
            {
                versions.push(record_version);
            }
        }
        assert!(versions.len() > 8 && versions[0] > record_version);
        assert!(versions.is_sorted(), "{versions:?}");
    };
    LocalSet::new().run_until(test).await;
}

/// Process that holds a link to a new granter, and what it says of the process that the granter
/// replaced, the incarnation 7 of the host `former`.
struct Claim {
    host: &'static str,
    incarnation: u64,
    /// Version up to which it says that it has stepped down, for the granter's term.
    stepped_down: Option<fn(u64) -> u64>,
}

/// Returns whether a granter no longer counts the replaced process as able to send commands.
async fn is_dropped(claim: Claim) -> bool {
    let mut peer = Peer::start(claim.host, claim.incarnation).await;
    let store = SlowStore::new();
    let former = Process {
        host: "former",
        incarnation: 7,
        address: peer.address,
    };
    store.name_granter(&former, false).await;
    let host = Host::start(store.clone());
    assert!(host.is_granter_within(Duration::from_secs(4)).await);
    let (link, term) = peer.announcement().await;
    if let Some(version) = claim.stepped_down {
        let record_version = version(term);
        let frame = Frame::SteppedDown { record_version };
        peer.links.send(link, &frame);
    }
    // The next renewal writes the list anew.
    sleep(Duration::from_millis(1_600)).await;
    host.state.stop.cancel();
    store.predecessors().await.is_empty()
}

macro_rules! predecessor {
    ($($name:ident: $expected:literal, $claim:expr;)*) => {$(
        /// Guards against a granter that counts as the only one on another process's word, or on an
        /// old one.
        #[tokio::test]
        async fn $name() {
            let dropped = LocalSet::new().run_until(is_dropped($claim)).await;
            assert_eq!(dropped, $expected);
        }
    )*};
}

predecessor! {
    a_predecessor_that_says_nothing_remains: false,
        Claim { host: "former", incarnation: 7, stepped_down: None };
    a_predecessor_that_stepped_down_is_dropped: true,
        Claim { host: "former", incarnation: 7, stepped_down: Some(|term| term) };
    a_predecessor_that_stepped_down_before_an_earlier_term_remains: false,
        Claim { host: "former", incarnation: 7, stepped_down: Some(|term| term - 1) };
    a_predecessor_whose_address_another_host_uses_remains: false,
        Claim { host: "other", incarnation: 9, stepped_down: Some(|term| term) };
    a_predecessor_with_a_later_process_is_dropped: true,
        Claim { host: "former", incarnation: 8, stepped_down: None };
    a_predecessor_restarted_after_the_clock_was_set_back_is_dropped: true,
        Claim { host: "former", incarnation: 6, stepped_down: None };
}

/// Guards against a granter that takes a late event of an earlier process for the end of a later one.
#[tokio::test]
async fn a_predecessor_remains_on_a_late_event_of_an_earlier_process() {
    let test = async {
        let store = SlowStore::new();
        let former = Process {
            host: "former",
            incarnation: 7,
            address: address(),
        };
        store.name_granter(&former, false).await;
        let host = Host::start(store.clone());
        assert!(host.is_granter_within(Duration::from_secs(4)).await);
        let late = Event::Up {
            link: LINK,
            host: "former".to_owned(),
            incarnation: 6,
        };
        host.events.send(late).await.unwrap();
        // The next renewal writes the list anew.
        sleep(Duration::from_millis(1_600)).await;
        host.state.stop.cancel();
        assert_eq!(store.predecessors().await, ["former"]);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a copy of the cluster state that counts as recent, as it was read late.
#[tokio::test]
async fn a_heartbeat_that_waits_in_the_host_ages() {
    const STALL: Duration = Duration::from_millis(1_500);
    let test = async {
        let store = SlowStore::new();
        let granter = Process {
            host: "granter",
            incarnation: 7,
            address: address(),
        };
        let version = store.name_granter(&granter, false).await;
        let host = Host::start(store.clone());
        host.receive(heartbeat(version)).await;
        sleep(Duration::from_millis(60)).await;
        let fresh = host.cluster.age(host.state.now());
        assert!(fresh < STALL / 2, "{fresh:?}");
        host.receive(heartbeat(version)).await;
        std::thread::sleep(STALL);
        sleep(Duration::from_millis(60)).await;
        host.state.stop.cancel();
        let age = host.cluster.age(host.state.now());
        assert!(age >= STALL, "{age:?}");
    };
    LocalSet::new().run_until(test).await;
}
