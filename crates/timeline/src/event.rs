//! Events and their fields.

use std::fmt;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use tarragon_model::host;

use crate::stamp::Stamp;

/// Fields of an event; few events have more than six.
pub type Fields = SmallVec<[Field; 6]>;

/// Defines an enumeration whose texts are the same in JSON and in logs.
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
            /// Every value, in the order of its definition.
            pub const ALL: &'static [Self] = &[$(Self::$variant),*];

            /// Returns the text used in JSON, in logs and on the command line.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }

            /// Returns the value with that text.
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
    /// What happened.
    Kind {
        /// A router process started.
        HostStarted => "host-started",
        /// A router began to shut down.
        HostDraining => "host-draining",
        /// A router ended its work.
        HostStopped => "host-stopped",
        /// An earlier incarnation of a host is proven gone.
        HostGone => "host-gone",
        /// A leader began to act for a shard.
        TermStarted => "reign-began",
        /// A leader stopped acting for a shard.
        TermEnded => "reign-ended",
        /// A first standby asked the second to yield.
        SuccessionRequested => "succession-asked",
        /// A conditional update of a trio won.
        ReplicaSetChanged => "trio-changed",
        /// A conditional update of a trio lost.
        ReplicaSetChangeLost => "trio-change-lost",
        /// A key group or a key has another owner.
        OwnerMoved => "owner-moved",
        /// A move of ownership began.
        MoveStarted => "move-began",
        /// Requests were refused whose keys wait for the end of work on their lost owner.
        OwnerPending => "owner-held",
        /// A backend server counts as lost.
        BackendLost => "backend-lost",
        /// A backend server answers again or for the first time.
        BackendLive => "backend-live",
        /// A backend server drains.
        BackendLeaving => "backend-leaving",
        /// A backend server ended while it ran a request.
        BackendCrashed => "backend-crashed",
        /// A host received a version of the configuration.
        ConfigSeen => "config-seen",
        /// A shard follows a version of the configuration.
        ConfigApplied => "config-in-force",
        /// A version of the configuration failed its checks and is not followed.
        ConfigRefused => "config-refused",
        /// The store does not answer.
        StoreUnavailable => "store-away",
        /// The store answers again.
        StoreAvailable => "store-back",
        /// A peer's control connection opened.
        PeerConnected => "peer-connected",
        /// A peer's control connection closed.
        PeerLost => "peer-lost",
        /// Requests were refused and not run, counted by reason.
        RequestRefused => "request-refused",
        /// A request was sent again.
        RequestRetried => "request-retried",
        /// The fate of a request is unknown.
        RequestUnknown => "request-unknown",
        /// Requests were refused that crash backend servers.
        Quarantined => "quarantined",
        /// A frame of a peer could not be read.
        BadFrame => "bad-frame",
        /// An object of the store could not be read.
        BadObject => "bad-object",
        /// A connection was refused at a limit or without a valid key.
        ConnectionRefused => "connection-refused",
        /// A connection that took no data for too long was closed.
        ConnectionIdle => "connection-idle",
        /// An invariant that the program asserts does not hold.
        InvariantBroken => "invariant-broken",
    }
}

text_enum! {
    /// Names the field of an event.
    Name {
        /// Shard, as `service.index`.
        Shard => "shard",
        /// Fence, as `epoch.succession`.
        Fence => "fence",
        /// Number of a key group.
        Group => "group",
        /// Key of a caller.
        Key => "key",
        /// Identifier of a request.
        Request => "request",
        /// Backend server.
        Backend => "backend",
        /// Other router, as `host#incarnation`.
        Peer => "peer",
        /// Version of an object.
        Version => "version",
        /// Why it happened.
        Reason => "reason",
        /// Where it came from.
        From => "from",
        /// Where it went.
        To => "to",
        /// Step of a procedure.
        Step => "step",
        /// How many.
        Count => "count",
        /// How long, in milliseconds.
        Millis => "millis",
        /// Anything else.
        Detail => "detail",
    }
}

/// One field of an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Name of the field.
    pub name: Name,
    /// Value as text.
    pub value: String,
}

/// Event that has no place in a journal yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// What happened.
    pub kind: Kind,
    /// Details.
    pub fields: Fields,
}

impl Draft {
    /// Creates a draft without fields.
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
    /// let draft = Draft::new(Kind::StoreUnavailable).with(Name::Step, "watch").with(Name::Millis, 900);
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
    /// Position in the journal of its process, from one.
    pub seq: u64,
    /// Time of the event.
    pub stamp: Stamp,
    /// Host on which it happened.
    pub host: host::Id,
    /// What happened.
    pub kind: Kind,
    /// Details.
    pub fields: Fields,
}

impl Event {
    /// Returns the value of the first field of that name.
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

/// Quotes a value that would otherwise break the line or the pairs on it.
fn write_value(f: &mut fmt::Formatter<'_>, value: &str) -> fmt::Result {
    let breaks = |c: char| c.is_whitespace() || c.is_control() || matches!(c, '"' | '=' | '\\');
    if value.is_empty() || value.contains(breaks) {
        write!(f, "{value:?}")
    } else {
        f.write_str(value)
    }
}
