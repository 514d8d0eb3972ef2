//! Ledger of non-idempotent requests, which ensures that none is run twice.
//!
//! The identifier of a dispatched request is either in the ledger or older than the horizon, and
//! requests older than the horizon are never run. The horizon is replicated with the entries, so
//! leaders whose clocks differ agree on it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::identifier;

/// Time for which an identifier is kept, counted from its own timestamp.
pub const RETENTION: Duration = Duration::from_mins(15);

/// Maximum tolerated difference between the wall clocks of any two callers or leaders.
pub const CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Default maximum number of identifiers in the ledger.
pub const DEFAULT_CAPACITY: usize = 262_144;

/// Average memory of one entry in the standard library's `BTreeMap`, in bytes.
const ENTRY_BYTES: usize = 48;

/// Status of a request that is about to be dispatched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Never dispatched, or proven not to have run; may be dispatched.
    Fresh,
    /// Dispatched and not yet finished.
    Running,
    /// Run; the first response had this status.
    Done {
        /// HTTP status of the first response.
        status: u16,
    },
    /// Dispatched, with an unknown outcome: may have been run.
    Unknown,
    /// The identifier was already used for a different request.
    Mismatch,
    /// Older than the retention or the horizon: may have been run, must not be run.
    Expired,
    /// The identifier's timestamp is more than [`CLOCK_SKEW`] in the future.
    FromFuture,
    /// The identifier is not a version 7 UUID.
    NotUuidV7,
    /// The ledger is full; not run.
    Overloaded,
}

/// One change to the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A request is about to be dispatched.
    Dispatched {
        /// Identifier.
        id: u128,
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Time of the dispatch in milliseconds since the Unix epoch.
        at: u64,
    },
    /// A backend server ran a request and responded.
    Finished {
        /// Identifier.
        id: u128,
        /// HTTP status of the response.
        status: u16,
    },
    /// The outcome of a dispatched request is unknown and no longer expected.
    Unresolved {
        /// Identifier.
        id: u128,
    },
    /// A dispatched request has provably not run and never will; it may be dispatched again.
    NotRun {
        /// Identifier.
        id: u128,
    },
    /// A new leader term started: requests that the previous leader left running are unresolved.
    #[serde(rename = "reign")]
    TermStarted,
    /// The ledger was lost: identifiers up to this time plus [`CLOCK_SKEW`] may be missing.
    Horizon {
        /// Milliseconds since the Unix epoch.
        at: u64,
    },
    /// Identifiers with an earlier timestamp expire; see [`Ledger::expiry_cutoff_ms`].
    Expire {
        /// Milliseconds since the Unix epoch.
        before: u64,
    },
}

/// Progress of a dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    Running,
    Unresolved,
    Done { status: u16 },
}

/// A dispatched request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Request {
    pub fingerprint: u64,
    pub progress: Progress,
}

/// Non-idempotent requests by their identifier.
///
/// ```
/// use tarragon_ledger::ledger::{Entry, Ledger, Status};
///
/// let id = 0x0190_0000_0000_7000_8000_0000_0000_0001;
/// let now = 0x0190_0000_0000;
/// let mut ledger = Ledger::default();
/// assert_eq!(ledger.check(now, id, 7), Status::Fresh);
/// ledger.apply(&Entry::Dispatched { id, fingerprint: 7, at: now });
/// assert_eq!(ledger.check(now, id, 7), Status::Running);
/// ledger.apply(&Entry::Finished { id, status: 200 });
/// assert_eq!(ledger.check(now, id, 7), Status::Done { status: 200 });
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Identifiers with an earlier timestamp may be missing, in milliseconds since the Unix epoch.
    horizon: u64,
    capacity: usize,
    #[serde(with = "crate::rows")]
    requests: BTreeMap<u128, Request>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(DEFAULT_CAPACITY)
    }
}

impl Ledger {
    /// Creates an empty ledger that admits new requests as long as it holds fewer than `capacity`
    /// identifiers.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            horizon: 0,
            capacity,
            requests: BTreeMap::new(),
        }
    }

    /// Returns the status of a request.
    ///
    /// `now_unix_ms` is the leader's wall clock, `fingerprint` identifies the request's content.
    #[must_use]
    pub fn check(&self, now_unix_ms: u64, id: u128, fingerprint: u64) -> Status {
        let Some(time) = identifier::unix_ms(id) else {
            return Status::NotUuidV7;
        };
        if let Some(request) = self.requests.get(&id) {
            return request.status(fingerprint);
        }
        if time < self.horizon.max(Self::expiry_cutoff_ms(now_unix_ms)) {
            return Status::Expired;
        }
        if time > now_unix_ms.saturating_add(millis(CLOCK_SKEW)) {
            return Status::FromFuture;
        }
        if self.requests.len() >= self.capacity {
            return Status::Overloaded;
        }
        Status::Fresh
    }

    /// Applies one change. Changes to requests that are not in the ledger have no effect.
    pub fn apply(&mut self, entry: &Entry) {
        match *entry {
            Entry::Dispatched {
                id, fingerprint, ..
            } => self.dispatch(id, fingerprint),
            Entry::Finished { id, status } => self.set_progress(id, Progress::Done { status }),
            Entry::Unresolved { id } => self.set_progress(id, Progress::Unresolved),
            Entry::NotRun { id } => self.remove(id),
            Entry::TermStarted => self.mark_running_unresolved(),
            Entry::Horizon { at } => self.expire(at.saturating_add(millis(CLOCK_SKEW))),
            Entry::Expire { before } => self.expire(before),
        }
    }

    fn dispatch(&mut self, id: u128, fingerprint: u64) {
        let request = Request {
            fingerprint,
            progress: Progress::Running,
        };
        self.requests.entry(id).or_insert(request);
    }

    /// Sets the progress of a request, unless it is done already.
    fn set_progress(&mut self, id: u128, progress: Progress) {
        if let Some(request) = self.requests.get_mut(&id)
            && !matches!(request.progress, Progress::Done { .. })
        {
            request.progress = progress;
        }
    }

    fn mark_running_unresolved(&mut self) {
        for request in self.requests.values_mut() {
            if request.progress == Progress::Running {
                request.progress = Progress::Unresolved;
            }
        }
    }

    fn remove(&mut self, id: u128) {
        let done = |request: &Request| matches!(request.progress, Progress::Done { .. });
        if !self.requests.get(&id).is_some_and(done) {
            self.requests.remove(&id);
        }
    }

    fn expire(&mut self, before: u64) {
        if before > self.horizon {
            self.horizon = before;
            self.requests = self.requests.split_off(&identifier::lower_bound(before));
        }
    }

    /// Returns the `before` of an [`Entry::Expire`] that is due at `now_unix_ms`, in milliseconds
    /// since the Unix epoch.
    #[must_use]
    pub fn expiry_cutoff_ms(now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_sub(millis(RETENTION))
    }

    /// Returns the time before which identifiers may be missing, in milliseconds since the Unix
    /// epoch.
    #[must_use]
    pub fn horizon(&self) -> u64 {
        self.horizon
    }

    /// Returns the number of identifiers in the ledger.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the ledger holds no identifier.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Returns an estimate of the memory used, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.requests.len() * ENTRY_BYTES
    }
}

impl Request {
    fn status(&self, fingerprint: u64) -> Status {
        if self.fingerprint != fingerprint {
            return Status::Mismatch;
        }
        match self.progress {
            Progress::Running => Status::Running,
            Progress::Unresolved => Status::Unknown,
            Progress::Done { status } => Status::Done { status },
        }
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
