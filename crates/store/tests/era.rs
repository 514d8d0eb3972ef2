//! Stores that tell their era: versions rise over a restore, and responses that cannot be placed
//! count as lost.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::HeaderMap;
use serde_json::{Value, json};
use tarragon_store::api::Api;
use tarragon_store::client::Client;
use tarragon_store::dialect::{Dialect, Native, Page, Request};
use tarragon_store::error::Kind;
use tarragon_store::object::{Changes, Era, Key, Object, Version};
use tarragon_store::update::{Token, WriteOutcome, Writer};
use tokio_util::sync::CancellationToken;

const KEY: Key<'static> = Key {
    kind: "notes",
    name: "one",
};

/// The native dialect with an era header.
struct Dated;

impl Dialect for Dated {
    fn get(&self, key: Key<'_>) -> Request {
        Native.get(key)
    }
    fn list(&self, kind: &str, after: Option<&str>) -> Request {
        Native.list(kind, after)
    }
    fn put(&self, key: Key<'_>, expected: Version, value: &Value) -> Request {
        assert_eq!(
            expected.era(),
            Era::UNKNOWN,
            "only the revision is on the wire"
        );
        Native.put(key, expected, value)
    }
    fn delete(&self, key: Key<'_>, expected: Version) -> Request {
        Native.delete(key, expected)
    }
    fn watch(&self, kind: &str, after: Version, wait_ms: u128) -> Request {
        Native.watch(kind, after, wait_ms)
    }
    fn object(&self, kind: &str, body: &[u8]) -> Result<Object, String> {
        Native.object(kind, body)
    }
    fn page(&self, kind: &str, body: &[u8]) -> Result<Page, String> {
        let mut page = Native.page(kind, body)?;
        page.next = (page.list.items.len() == 1).then(|| page.list.items[0].name.clone());
        Ok(page)
    }
    fn changes(&self, kind: &str, body: &[u8]) -> Result<Changes, String> {
        Native.changes(kind, body)
    }
    fn version(&self, body: &[u8]) -> Result<Version, String> {
        Native.version(body)
    }
    fn era(&self, headers: &HeaderMap) -> Result<Option<Era>, String> {
        let Some(value) = headers.get("era") else {
            return Ok(None);
        };
        let number = value.to_str().ok().and_then(|text| text.parse().ok());
        let era = number.and_then(Era::new);
        era.map(Some).ok_or_else(|| "malformed".to_owned())
    }
}

/// Serves one response for each connection: status, era header and body. Returns the address and
/// the number of requests.
fn serve(responses: Vec<(u16, &'static str, Value)>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let requests = count.clone();
    std::thread::spawn(move || {
        for (status, era, body) in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let _ = stream.read(&mut [0; 4_096]).unwrap();
            requests.fetch_add(1, Ordering::SeqCst);
            let body = body.to_string();
            let era = match era {
                "" => String::new(),
                era => format!("era: {era}\r\n"),
            };
            let head = format!("HTTP/1.1 {status} x\r\n{era}connection: close\r\n");
            let text = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
            stream.write_all(text.as_bytes()).unwrap();
        }
    });
    (addr, count)
}

fn client(addr: SocketAddr) -> Client {
    Client::with_dialect(Box::new(Dated), addr, Duration::from_secs(1)).unwrap()
}

fn object(version: u64) -> Value {
    json!({"kind": "notes", "name": "one", "version": version, "value": {"token": "old"}})
}

fn version(era: u64, revision: u64) -> Version {
    Version::in_era(Era::new(era).unwrap(), revision).unwrap()
}

/// Reads with two responses, and checks the version or the failure of each.
async fn reads(first: &'static str, second: &'static str, expected: [Option<Version>; 2]) {
    let (addr, _) = serve(vec![(200, first, object(9)), (200, second, object(4))]);
    let (client, stop) = (client(addr), CancellationToken::new());
    for expected in expected {
        match (client.get(KEY, &stop).await, expected) {
            (Ok(object), Some(version)) => assert_eq!(object.version, version),
            (Err(error), None) => assert!(matches!(error.kind, Kind::Unavailable(_)), "{error}"),
            (result, expected) => panic!("{result:?} in place of {expected:?}"),
        }
    }
}

