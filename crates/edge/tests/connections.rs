//! A caller connection survives a caller that reads slowly, and detects one that disconnects.

use std::time::Duration;

use tarragon_edge::pool;
use tarragon_edge::socket::Socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// Time for which the caller does not read: longer than backend servers may leave bytes
/// unacknowledged.
const READ_DELAY: Duration = Duration::from_secs(4);
/// Size of a response that exceeds all socket buffers.
const RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// Returns the host's and the caller's end of a new connection.
async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    (listener.accept().await.unwrap().0, caller)
}

#[tokio::test]
async fn a_caller_that_reads_late_receives_the_whole_response() {
    let (mut host, mut caller) = pair().await;
    pool::set_caller_options(&host);
    let write = tokio::spawn(async move { host.write_all(&vec![7; RESPONSE_BYTES]).await });
    sleep(READ_DELAY).await;
    let mut response = Vec::new();
    caller.read_to_end(&mut response).await.unwrap();
    write.await.unwrap().unwrap();
    assert_eq!(response.len(), RESPONSE_BYTES);
}

#[tokio::test]
async fn a_disconnected_caller_is_detected_after_buffered_bytes() {
    let (host, mut caller) = pair().await;
    let mut socket = Socket::new(host);
    caller.write_all(b"first second").await.unwrap();
    let mut first = [0; 5];
    socket.read_exact(&mut first).await.unwrap();
    let closed = timeout(Duration::from_millis(300), socket.closed()).await;
    assert!(closed.is_err(), "the caller is still connected");
    let mut rest = [0; 7];
    socket.read_exact(&mut rest).await.unwrap();
    drop(caller);
    timeout(Duration::from_secs(2), socket.closed())
        .await
        .unwrap();
}

/// Guards against requests that run on after their caller has sent further ones and disconnected.
#[tokio::test]
async fn a_disconnected_caller_is_detected_behind_unread_bytes() {
    let (host, mut caller) = pair().await;
    let socket = Socket::new(host);
    caller.write_all(b"a further request").await.unwrap();
    drop(caller);
    timeout(Duration::from_secs(2), socket.closed())
        .await
        .unwrap();
}

/// Guards against a caller that holds the memory of its response without end, and against the
/// disconnection of one that reads slowly.
#[tokio::test]
async fn a_caller_that_reads_nothing_is_noticed() {
    const LIMIT: Duration = Duration::from_secs(1);
    let (host, mut caller) = pair().await;
    let socket = Socket::new(host);
    let mut writer = socket.clone();
    let response = vec![7; RESPONSE_BYTES * 2];
    let write = async {
        writer.write_all(&response).await.unwrap();
    };
    let slow = async {
        for _ in 0..24 {
            caller.read_exact(&mut vec![0; 1024 * 1024]).await.unwrap();
            sleep(LIMIT / 10).await;
        }
    };
    let started = Instant::now();
    let both = async { tokio::join!(write, slow) };
    tokio::select! {
        () = socket.stalled(LIMIT) => {}
        _ = both => panic!("the response was written"),
    }
    assert!(
        started.elapsed() >= LIMIT * 2,
        "the caller was still reading"
    );
}
