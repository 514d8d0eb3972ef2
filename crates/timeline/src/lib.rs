//! Events of all processes, in causal order.
//!
//! Operators need to see what a fleet of hosts did, in an order that does not depend on the hosts'
//! wall clocks being correct. Each process keeps its latest events in a bounded [`journal`],
//! stamped by a hybrid logical clock ([`stamp`]); [`merge`] combines the journals of several hosts
//! into one timeline.
//!
//! ```
//! use tarragon_timeline::event::{Draft, Kind, Name};
//! use tarragon_timeline::journal::Journal;
//!
//! let mut journal = Journal::new("h1".into(), 16);
//! let event = journal.push(Draft::new(Kind::OwnerMoved).with(Name::Group, 7), 1_000_000);
//! assert_eq!(event.to_string(), "at=1000000.0 host=h1 seq=1 event=owner-moved group=7");
//! ```

pub mod event;
pub mod journal;
pub mod merge;
pub mod stamp;
