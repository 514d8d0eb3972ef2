//! Merges the events of several hosts into one timeline.

use tarragon_model::host;

use crate::event::{Event, Kind, Name};

/// Filter for events; an absent criterion matches every event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Key that a caller's request is for.
    pub key: Option<String>,
    /// Host on which the event happened.
    pub host: Option<host::Id>,
    /// Identifier of a request.
    pub request: Option<String>,
    /// Shard, as `service.index`.
    pub shard: Option<String>,
    /// Kind of the event.
    pub kind: Option<Kind>,
}

impl Filter {
    /// Returns whether the event matches every criterion.
    ///
    /// ```
    /// use tarragon_timeline::event::{Draft, Kind, Name};
    /// use tarragon_timeline::journal::Journal;
    /// use tarragon_timeline::merge::Filter;
    ///
    /// let draft = Draft::new(Kind::OwnerPending).with(Name::Key, "vessel-9");
    /// let event = Journal::new("h1".into(), 1).push(draft, 0);
    /// let filter = Filter { key: Some("vessel-9".to_owned()), ..Filter::default() };
    /// assert!(filter.accepts(&event));
    /// ```
    #[must_use]
    pub fn accepts(&self, event: &Event) -> bool {
        let field = |wanted: &Option<String>, name| match wanted {
            Some(wanted) => event.field(name) == Some(wanted.as_str()),
            None => true,
        };
        self.kind.is_none_or(|kind| kind == event.kind)
            && self.host.as_ref().is_none_or(|host| *host == event.host)
            && field(&self.key, Name::Key)
            && field(&self.request, Name::Request)
            && field(&self.shard, Name::Shard)
    }
}

/// Merges the events of several hosts in causal order.
///
/// If one event happened before another, directly or transitively, it precedes the other one in the
/// result. Events of one process keep their order. Ties are broken by host and position, so that
/// the result is deterministic.
///
/// ```
/// use tarragon_timeline::event::{Draft, Kind};
/// use tarragon_timeline::journal::Journal;
/// use tarragon_timeline::merge::merge;
///
/// let mut requester = Journal::new("h1".into(), 9);
/// let mut responder = Journal::new("h2".into(), 9);
/// let requested = requester.push(Draft::new(Kind::SuccessionRequested), 5_000);
/// responder.observe(10, requested.stamp);
/// responder.push(Draft::new(Kind::SuccessionRequested), 10);
/// let timeline = merge(vec![responder.after(0, 9).0, requester.after(0, 9).0]);
/// assert_eq!(timeline[0].kind, Kind::SuccessionRequested);
/// ```
#[must_use]
pub fn merge(hosts: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = hosts.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.host, a.seq).cmp(&(b.stamp, &b.host, b.seq)));
    events
}
