//! The HTTP client against addresses where no store responds.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use serde_json::json;
use tarragon_store::api::Api;
use tarragon_store::client::{Client, MAX_VALUE_BYTES};
use tarragon_store::error::Kind;
use tarragon_store::object::{Key, Version};
use tokio_util::sync::CancellationToken;

const KEY: Key<'static> = Key {
    kind: "config",
    name: "main",
};

fn client(addr: SocketAddr) -> Client {
    Client::new(addr, Duration::from_millis(300)).unwrap()
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

#[tokio::test]
async fn a_refused_connection_proves_that_nothing_was_executed() {
    let (listener, addr) = listener();
    drop(listener);
    let stop = CancellationToken::new();
    let value = json!({});
    let result = client(addr).put(KEY, Version(0), &value, &stop).await;
    assert!(matches!(result.unwrap_err().kind, Kind::Unavailable(_)));
}

#[tokio::test]
async fn a_silent_store_leaves_a_write_uncertain_but_not_a_read() {
    let (_listener, addr) = listener();
    let stop = CancellationToken::new();
    let value = json!({});
    let client = client(addr);
    let write = client.put(KEY, Version(0), &value, &stop).await;
    assert!(write.unwrap_err().is_uncertain());
    let read = client.get(KEY, &stop).await;
    assert!(matches!(read.unwrap_err().kind, Kind::Unavailable(_)));
}

#[tokio::test]
async fn cancelling_ends_a_call() {
    let (_listener, addr) = listener();
    let client = Client::new(addr, Duration::from_mins(10)).unwrap();
    let stop = CancellationToken::new();
    let value = json!({});
    let trigger = stop.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(50)).await;
        trigger.cancel();
    });
    let write = client.put(KEY, Version(0), &value, &stop).await;
    assert!(write.unwrap_err().is_uncertain());
    let unsent = client.put(KEY, Version(0), &value, &stop).await;
    assert_eq!(unsent.unwrap_err().kind, Kind::Cancelled);
}

#[tokio::test]
async fn a_large_value_is_not_sent() {
    let (_listener, addr) = listener();
    let stop = CancellationToken::new();
    let value = json!("x".repeat(MAX_VALUE_BYTES));
    let result = client(addr).put(KEY, Version(0), &value, &stop).await;
    assert_eq!(result.unwrap_err().kind, Kind::TooLarge);
}
