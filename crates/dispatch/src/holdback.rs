//! Holds requests for a full key holder back until a slot is expected to be free.
//!
//! Only one server can process a request with a key. While it refuses, each host sends it one request
//! at a time, paced by what its responses show, and keeps the others in order of priority and age.
//! A refused send would cost a retry and a slot in the queue of another caller.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tarragon_model::time::Instant;

/// Time after the last refusal for which requests are held back.
const HOLD_TIME: Duration = Duration::from_secs(2);
/// Maximum interval between two sends to a holder that refuses, in multiples of the time in which it
/// frees a slot. With 63 hosts at one holder, each is due once in about as many.
const MAX_SLOTS: f64 = 32.0;
/// Factor by which a refusal lengthens the interval, and a response shortens it.
const FACTORS: (f64, f64) = (2.0, 0.5);
/// Part of the time to a caller's deadline within which a request must end whose objective is missed.
const DEADLINE_PART: f64 = 0.5;

/// Request as far as its turn depends on it. Requests are ordered by priority, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// Priority of its route, 0 is the highest.
    pub priority: u32,
    /// When it arrived at this host.
    pub started: Instant,
    /// Number that tells it from others.
    pub number: u64,
}

/// When a request must have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// End of its objective.
    pub objective: Instant,
    /// When its caller gives up.
    pub deadline: Instant,
}

/// What to do with a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent.
    Send,
    /// It is asked about again after this time.
    Wait(Duration),
    /// It cannot be served in time; room is expected after this time.
    Reject(Duration),
}

/// Holders that refused requests lately.
#[derive(Debug, Default)]
pub struct Holdback {
    holders: HashMap<String, Holder>,
}

#[derive(Debug)]
struct Holder {
    refused_at: Instant,
    /// Time that a request takes.
    work: Duration,
    /// Time in which a slot frees up.
    slot: Duration,
    /// Interval between sends, in multiples of `slot`.
    factor: f64,
    next_send: Instant,
    waiting: BTreeSet<Ticket>,
}

impl Holder {
    fn interval(&self) -> Duration {
        self.slot.mul_f64(self.factor)
    }
}

impl Holdback {
    /// Records that a holder with `slots` slots, at which a request takes `work`, refused a request.
    pub fn record_refused(&mut self, id: &str, slots: u32, work: Duration, now: Instant) {
        let slot = work / slots.max(1);
        let holder = self.holders.entry(id.to_owned()).or_insert(Holder {
            refused_at: now,
            work,
            slot,
            factor: 1.0,
            next_send: now,
            waiting: BTreeSet::new(),
        });
        (holder.refused_at, holder.work, holder.slot) = (now, work, slot);
        holder.factor = (holder.factor * FACTORS.0).min(MAX_SLOTS);
        holder.next_send = holder.next_send.max(now + holder.interval());
    }

    /// Records that a holder processed a request.
    pub fn record_served(&mut self, id: &str) {
        if let Some(holder) = self.holders.get_mut(id) {
            holder.factor = (holder.factor * FACTORS.1).max(1.0);
        }
    }

    /// Decides about a request. It is asked about again until the verdict is not to wait, or until
    /// [`Holdback::leave`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragon_dispatch::holdback::{Holdback, Limits, Ticket, Verdict};
    /// use tarragon_model::time::Instant;
    ///
    /// let mut holdback = Holdback::default();
    /// let now = Instant::from_millis(1_000);
    /// let ticket = Ticket { priority: 1, started: now, number: 1 };
    /// let end = now + Duration::from_millis(800);
    /// let limits = Limits { objective: end, deadline: now + Duration::from_secs(5) };
    /// assert_eq!(holdback.admit("a", ticket, limits, now), Verdict::Send);
    /// holdback.record_refused("a", 2, Duration::from_millis(140), now);
    /// let verdict = holdback.admit("a", ticket, limits, now);
    /// assert_eq!(verdict, Verdict::Wait(Duration::from_millis(140)));
    /// ```
    pub fn admit(&mut self, id: &str, ticket: Ticket, limits: Limits, now: Instant) -> Verdict {
        let Some(holder) = self.holders.get_mut(id) else {
            return Verdict::Send;
        };
        if now.since(holder.refused_at) >= HOLD_TIME {
            holder.waiting.remove(&ticket);
            if holder.waiting.is_empty() {
                self.holders.remove(id);
            }
            return Verdict::Send;
        }
        holder.waiting.insert(ticket);
        let ahead = holder.waiting.range(..ticket).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let interval = holder.interval();
        let turn = holder.next_send.max(now) + interval * ahead;
        if turn <= now {
            holder.waiting.remove(&ticket);
            holder.next_send = now + interval;
            return Verdict::Send;
        }
        let missed = now + holder.work > limits.objective;
        let latest = if missed {
            now + limits.deadline.since(now).mul_f64(DEADLINE_PART)
        } else {
            limits.objective
        };
        if turn + holder.work > latest {
            holder.waiting.remove(&ticket);
            return Verdict::Reject(turn.since(now));
        }
        Verdict::Wait(turn.since(now).min(interval))
    }

    /// Removes a request that is not waiting any more.
    pub fn leave(&mut self, id: &str, ticket: Ticket) {
        if let Some(holder) = self.holders.get_mut(id) {
            holder.waiting.remove(&ticket);
        }
    }
}
