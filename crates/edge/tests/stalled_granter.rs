//! Grants of a granter whose thread stalls, as on a host that is short of processor time.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::store::Store;
use common::{ALWAYS, entry_at, keyed_state};
use serde_json::Value;
use tarragon_dispatch::fleet::Entry;
use tarragon_edge::granting::Grants;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

/// Duration of a grant, by the clock of a backend server.
const GRANT_DURATION: Duration = Duration::from_secs(3);
/// Stall between the hand-over of a grant to its connection and the next turn of that connection.
const STALL: Duration = Duration::from_millis(2_600);
/// Stall after each tick while the host is slow; grants that wait for so long are withheld.
const SHORT_STALL: Duration = Duration::from_millis(200);
/// Time after which a grant is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(760);
const TIMEOUT: Duration = Duration::from_secs(15);

/// Times of the commands that reached a backend server.
#[derive(Clone, Default)]
struct Arrivals {
    grants: Arc<Mutex<Vec<Instant>>>,
    releases: Arc<Mutex<Vec<Instant>>>,
}

impl Arrivals {
    fn first_grant(&self) -> Option<Instant> {
        self.grants.lock().unwrap().first().copied()
    }

    fn last_grant(&self) -> Option<Instant> {
        self.grants.lock().unwrap().last().copied()
    }

    fn is_revoked(&self) -> bool {
        !self.releases.lock().unwrap().is_empty()
    }
}

/// Starts a backend server on threads of its own. It accepts grants, and never answers a release,
/// since requests for the keys are running.
fn backend() -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arrivals::default();
    let noted = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let noted = noted.clone();
            thread::spawn(move || serve(&mut stream.unwrap(), &noted));
        }
    });
    (address, arrivals)
}

fn serve(stream: &mut TcpStream, arrivals: &Arrivals) {
    while let Some(command) = read_command(stream) {
        let arrived = Instant::now();
        if command["grant"] != true {
            arrivals.releases.lock().unwrap().push(arrived);
            continue;
        }
        arrivals.grants.lock().unwrap().push(arrived);
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        if stream.write_all(response).is_err() {
            return;
        }
    }
}

/// Reads a command; `None` at the end of the stream.
fn read_command(stream: &mut TcpStream) -> Option<Value> {
    let mut bytes = Vec::new();
    loop {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
        let body = bytes.windows(4).position(|end| end == b"\r\n\r\n");
        let command = body.and_then(|end| serde_json::from_slice(&bytes[end + 4..]).ok());
        if command.is_some() {
            return command;
        }
    }
}

/// Guards against a second holder of keys whose first one got a grant late, from a stalled process.
#[tokio::test]
async fn keys_of_a_stalled_granter_have_one_holder() {
    LocalSet::new().run_until(move_keys_after_a_stall()).await;
}

async fn move_keys_after_a_stall() {
    let state = Rc::new(keyed_state());
    let (first_address, first) = backend();
    let (second_address, second) = backend();
    state.update_server(entry_at("first", first_address), 1);
    let (completions, mut completed) = unbounded_channel();
    let store = Rc::new(Store::new());
    let mut grants = Grants::new(state.clone(), store, completions, 1, true);
    let mut tick = async |before_send: Duration, before_write: Duration| {
        let _ = grants.tick(true, ALWAYS, state.now());
        thread::sleep(before_send);
        // It runs after the tasks that hand commands over, and before those that write them.
        tokio::task::spawn_local(async move { thread::sleep(before_write) });
        tokio::time::sleep(Duration::from_millis(10)).await;
        while let Ok(completion) = completed.try_recv() {
            grants.on_completion(completion);
        }
    };
    while first.first_grant().is_none() {
        tick(Duration::ZERO, Duration::ZERO).await;
    }
    tick(Duration::ZERO, Duration::ZERO).await;
    tokio::time::sleep(RENEWAL_INTERVAL).await;
    tick(Duration::ZERO, STALL).await;

    state.update_server(entry_at("second", second_address), 2);
    let leaving = Entry {
        draining: true,
        ..entry_at("first", first_address)
    };
    state.update_server(leaving, 3);
    let end = Instant::now() + TIMEOUT;
    while !first.is_revoked() && Instant::now() < end {
        tick(SHORT_STALL, Duration::ZERO).await;
    }
    assert!(first.is_revoked(), "the first holder is asked for the keys");
    let end = Instant::now() + TIMEOUT;
    while second.first_grant().is_none() && Instant::now() < end {
        tick(Duration::ZERO, Duration::ZERO).await;
    }
    let held_until = first.last_grant().unwrap() + GRANT_DURATION;
    let granted = second.first_grant().expect("the keys are granted again");
    assert!(
        granted > held_until,
        "granted {} ms before the first holder's grant expired",
        (held_until - granted).as_millis()
    );
}
