//! Malformed messages of other hosts change nothing and end nothing.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::state;
use futures::SinkExt;
use proptest::prelude::*;
use tarragon_edge::keys::{Change, Map, Patch, Range};
use tarragon_edge::peer::{Event, Frame, Links};
use tarragon_owner::plan::Holder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

fn holder(id: u8) -> Holder {
    Holder {
        id: id.to_string(),
        start_ms: 1,
    }
}

fn any_map() -> impl Strategy<Value = Map> {
    prop::collection::vec((any::<u16>(), 0..3_u8, any::<bool>()), 0..8).prop_map(|ranges| Map {
        version: (1, 1),
        sequence: 1,
        ranges: ranges
            .into_iter()
            .map(|(to, id, held)| Range {
                to,
                holder: holder(id),
                held,
            })
            .collect(),
    })
}

fn any_patch() -> impl Strategy<Value = Patch> {
    let change = (any::<u16>(), any::<u16>(), 0..3_u8, any::<bool>());
    prop::collection::vec(change, 0..6).prop_map(|changes| Patch {
        base: (1, 1),
        version: (1, 2),
        sequence: 2,
        changes: changes
            .into_iter()
            .map(|(from, to, id, held)| Change {
                from,
                to,
                holder: holder(id),
                held,
            })
            .collect(),
    })
}

proptest! {
    /// Maps and patches of any content are applied without a panic, and leave lookups working.
    #[test]
    fn any_patch_of_any_map_is_applied(map in any_map(), patch in any_patch(), key in any::<u16>()) {
        let state = state();
        state.update_key_map("s", map);
        state.patch_key_map("s", &patch);
        state.with_key_map("s", |known| known.map.find(key).is_some());
    }
}

#[test]
fn a_change_with_reversed_keys_is_skipped() {
    let range = Range {
        to: u16::MAX,
        holder: holder(1),
        held: true,
    };
    let mut map = Map {
        version: (1, 1),
        sequence: 1,
        ranges: vec![range.clone(), range],
    };
    let before = map.ranges.clone();
    map.apply(&Patch {
        base: (1, 1),
        version: (1, 2),
        sequence: 2,
        changes: vec![Change {
            from: 9,
            to: 3,
            holder: holder(2),
            held: true,
        }],
    });
    assert_eq!(map.ranges, before);
}

#[tokio::test]
async fn a_link_survives_frames_that_cannot_be_read() {
    let work = async {
        let (events, mut received) = mpsc::channel(16);
        let links = Links::new(Rc::new(state()), events);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::task::spawn_local(links.serve(listener));
        let stream = TcpStream::connect(address).await.unwrap();
        let url = format!("ws://{address}/");
        let (mut socket, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
        let mut unknown = Vec::new();
        ciborium::into_writer(&("LaterFrame", 1), &mut unknown).unwrap();
        for bytes in [Vec::new(), vec![0xff; 40], unknown] {
            socket.send(Message::Binary(bytes.into())).await.unwrap();
        }
        let mut hello = Vec::new();
        let frame = Frame::Hello {
            host: "other".to_owned(),
            incarnation: 7,
        };
        ciborium::into_writer(&frame, &mut hello).unwrap();
        socket.send(Message::Binary(hello.into())).await.unwrap();
        let event = timeout(Duration::from_secs(2), received.recv()).await;
        assert!(matches!(
            event.unwrap(),
            Some(Event::Up { incarnation: 7, .. })
        ));
    };
    LocalSet::new().run_until(work).await;
}
