//! Grants of a process that is held up between the hand-over to the connection and the write.

mod common;

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use common::{entry_at, state};
use tarragon_edge::granting::command::{self, Pending};
use tarragon_edge::pool::Pool;
use tarragon_edge::state::State;
use tarragon_model::time;
use tarragon_owner::granter::{Action, Command, CommandOutcome};
use tarragon_owner::plan::Holder;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

/// Time for which the thread is held up at each turn of its tasks.
const HELD_UP: Duration = Duration::from_millis(100);
/// Turns at which the grant may become late, from its hand-over to its response.
const TURNS: u32 = 6;
/// Time in which a grant that left arrives.
const TRANSIT: Duration = Duration::from_millis(50);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(9);

/// Starts a backend server on threads of its own, which notes when each command arrives.
fn backend() -> (SocketAddr, Arc<Mutex<Vec<Instant>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let noted = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let noted = noted.clone();
            thread::spawn(move || serve(&mut stream.unwrap(), &noted));
        }
    });
    (address, arrivals)
}

fn serve(stream: &mut TcpStream, arrivals: &Mutex<Vec<Instant>>) {
    let mut bytes = [0; 4_096];
    while stream.read(&mut bytes).is_ok_and(|read| read > 0) {
        arrivals.lock().unwrap().push(Instant::now());
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        if stream.write_all(response).is_err() {
            return;
        }
    }
}

fn grant(id: &str) -> Command {
    Command {
        number: 0,
        action: Action::Grant,
        server: Holder {
            id: id.to_owned(),
            start_ms: 1,
        },
        from: 7,
        to: 7,
        fence: 3,
        handover: None,
    }
}

async fn send(
    state: &State,
    pool: &Pool,
    id: &str,
    max_delay: Duration,
    send_until: &Rc<Cell<time::Instant>>,
) -> (CommandOutcome, Option<time::Instant>) {
    let pending = Pending {
        command: &grant(id),
        due_at: state.now(),
        max_delay,
        response_timeout: RESPONSE_TIMEOUT,
        send_until,
    };
    command::send(state, pool, pending).await
}

/// Whether a command was sent on the connection before.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Connection {
    New,
    Reused,
}

/// Sends one grant while another task holds up the thread at each turn, and ends the term at the
/// turn `ended_at`; asserts that the grant arrives in time or not at all, and that the outcome says
/// which. Returns whether it arrived.
fn check(connection: Connection, max_delay: Duration, ended_at: Option<u32>) -> bool {
    let (address, arrivals) = backend();
    let state = Rc::new(state());
    state.update_server(entry_at("a", address), 1);
    let pool = Pool::default();
    let send_until = Rc::new(Cell::new(state.now() + Duration::from_mins(1)));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let ended = Rc::new(Cell::new(None));
    let (due, outcome, sent) = LocalSet::new().block_on(&runtime, async {
        if connection == Connection::Reused {
            let (outcome, _) = send(&state, &pool, "a", RESPONSE_TIMEOUT, &send_until).await;
            assert_eq!(outcome, CommandOutcome::Done { handover: None });
            tokio::time::sleep(TRANSIT).await;
            arrivals.lock().unwrap().clear();
        }
        let (until, ended) = (send_until.clone(), ended.clone());
        tokio::task::spawn_local(async move {
            for turn in 1.. {
                thread::sleep(HELD_UP);
                if ended_at == Some(turn) {
                    until.set(time::Instant::ZERO);
                    ended.set(Some(Instant::now()));
                    thread::sleep(HELD_UP);
                }
                tokio::task::yield_now().await;
            }
        });
        let due = Instant::now();
        let (outcome, sent) = send(&state, &pool, "a", max_delay, &send_until).await;
        tokio::time::sleep(HELD_UP * 4).await;
        (due, outcome, sent)
    });
    let arrivals = arrivals.lock().unwrap();
    let text = format!("max_delay={max_delay:?} ended_at={ended_at:?} outcome={outcome:?}");
    for arrived in arrivals.iter() {
        assert!(*arrived <= due + max_delay + TRANSIT, "late: {text}");
        if let Some(ended) = ended.get() {
            assert!(*arrived < ended, "after the term: {text}");
        }
    }
    if outcome == CommandOutcome::NotSent {
        assert!(arrivals.is_empty() && sent.is_none(), "{text}");
    } else {
        assert!(!arrivals.is_empty() && sent.is_some(), "{text}");
    }
    !arrivals.is_empty()
}

macro_rules! holds_up {
    ($late:ident, $ended:ident, $connection:expr) => {
        /// Guards against a grant that reaches the wire late, as the process lacks processor time.
        #[test]
        fn $late() {
            let arrived: Vec<bool> = (0..TURNS)
                .map(|turns| check($connection, HELD_UP * turns + HELD_UP / 2, None))
                .collect();
            assert!(
                arrived.contains(&true) && arrived.contains(&false),
                "{arrived:?}"
            );
        }

        /// Guards against a grant that reaches the wire after the term of its granter has ended.
        #[test]
        fn $ended() {
            let arrived: Vec<bool> = (1..=TURNS)
                .map(|turn| check($connection, RESPONSE_TIMEOUT, Some(turn)))
                .collect();
            assert!(
                arrived.contains(&true) && arrived.contains(&false),
                "{arrived:?}"
            );
        }
    };
}

holds_up!(
    a_grant_on_a_new_connection_is_not_written_late,
    a_grant_on_a_new_connection_is_not_written_after_the_term,
    Connection::New
);
holds_up!(
    a_grant_on_a_reused_connection_is_not_written_late,
    a_grant_on_a_reused_connection_is_not_written_after_the_term,
    Connection::Reused
);

