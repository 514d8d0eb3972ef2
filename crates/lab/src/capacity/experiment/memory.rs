//! Memory used by known hosts and remembered identifiers.

use tarragon_ledger::ledger;
use tarragon_node::input::Input;
use tarragon_node::message::Message;
use tarragon_node::node::Node;

use super::ledger::{SIZES as IDENTIFIERS, state_with_requests};
use super::{Experiment, HOSTS};
use crate::capacity::meter::as_f64;
use crate::capacity::options::Effort;
use crate::capacity::series::Series;
use crate::capacity::{fixture, meter};
use crate::error::Result;

/// Numbers of known hosts.
const SIZES: [usize; 5] = [64, 256, 1_024, 4_096, 16_000];
/// Total of known hosts over all nodes of one point; small nodes are measured in many copies
/// because resident memory grows by whole pages.
const TOTAL_HOSTS: usize = 16_000;
/// Total of identifiers over all states of one point; small states are measured in many copies
/// because resident memory grows by whole pages.
const TOTAL_IDENTIFIERS: usize = 262_144;

/// Resident memory by size. Runs first, since memory freed by other experiments would be reused.
pub struct Memory;

impl Experiment for Memory {
    fn name(&self) -> &'static str {
        "memory"
    }

    fn run(&self, effort: Effort) -> Result<Vec<Series>> {
        let y = "resident memory, KB";
        let reference_size = as_f64(ledger::DEFAULT_CAPACITY);
        let mut hosts = Series::new("hosts-memory", "known hosts", y, HOSTS);
        let mut identifiers =
            Series::new("ledger-memory", "remembered identifiers", y, reference_size);
        // Nodes and states are kept: memory freed here would be reused for the next point and hide
        // its cost.
        let mut nodes = Vec::new();
        for count in effort.sizes(&SIZES) {
            hosts.add(
                as_f64(*count),
                growth_kilobytes(*count, TOTAL_HOSTS, &mut nodes, node_with_heartbeats),
            );
        }
        let mut states = Vec::new();
        for count in effort.sizes(&IDENTIFIERS) {
            let kilobytes =
                growth_kilobytes(*count, TOTAL_IDENTIFIERS, &mut states, state_with_requests);
            identifiers.add(as_f64(*count), kilobytes);
        }
        Ok(vec![hosts, identifiers])
    }
}

/// Returns the growth of resident memory per value that `make` returns for the size, in kilobytes;
/// `kept` retains the values.
fn growth_kilobytes<T>(size: usize, total: usize, kept: &mut Vec<T>, make: fn(usize) -> T) -> f64 {
    let copies = (total / size).max(1);
    let before = meter::resident_bytes();
    kept.extend((0..copies).map(|_| make(size)));
    let after = meter::resident_bytes();
    (after - before) / as_f64(copies) / 1e3
}

/// Returns a node that has received a heartbeat from each of the hosts.
fn node_with_heartbeats(hosts: usize) -> Node {
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
