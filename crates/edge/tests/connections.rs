//! Connections outlast callers that read slowly, and tell of callers that left.

use std::time::Duration;

use tarragon_edge::pool;
use tarragon_edge::socket::Socket;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// Time for which a caller does not read: longer than a backend server may leave bytes unread.
const SLOW: Duration = Duration::from_secs(4);
/// Size of an answer that no buffer of the system holds.
const LARGE: usize = 32 * 1024 * 1024;

async fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    (listener.accept().await.unwrap().0, caller)
}

#[tokio::test]
async fn a_caller_that_reads_late_gets_its_whole_answer() {
    let (mut host, mut caller) = pair().await;
    pool::set_caller_options(&host);
    let write = tokio::spawn(async move { host.write_all(&vec![7; LARGE]).await });
    sleep(SLOW).await;
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    write.await.unwrap().unwrap();
    assert_eq!(answer.len(), LARGE);
}

#[tokio::test]
async fn a_caller_that_left_is_noticed_behind_bytes_that_wait() {
    let (host, mut caller) = pair().await;
    let mut socket = Socket::new(host);
    caller.write_all(b"first second").await.unwrap();
    let mut first = [0; 5];
    socket.read_exact(&mut first).await.unwrap();
    let waits = timeout(Duration::from_millis(300), socket.closed()).await;
    assert!(waits.is_err(), "the caller is still there");
    let mut rest = [0; 7];
    socket.read_exact(&mut rest).await.unwrap();
    drop(caller);
    timeout(Duration::from_secs(2), socket.closed())
        .await
        .unwrap();
}