macro_rules! reads {
    ($($name:ident: $first:literal, $second:literal => $expected:expr;)*) => {$(
        /// Guards against revisions that are compared with those of another copy of the store.
        #[tokio::test]
        async fn $name() {
            reads($first, $second, $expected).await;
        }
    )*};
}

reads! {
    without_an_era_versions_are_revisions: "", "" => [Some(Version(9)), Some(Version(4))];
    versions_rise_with_the_era: "1", "2" => [Some(version(1, 9)), Some(version(2, 4))];
    a_response_without_the_era_counts_as_lost: "1", "" => [Some(version(1, 9)), None];
    a_response_with_a_malformed_era_counts_as_lost: "1", "x" => [Some(version(1, 9)), None];
    a_response_of_an_earlier_era_counts_as_lost: "2", "1" => [Some(version(2, 9)), None];
    a_malformed_era_is_ignored_while_none_is_known: "x", "1" => [Some(Version(9)), Some(version(1, 4))];
}

#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
struct Note {
    token: String,
}

impl Token for Note {
    fn token(&self) -> &str {
        &self.token
    }
}

/// Guards against a write over an object that has the expected revision in another era.
#[tokio::test]
async fn a_write_that_expects_an_earlier_era_is_not_sent() {
    let responses = vec![
        (200, "1", object(9)),
        (200, "2", object(9)),
        (200, "2", object(9)),
    ];
    let (addr, requests) = serve(responses);
    let (client, stop) = (client(addr), CancellationToken::new());
    let before = client.get(KEY, &stop).await.unwrap().version;
    let after = client.get(KEY, &stop).await.unwrap().version;
    assert!(after > before);
    let error = client
        .put(KEY, before, &json!({}), &stop)
        .await
        .unwrap_err();
    assert_eq!(error.kind, Kind::EarlierEra);
    assert!(!error.is_uncertain());
    let note = Note {
        token: "new".to_owned(),
    };
    let outcome = Writer::new(&client).update(KEY, before, &note, &stop).await;
    let Ok(WriteOutcome::Conflict {
        version,
        value: Some(value),
    }) = outcome
    else {
        panic!("{outcome:?}");
    };
    assert_eq!((version, value.token.as_str()), (after, "old"));
    assert_eq!(requests.load(Ordering::SeqCst), 3, "three reads");
}

/// Guards against a write that is taken for done or rejected by the word of an earlier era.
#[tokio::test]
async fn a_write_that_an_earlier_era_answers_is_uncertain() {
    let (addr, _) = serve(vec![
        (200, "2", object(9)),
        (200, "1", json!({"version": 9})),
    ]);
    let (client, stop) = (client(addr), CancellationToken::new());
    client.get(KEY, &stop).await.unwrap();
    let write = client.put(KEY, version(2, 9), &json!({}), &stop).await;
    assert!(write.unwrap_err().is_uncertain());
}

/// Guards against changes that follow a revision of another copy of the store.
#[tokio::test]
async fn a_watch_from_an_earlier_era_lists_again() {
    let changes = json!({"revision": 12, "changes": []});
    let (addr, requests) = serve(vec![(200, "2", changes)]);
    let (client, stop) = (client(addr), CancellationToken::new());
    for _ in 0..2 {
        let watch = client.watch("notes", version(1, 9), Duration::ZERO, &stop);
        assert_eq!(watch.await.unwrap_err().kind, Kind::TooOld);
    }
    assert_eq!(requests.load(Ordering::SeqCst), 1, "the second is not sent");
}

/// Guards against a list of pages of two copies.
#[tokio::test]
async fn a_list_across_a_restore_begins_again() {
    let page = |revision: u64, items: &[Value]| json!({"revision": revision, "items": items});
    let (addr, _) = serve(vec![
        (200, "1", page(9, &[object(9)])),
        (200, "2", page(4, &[])),
        (200, "2", page(4, &[object(3)])),
        (200, "2", page(5, &[])),
    ]);
    let (client, stop) = (client(addr), CancellationToken::new());
    let list = client.list("notes", &stop).await.unwrap();
    assert_eq!(list.revision, version(2, 4));
    assert_eq!(list.items.len(), 1);
}