/// Size of an identifier with which a command exceeds all socket buffers.
const LONG_ID_BYTES: usize = 8 * 1024 * 1024;

/// Guards against a rest of a grant that follows late, and against one that counts as not sent.
#[tokio::test]
async fn a_grant_that_is_cut_midway_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (began, beginning) = oneshot::channel();
    let (go_on, going_on) = mpsc::channel();
    let reader = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let (mut bytes, mut count) = (vec![0; 1 << 20], 0);
        count += stream.read(&mut bytes[..1]).unwrap();
        began.send(()).unwrap();
        going_on.recv().unwrap();
        while let Ok(read @ 1..) = stream.read(&mut bytes) {
            count += read;
        }
        count
    });
    let id = "a".repeat(LONG_ID_BYTES);
    let state = state();
    state.update_server(entry_at(&id, address), 1);
    let send_until = Rc::new(Cell::new(state.now() + Duration::from_mins(1)));
    let pool = Pool::default();
    let sending = send(&state, &pool, &id, RESPONSE_TIMEOUT, &send_until);
    let ending = async {
        beginning.await.unwrap();
        send_until.set(time::Instant::ZERO);
        go_on.send(()).unwrap();
    };
    let both = futures::future::join(sending, ending);
    let ((outcome, sent), ()) = LocalSet::new().run_until(both).await;
    assert_eq!(outcome, CommandOutcome::Unknown);
    assert!(sent.is_some());
    let received = reader.join().unwrap();
    assert!(received > 0 && received < LONG_ID_BYTES, "{received} bytes");
}

/// Guards against bytes of a grant that leave after its outcome is known, as the task that closes
/// its connection runs later.
#[tokio::test]
async fn a_grant_that_is_given_up_has_no_open_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let reader = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = [0; 4_096];
        assert!(stream.read(&mut bytes).unwrap() > 0);
        let end = stream.read(&mut bytes).map_err(|error| error.kind());
        (end, Instant::now())
    });
    let state = state();
    state.update_server(entry_at("a", address), 1);
    let pending = Pending {
        command: &grant("a"),
        due_at: state.now(),
        max_delay: RESPONSE_TIMEOUT,
        response_timeout: HELD_UP,
        send_until: &Rc::new(Cell::new(state.now() + Duration::from_mins(1))),
    };
    let pool = Pool::default();
    let sending = async {
        let (outcome, _) = command::send(&state, &pool, pending).await;
        let ended = Instant::now();
        thread::sleep(HELD_UP * 4);
        (outcome, ended)
    };
    let (outcome, ended) = LocalSet::new().run_until(sending).await;
    assert_eq!(outcome, CommandOutcome::Unknown);
    let (end, reset) = reader.join().unwrap();
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
    assert!(reset < ended + HELD_UP * 2, "{:?} later", reset - ended);
}

/// Guards against a response that is there, but counts as missing as the process was held up.
#[test]
fn a_response_that_is_there_when_the_timeout_fires_late_counts() {
    let (address, _) = backend();
    let state = Rc::new(state());
    state.update_server(entry_at("a", address), 1);
    let pool = Pool::default();
    let send_until = Rc::new(Cell::new(state.now() + Duration::from_mins(1)));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let outcomes = LocalSet::new().block_on(&runtime, async {
        tokio::task::spawn_local(async {
            loop {
                thread::sleep(HELD_UP);
                tokio::task::yield_now().await;
            }
        });
        let mut outcomes = Vec::new();
        let sending = tokio::task::spawn_local(async move {
            for _ in 0..20 {
                let pending = Pending {
                    command: &grant("a"),
                    due_at: state.now(),
                    max_delay: RESPONSE_TIMEOUT,
                    response_timeout: HELD_UP / 2,
                    send_until: &send_until,
                };
                outcomes.push(command::send(&state, &pool, pending).await.0);
            }
            outcomes
        });
        sending.await.unwrap()
    });
    let done = CommandOutcome::Done { handover: None };
    assert!(
        outcomes.iter().all(|outcome| *outcome == done),
        "{outcomes:?}"
    );
}

/// Guards against bytes of a grant that leave while the process is held up beyond their timeout.
#[tokio::test]
async fn the_kernel_gives_up_a_grant_while_the_process_is_held_up() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (began, beginning) = oneshot::channel();
    let reader = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut bytes = vec![0; 1 << 20];
        let mut count = stream.read(&mut bytes[..1]).unwrap();
        began.send(()).unwrap();
        thread::sleep(HELD_UP * 10);
        while let Ok(read @ 1..) = stream.read(&mut bytes) {
            count += read;
        }
        count
    });
    let id = "a".repeat(LONG_ID_BYTES);
    let state = state();
    state.update_server(entry_at(&id, address), 1);
    let send_until = Rc::new(Cell::new(state.now() + Duration::from_mins(1)));
    let pool = command::pool(HELD_UP * 2);
    let sending = send(&state, &pool, &id, RESPONSE_TIMEOUT, &send_until);
    let holding = async {
        beginning.await.unwrap();
        thread::sleep(HELD_UP * 20);
    };
    let both = futures::future::join(sending, holding);
    let ((outcome, _), ()) = LocalSet::new().run_until(both).await;
    assert_eq!(outcome, CommandOutcome::Unknown);
    let received = reader.join().unwrap();
    assert!(received < LONG_ID_BYTES, "{received} bytes");
}
