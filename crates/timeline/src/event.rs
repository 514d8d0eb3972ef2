//! Events and their fields, with the names used in JSON, logs and on the command line.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tarragon_model::host;

use crate::stamp::Stamp;

/// Fields of an event. Few events have more than six, so the fields are usually stored inline.
pub type Fields = SmallVec<[Field; 6]>;

/// Defines an enum whose variants have the same name in JSON, in logs and on the command line.
macro_rules! text_enum {
    ($(#[$meta:meta])* $name:ident { $($(#[$inner:meta])* $variant:ident => $text:literal,)* }) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub enum $name {
            $($(#[$inner])* #[serde(rename = $text)] $variant,)*
        }

        impl $name {
            /// All variants, in the order of their definition.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the name used in JSON, in logs and on the command line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// Parses a name that [`Self::as_str`] returns.
            #[must_use]
            pub fn parse(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|value| value.as_str() == text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

text_enum! {
    /// Kind of an event.
    Kind {
        /// A router process started.
        HostStarted => "host-started",
        /// A router started to shut down.
        HostDraining => "host-draining",
        /// A router stopped.
        HostStopped => "host-stopped",
        /// An earlier incarnation of a host has provably ended.
        HostGone => "host-gone",
        /// A leader started its term for a shard.
        TermStarted => "reign-began",
        /// A leader's term for a shard ended.
        TermEnded => "reign-ended",
        /// The first standby asked the second one to agree to its succession.
        SuccessionRequested => "succession-asked",
        /// A conditional update of a replica set succeeded.
        ReplicaSetChanged => "trio-changed",
        /// A conditional update of a replica set lost to another write.
        ReplicaSetChangeLost => "trio-change-lost",
        /// A key group or a key has a new owner.
        OwnerMoved => "owner-moved",
        /// A move of ownership started.
        MoveStarted => "move-began",
        /// Requests were refused because their keys get no new owner until work on the lost one has
        /// ended.
        OwnerPending => "owner-held",
        /// A backend server is considered lost.
        BackendLost => "backend-lost",
        /// A backend server responds again or for the first time.
        BackendLive => "backend-live",
        /// A backend server is draining.
        BackendLeaving => "backend-leaving",
        /// A backend server process ended while it ran a request.
        BackendCrashed => "backend-crashed",
        /// A host received a version of the configuration.
        ConfigSeen => "config-seen",
        /// A shard applied a version of the configuration.
        ConfigApplied => "config-in-force",
        /// A version of the configuration failed validation and was not applied.
        ConfigRefused => "config-refused",
        /// The store does not respond.
        StoreUnavailable => "store-away",
        /// The store responds again.
        StoreAvailable => "store-back",
        /// The control connection of a peer opened.
        PeerConnected => "peer-connected",
        /// The control connection of a peer closed.
        PeerLost => "peer-lost",
        /// Requests were refused without being run, counted by reason.
        RequestRefused => "request-refused",
        /// A request was retried.
        RequestRetried => "request-retried",
        /// The outcome of a request is unknown.
        RequestUnknown => "request-unknown",
        /// Requests were refused because they crash backend servers.
        Quarantined => "quarantined",
        /// A frame from a peer could not be decoded.
        BadFrame => "bad-frame",
        /// An object from the store could not be decoded.
        BadObject => "bad-object",
        /// A connection was refused because of a limit or because it lacked a valid key.
        ConnectionRefused => "connection-refused",
        /// A connection that accepted no data for too long was closed.
        ConnectionIdle => "connection-idle",
        /// An invariant of the program was violated.
        InvariantBroken => "invariant-broken",
    }
}

text_enum! {
    /// Name of an event's field.
    Name {
        /// Shard, as `service.index`.
        Shard => "shard",
        /// Fence, as `epoch.succession`.
        Fence => "fence",
        /// Index of a key group.
        Group => "group",
        /// Key that a caller's request is for.
        Key => "key",
        /// Identifier of a request.
        Request => "request",
        /// Backend server.
        Backend => "backend",
        /// Other router, as `host#incarnation`.
        Peer => "peer",
        /// Version of an object.
        Version => "version",
        /// Reason for the event.
        Reason => "reason",
        /// Source of a move or a change.
        From => "from",
        /// Target of a move or a change.
        To => "to",
        /// Step of a procedure.
        Step => "step",
        /// Number of occurrences.
        Count => "count",
        /// Duration, in milliseconds.
        Millis => "millis",
        /// Further details.
        Detail => "detail",
    }
}

/// One field of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name of the field.
    pub name: Name,
    /// Value, formatted as a string.
    pub value: String,
}

/// Event that was not added to a journal yet, and so has no position and no stamp.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// Kind of the event.
    pub kind: Kind,
    /// Fields of the event.
    pub fields: Fields,
}

impl Draft {
    /// Creates an event without fields.
    #[must_use]
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            fields: Fields::new(),
        }
    }

    /// Adds a field.
    ///
    /// ```
    /// use tarragon_timeline::event::{Draft, Kind, Name};
    ///
    /// let draft =
    ///     Draft::new(Kind::StoreUnavailable).with(Name::Step, "watch").with(Name::Millis, 900);
    /// assert_eq!(draft.to_string(), "event=store-away step=watch millis=900");
    /// ```
    #[must_use]
    pub fn with(mut self, name: Name, value: impl fmt::Display) -> Self {
        let value = value.to_string();
        self.fields.push(Field { name, value });
        self
    }
}

impl fmt::Display for Draft {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_body(f, self.kind, &self.fields)
    }
}

/// Event in the journal of one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Position in the process's journal, from one.
    pub seq: u64,
    /// Hybrid logical time of the event.
    pub stamp: Stamp,
    /// Host on which it happened.
    pub host: host::Id,
    /// Kind of the event.
    pub kind: Kind,
    /// Fields of the event.
    pub fields: Fields,
}

impl Event {
    /// Returns the value of the first field named `name`.
    #[must_use]
    pub fn field(&self, name: Name) -> Option<&str> {
        let field = self.fields.iter().find(|field| field.name == name);
        field.map(|field| field.value.as_str())
    }
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at={} host={} seq={} ", self.stamp, self.host, self.seq)?;
        write_body(f, self.kind, &self.fields)
    }
}

fn write_body(f: &mut fmt::Formatter<'_>, kind: Kind, fields: &[Field]) -> fmt::Result {
    write!(f, "event={kind}")?;
    for field in fields {
        write!(f, " {}=", field.name)?;
        write_value(f, &field.value)?;
    }
    Ok(())
}

/// Quotes a value that would otherwise break the `key=value` format of the line.
fn write_value(f: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    let breaks = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\');
    if value.is_empty() || value.contains(breaks) {
        write!(f, "{value:?}")
    } else {
        f.write_str(value)
    }
}
