//! Joins the events of several hosts into one time line.

use tarragon_model::host;

use crate::event::{Event, Kind, Name};

/// Chooses events; an absent criterion chooses all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Filter {
    /// Key of a caller.
    pub key: Option<String>,
    /// Host on which the event happened.
    pub host: Option<host::Id>,
    /// Identifier of a request.
    pub request: Option<String>,
    /// Shard, as `service.index`.
    pub shard: Option<String>,
    /// What happened.
    pub kind: Option<Kind>,
}

impl Filter {
    /// Tells whether the event meets every criterion.
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
/// An event that another one observed, directly or through others, stands before it. Events of
/// one process keep their order. Ties are broken by host and position, so that equal inputs
/// always give the same time line.
///
/// ```
/// use tarragon_timeline::event::{Draft, Kind};
/// use tarragon_timeline::journal::Journal;
/// use tarragon_timeline::merge::merge;
///
/// let mut asker = Journal::new("h1".into(), 9);
/// let mut answerer = Journal::new("h2".into(), 9);
/// let asked = asker.push(Draft::new(Kind::SuccessionRequested), 5_000);
/// answerer.observe(10, asked.stamp);
/// answerer.push(Draft::new(Kind::SuccessionRequested), 10);
/// let line = merge(vec![answerer.after(0, 9).0, asker.after(0, 9).0]);
/// assert_eq!(line[0].kind, Kind::SuccessionRequested);
/// ```
#[must_use]
pub fn merge(hosts: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = hosts.into_iter().flatten().collect();
    events.sort_by(|a, b| (a.stamp, &a.host, a.seq).cmp(&(b.stamp, &b.host, b.seq)));
    events
}
