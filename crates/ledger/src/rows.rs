//! Compact serialization of the ledger's requests, since a snapshot holds hundreds of thousands.
//!
//! Each request is a sequence of four numbers: both halves of the identifier, the fingerprint,
//! and a code. The code is the HTTP status, or a smaller number for a request without a response.

use std::collections::BTreeMap;
use std::fmt;

use serde::de::{Deserialize, Deserializer, Error, SeqAccess, Visitor};
use serde::ser::{Serialize, SerializeTuple, Serializer};

use crate::ledger::{Progress, Request};

/// Code of a request that is running.
const RUNNING: u16 = 0;
/// Code of a request whose outcome is unknown.
const UNRESOLVED: u16 = 1;
/// Lowest HTTP status, and so the lowest code of a request with a response.
const MIN_STATUS: u16 = 100;
/// Number of elements in a row.
const WIDTH: usize = 4;

/// One request and its identifier.
struct Row {
    id: u128,
    request: Request,
}

impl Serialize for Row {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let high = u64::try_from(self.id >> 64).unwrap_or_default();
        let low = u64::try_from(self.id & u128::from(u64::MAX)).unwrap_or_default();
        let mut tuple = serializer.serialize_tuple(WIDTH)?;
        tuple.serialize_element(&high)?;
        tuple.serialize_element(&low)?;
        tuple.serialize_element(&self.request.fingerprint)?;
        tuple.serialize_element(&code(self.request.progress))?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for Row {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(WIDTH, RowVisitor)
    }
}

struct RowVisitor;

impl<'de> Visitor<'de> for RowVisitor {
    type Value = Row;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("identifier in two halves, fingerprint and code")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Row, A::Error> {
        let high: u64 = element(&mut seq, 0)?;
        let low: u64 = element(&mut seq, 1)?;
        let fingerprint = element(&mut seq, 2)?;
        let progress = progress(element(&mut seq, 3)?)?;
        let id = (u128::from(high) << 64) | u128::from(low);
        Ok(Row {
            id,
            request: Request {
                fingerprint,
                progress,
            },
        })
    }
}

fn element<'de, T: Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| A::Error::invalid_length(index, &RowVisitor))
}

fn code(progress: Progress) -> u16 {
    match progress {
        Progress::Running => RUNNING,
        Progress::Unresolved => UNRESOLVED,
        Progress::Done { status } => status.max(MIN_STATUS),
    }
}

fn progress<E: Error>(code: u16) -> Result<Progress, E> {
    match code {
        RUNNING => Ok(Progress::Running),
        UNRESOLVED => Ok(Progress::Unresolved),
        MIN_STATUS.. => Ok(Progress::Done { status: code }),
        _ => Err(E::custom(
            "request code is neither a progress code nor an HTTP status",
        )),
    }
}

/// Serializes the requests in the order of their identifiers.
pub(crate) fn serialize<S: Serializer>(
    requests: &BTreeMap<u128, Request>,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let rows = requests.iter().map(|(&id, &request)| Row { id, request });
    serializer.collect_seq(rows)
}

/// Deserializes the output of [`serialize`].
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<u128, Request>, D::Error> {
    deserializer.deserialize_seq(RowsVisitor)
}

struct RowsVisitor;

impl<'de> Visitor<'de> for RowsVisitor {
    type Value = BTreeMap<u128, Request>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence of requests")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut requests = BTreeMap::new();
        while let Some(Row { id, request }) = seq.next_element()? {
            requests.insert(id, request);
        }
        Ok(requests)
    }
}
