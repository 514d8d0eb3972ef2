//! Bytes of control messages on the link of a small host, at the size of two deployments.

use tarragon_dispatch::admission;
use tarragon_edge::keys::{Change, Map, Patch, Range};
use tarragon_edge::peer::Frame;
use tarragon_owner::plan::Holder;

/// Heartbeats a second, from the granter to each host.
const HEARTBEATS_PER_S: usize = 5;
/// Reports of a host in 7 s; one each 350 ms.
const REPORTS_PER_7_S: usize = 20;
/// Patches of a key map in 2 s while the granter moves keys all the time, and moves of each.
const PATCHES_PER_2_S: usize = 5;
const MOVES: usize = 10;
/// Ranges of a key map for each holder, after many moves.
const RANGES_PER_HOLDER: usize = 10;
/// Control bytes a second that a host may use.
const HOST_BYTES_PER_S: usize = 25_000;
/// A quarter of a link of 10 Mbit/s, in bytes a second.
const QUARTER_LINK: usize = 10_000_000 / 8 / 4;

/// Size of a deployment.
struct Size {
    hosts: usize,
    /// Servers of the keyed service.
    holders: usize,
    /// Requests a second, of all and of the keyed service.
    requests: usize,
    keyed: usize,
}

fn bytes(frame: &Frame) -> usize {
    let mut text = Vec::new();
    ciborium::into_writer(frame, &mut text).unwrap();
    text.len()
}

fn holder(index: usize) -> Holder {
    Holder {
        id: format!("i-{index:010x}"),
        start_ms: 1_775_008_352_748,
    }
}

fn heartbeat() -> Frame {
    Frame::Heartbeat {
        record_version: 123_456,
        sent_us: 86_400_000_000,
        hosts: 71,
        max_cores: 0.5,
        state_age_ms: 120,
        catalog: 123_456,
        entries: 123_456,
        changed: 123_456,
        evacuations: None,
        shares: Vec::new(),
    }
}

/// Returns the report of a host on the requests of 350 ms, each at another server and for another key.
fn report(size: &Size) -> Frame {
    let requests = |per_s: usize| (per_s * 7 / 20).div_ceil(size.hosts);
    let keys = (0..requests(size.keyed)).map(|key| (u16::try_from(key * 997 % 65_536).unwrap(), 1));
    let served = (0..requests(size.requests)).map(|index| (holder(index).id, 1, 260.5));
    Frame::Report {
        heartbeat_us: 86_400_000_000,
        cores: 0.075,
        traffic: vec![("svc-keyed".to_owned(), keys.collect())],
        served: served.collect(),
        crashes: Vec::new(),
        clock_us: 86_400_000_000,
        zone: "north-a".to_owned(),
        overload: admission::Report::default(),
    }
}

fn map(size: &Size) -> Frame {
    let count = size.holders * RANGES_PER_HOLDER;
    let range = |index: usize| Range {
        to: u16::try_from((index + 1) * 65_536 / count - 1).unwrap(),
        holder: holder(index % size.holders),
        held: true,
    };
    let map = Map {
        version: (123_456, 7_890),
        sequence: 7_890,
        ranges: (0..count).map(range).collect(),
    };
    let service = "svc-keyed".to_owned();
    Frame::Keys { service, map }
}

fn patch() -> Frame {
    let change = |index: usize| Change {
        from: 40_000,
        to: 40_100,
        holder: holder(index),
        held: true,
    };
    let patch = Patch {
        base: (123_456, 7_890),
        version: (123_456, 7_891),
        sequence: 7_891,
        changes: (0..MOVES).map(change).collect(),
    };
    let service = "svc-keyed".to_owned();
    Frame::KeysPatch { service, patch }
}

/// Guards against control messages that use up the link of a small host, also when it is the granter.
fn check(name: &str, size: &Size) {
    let sent = bytes(&report(size)) * REPORTS_PER_7_S / 7;
    // Each move is two patches: the release, and the next holder.
    let received =
        bytes(&heartbeat()) * HEARTBEATS_PER_S + bytes(&patch()) * 2 * PATCHES_PER_2_S / 2;
    let granter = (received * (size.hosts - 1), sent * (size.hosts - 1));
    let map = bytes(&map(size));
    println!(
        "{name}: report {} B, heartbeat {} B, patch {} B, map {map} B; host sends {sent} and receives \
         {received} B/s; granter sends {} and receives {} B/s; maps for all hosts {} B",
        bytes(&report(size)),
        bytes(&heartbeat()),
        bytes(&patch()),
        granter.0,
        granter.1,
        map * (size.hosts - 1)
    );
    assert!(sent + received < HOST_BYTES_PER_S, "{sent} + {received}");
    assert!(
        granter.0 < QUARTER_LINK && granter.1 < QUARTER_LINK,
        "{granter:?}"
    );
}

#[test]
fn control_messages_leave_the_link_of_a_small_host_to_requests() {
    let a = Size {
        hosts: 71,
        holders: 21,
        requests: 2_301,
        keyed: 215,
    };
    let b = Size {
        hosts: 63,
        holders: 152,
        requests: 1_212,
        keyed: 910,
    };
    check("a", &a);
    check("b", &b);
}
