//! Memory of known hosts and of remembered identifiers.

use tarragon_ledger::ledger;
use tarragon_node::input::Input;
use tarragon_node::message::Message;
use tarragon_node::node::Node;

use super::ledger::{SIZES as IDENTIFIERS, remembering};
use super::{Experiment, HOSTS};
use crate::capacity::meter::float;
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::capacity::{fixture, meter};
use crate::error::Result;

const SIZES: [usize; 5] = [64, 256, 1_024, 4_096, 16_000];
/// Known hosts over all nodes of one point, so that pages hide no small node.
const KNOWN: usize = 16_000;
/// Identifiers over all states of one point, so that pages hide no small state.
const REMEMBERED: usize = 262_144;

/// Resident memory, before anything else has been measured.
pub struct Memory;

impl Experiment for Memory {
    fn name(&self) -> &'static str {
        "memory"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let y = "resident memory, KB";
        let target = float(ledger::DEFAULT_CAPACITY);
        let mut hosts = Series::new("hosts-memory", "known hosts", y, HOSTS);
        let mut identifiers = Series::new("ledger-memory", "remembered identifiers", y, target);
        // What is freed would serve the next point and hide its cost.
        let mut nodes = Vec::new();
        for count in effort.sizes(&SIZES) {
            hosts.add(float(*count), grown(*count, KNOWN, &mut nodes, knowing));
        }
        let mut states = Vec::new();
        for count in effort.sizes(&IDENTIFIERS) {
            let kilobytes = grown(*count, REMEMBERED, &mut states, remembering);
            identifiers.add(float(*count), kilobytes);
        }
        Ok(vec![hosts, identifiers])
    }
}

/// Returns by how many kilobytes one thing of a size makes the process grow.
fn grown<T>(size: usize, total: usize, kept: &mut Vec<T>, make: fn(usize) -> T) -> f64 {
    let copies = (total / size).max(1);
    let before = meter::resident_bytes();
    kept.extend((0..copies).map(|_| make(size)));
    let after = meter::resident_bytes();
    (after - before) / float(copies) / 1e3
}

/// Returns a node that has heard from many hosts.
fn knowing(hosts: usize) -> Node {
    let mut node = fixture::node(0);
    let mut out = Vec::new();
    for index in 1..hosts {
        let input = Input::Message {
            from: fixture::peer(index),
            message: Message::Heartbeat(fixture::heartbeat(index)),
        };
        node.handle(fixture::now(0), input, &mut out);
        out.clear();
    }
    node
}
