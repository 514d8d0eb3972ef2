//! Faults that a run injects: their kinds, their targets and their schedules.
//!
//! | kind | target | effect |
//! |---|---|---|
//! | `host-kill` | host | SIGKILL, restarted under the same name after `for_ms` |
//! | `host-freeze` | host | SIGSTOP, SIGCONT after `for_ms` |
//! | `host-drain` | host | SIGTERM, restarted `for_ms` after its end |
//! | `roll-hosts` | - | all hosts replaced one by one |
//! | `link-cut` | two of host, backend server, `store` | nothing passes between them |
//! | `link-cut-forward` | two | nothing passes from the first to the second |
//! | `link-cut-back` | two | nothing passes from the second to the first |
//! | `partition` | hosts, region or failure domain | cut off from all other hosts |
//! | `region-cut` | region | cut off from all other regions and their backend servers |
//! | `domain-kill` | failure domain | all its hosts killed, restarted after `for_ms` |
//! | `store-down` | - | the store refuses all calls |
//! | `store-slow` | - | the store responds late |
//! | `store-stale` | - | reads and watches of the store lag |
//! | `store-lose-answers` | - | responses are lost after the write took effect |
//! | `store-cut` | host | one host cannot reach the store |
//! | `list-lag` | - | the host list lags by a long time |
//! | `list-wrong` | host | the host list reports the opposite state of the host |
//! | `operators-race` | - | two conditional updates of the preset at once |
//! | `preset-change` | preset or - | an operator changes the preset |
//! | `backend-kill` | backend server | SIGKILL, restarted after `for_ms` |
//! | `backend-freeze` | backend server | SIGSTOP, SIGCONT after `for_ms` |
//! | `backend-drain` | backend server | told to drain, restarted after `for_ms` |
//! | `backend-shed` | backend server | refuses work before running it |
//! | `backend-lie` | backend server | health and load endpoints mislead |
//! | `backend-slow` | backend server | runs work more slowly |
//! | `backend-cold` | backend server | restarts and warms up slowly |
//! | `backend-half-answer` | backend server | breaks connections in the middle of responses |
//! | `poison` | service or - | a request that crashes each backend server that runs it |

pub mod file;
pub mod inject;
pub mod journal;
pub mod poison;
pub mod provoke;
pub mod schedule;

use std::fmt;

use smallvec::SmallVec;

/// Kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[expect(missing_docs, reason = "the table of the module documents the kinds")]
pub enum Kind {
    HostKill,
    HostFreeze,
    HostDrain,
    RollHosts,
    LinkCut,
    LinkCutForward,
    LinkCutBack,
    Partition,
    RegionCut,
    DomainKill,
    StoreDown,
    StoreSlow,
    StoreStale,
    StoreLoseAnswers,
    StoreCut,
    ListLag,
    ListWrong,
    OperatorsRace,
    PresetChange,
    BackendKill,
    BackendFreeze,
    BackendDrain,
    BackendShed,
    BackendLie,
    BackendSlow,
    BackendCold,
    BackendHalfAnswer,
    Poison,
}

/// What the target of a fault names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// No target.
    Nothing,
    /// One host.
    Host,
    /// One host, or none for the program to choose.
    AnyHost,
    /// Two ends of a link: a host, and a host, a backend server or the store.
    Link,
    /// A list of hosts, one region or one failure domain.
    Group,
    /// One region.
    Region,
    /// One failure domain.
    Domain,
    /// One backend server.
    Backend,
    /// One preset, or none for the next.
    Preset,
    /// One service, or none for the keyed one.
    Service,
}

impl Kind {
    /// All kinds, with their names and targets.
    pub const ALL: [(Self, &'static str, Scope); 28] = [
        (Self::HostKill, "host-kill", Scope::Host),
        (Self::HostFreeze, "host-freeze", Scope::Host),
        (Self::HostDrain, "host-drain", Scope::Host),
        (Self::RollHosts, "roll-hosts", Scope::Nothing),
        (Self::LinkCut, "link-cut", Scope::Link),
        (Self::LinkCutForward, "link-cut-forward", Scope::Link),
        (Self::LinkCutBack, "link-cut-back", Scope::Link),
        (Self::Partition, "partition", Scope::Group),
        (Self::RegionCut, "region-cut", Scope::Region),
        (Self::DomainKill, "domain-kill", Scope::Domain),
        (Self::StoreDown, "store-down", Scope::Nothing),
        (Self::StoreSlow, "store-slow", Scope::Nothing),
        (Self::StoreStale, "store-stale", Scope::Nothing),
        (Self::StoreLoseAnswers, "store-lose-answers", Scope::Nothing),
        (Self::StoreCut, "store-cut", Scope::Host),
        (Self::ListLag, "list-lag", Scope::Nothing),
        (Self::ListWrong, "list-wrong", Scope::AnyHost),
        (Self::OperatorsRace, "operators-race", Scope::Nothing),
        (Self::PresetChange, "preset-change", Scope::Preset),
        (Self::BackendKill, "backend-kill", Scope::Backend),
        (Self::BackendFreeze, "backend-freeze", Scope::Backend),
        (Self::BackendDrain, "backend-drain", Scope::Backend),
        (Self::BackendShed, "backend-shed", Scope::Backend),
        (Self::BackendLie, "backend-lie", Scope::Backend),
        (Self::BackendSlow, "backend-slow", Scope::Backend),
        (Self::BackendCold, "backend-cold", Scope::Backend),
        (
            Self::BackendHalfAnswer,
            "backend-half-answer",
            Scope::Backend,
        ),
        (Self::Poison, "poison", Scope::Service),
    ];

    /// Returns the kind called `name`.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .find(|(_, text, _)| *text == name)
            .map(|(kind, _, _)| *kind)
    }

    /// Returns the name of the kind.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.row().1
    }

    /// Returns what the target names.
    #[must_use]
    pub fn scope(self) -> Scope {
        self.row().2
    }

    /// Returns a description of the effect for the help text.
    #[must_use]
    pub fn effect(self) -> &'static str {
        match self {
            Self::HostKill => "SIGKILL, restarted under the same name after for_ms",
            Self::HostFreeze | Self::BackendFreeze => "SIGSTOP, SIGCONT after for_ms",
            Self::HostDrain => "SIGTERM, restarted for_ms after its end",
            Self::RollHosts => "all hosts replaced one by one",
            Self::LinkCut => "nothing passes between them",
            Self::LinkCutForward => "nothing passes from the first to the second",
            Self::LinkCutBack => "nothing passes from the second to the first",
            Self::Partition => "cut off from all other hosts",
            Self::RegionCut => "cut off from all other regions and their backend servers",
            Self::DomainKill => "all its hosts killed, restarted after for_ms",
            Self::StoreDown => "the store refuses all calls",
            Self::StoreSlow => "the store answers late",
            Self::StoreStale => "reads and watches of the store lag",
            Self::StoreLoseAnswers => "answers are lost after the write took effect",
            Self::StoreCut => "one host cannot reach the store",
            Self::ListLag => "the host list lags for long",
            Self::ListWrong => "the host list states the contrary about the host",
            Self::OperatorsRace => "two conditional updates of the preset at once",
            Self::PresetChange => "an operator changes the preset",
            Self::BackendKill => "SIGKILL, restarted after for_ms",
            Self::BackendDrain => "told to drain, restarted after for_ms",
            Self::BackendShed => "refuses work before running it",
            Self::BackendLie => "health and load endpoints mislead",
            Self::BackendSlow => "runs work more slowly",
            Self::BackendCold => "starts anew and warms up slowly",
            Self::BackendHalfAnswer => "breaks connections within answers",
            Self::Poison => "a request that ends each backend server which runs it",
        }
    }

    fn row(self) -> &'static (Self, &'static str, Scope) {
        let row = Self::ALL.iter().find(|(kind, _, _)| *kind == self);
        row.unwrap_or(&Self::ALL[0])
    }

    /// Returns whether the fault takes away processes or network paths that a shard may need.
    ///
    /// The guarantee on unavailable time covers one such fault at a time; other faults must not
    /// interrupt service at all.
    #[must_use]
    pub fn is_disruptive(self) -> bool {
        matches!(
            self,
            Self::HostKill
                | Self::HostFreeze
                | Self::HostDrain
                | Self::RollHosts
                | Self::LinkCut
                | Self::LinkCutForward
                | Self::LinkCutBack
                | Self::Partition
                | Self::RegionCut
                | Self::DomainKill
                | Self::BackendKill
                | Self::BackendFreeze
                | Self::BackendDrain
                | Self::BackendCold
                | Self::BackendShed
                | Self::BackendHalfAnswer
                | Self::Poison
        )
    }

    /// Returns whether the fault may keep hosts from reading or writing the store.
    #[must_use]
    pub fn blocks_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown
                | Self::StoreSlow
                | Self::StoreStale
                | Self::StoreLoseAnswers
                | Self::StoreCut
                | Self::Partition
                | Self::RegionCut
                | Self::LinkCut
                | Self::LinkCutForward
                | Self::LinkCutBack
                | Self::HostFreeze
        )
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Names of the hosts, backend servers or groups that a fault affects.
pub type Names = SmallVec<[String; 2]>;

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time from the start of the load, in milliseconds.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: Kind,
    /// Names of its targets.
    pub target: Names,
    /// Duration of the fault, in milliseconds.
    pub for_ms: u64,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let target = if self.target.is_empty() {
            "-".to_owned()
        } else {
            self.target.join(",")
        };
        write!(
            f,
            "at_ms={} kind={} target={target} for_ms={}",
            self.at_ms, self.kind, self.for_ms
        )
    }
}

/// Names of everything that a fault may target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Targets {
    /// Hosts.
    pub hosts: Vec<String>,
    /// Backend servers.
    pub backends: Vec<String>,
    /// Regions.
    pub regions: Vec<String>,
    /// Failure domains.
    pub domains: Vec<String>,
    /// Services.
    pub services: Vec<String>,
}

/// Names of the presets.
const PRESETS: [&str; 3] = ["ordinary", "peak", "maintenance"];

impl Targets {
    /// Checks that a target fits the kind of fault.
    ///
    /// # Errors
    ///
    /// Returns a message that states what kind of target is needed.
    pub fn check(&self, kind: Kind, target: &[String]) -> Result<(), String> {
        let known = |names: &[String], name: &String| names.contains(name);
        let (fits, needs) = match kind.scope() {
            Scope::Nothing => (target.is_empty(), "no target"),
            Scope::Host => (is_one_of(target, &self.hosts), "one host"),
            Scope::AnyHost => (
                is_empty_or_one_of(target, &self.hosts),
                "one host or no target",
            ),
            Scope::Region => (is_one_of(target, &self.regions), "one region"),
            Scope::Domain => (is_one_of(target, &self.domains), "one failure domain"),
            Scope::Backend => (is_one_of(target, &self.backends), "one backend server"),
            Scope::Service => (
                is_empty_or_one_of(target, &self.services),
                "one service or no target",
            ),
            Scope::Preset => {
                let presets = PRESETS.map(str::to_owned);
                (
                    is_empty_or_one_of(target, &presets),
                    "one preset or no target",
                )
            }
            Scope::Link => {
                let is_endpoint = |name: &String| {
                    name == STORE || known(&self.hosts, name) || known(&self.backends, name)
                };
                let has_host = target.iter().any(|name| known(&self.hosts, name));
                let distinct = target.len() == 2 && target[0] != target[1];
                (
                    distinct && has_host && target.iter().all(is_endpoint),
                    LINK_TARGET,
                )
            }
            Scope::Group => (!self.members(target).is_empty(), GROUP_TARGET),
        };
        if fits {
            return Ok(());
        }
        let given = if target.is_empty() {
            "nothing".to_owned()
        } else {
            target.join(", ")
        };
        Err(format!("{kind} needs {needs}, not {given}"))
    }

    /// Returns the names of a list of hosts, or the one region or failure domain of the target.
    ///
    /// Empty when a name is unknown.
    #[must_use]
    pub fn members<'a>(&self, target: &'a [String]) -> &'a [String] {
        let all_hosts = target.iter().all(|name| self.hosts.contains(name));
        if all_hosts || is_one_of(target, &self.regions) || is_one_of(target, &self.domains) {
            target
        } else {
            &[]
        }
    }
}

/// Name of the store as one end of a link.
const STORE: &str = "store";
/// Targets that a fault of a link accepts.
const LINK_TARGET: &str = "two different hosts, or one host and a backend server or `store`";
/// Targets that a fault of a group accepts.
const GROUP_TARGET: &str = "a list of hosts, one region or one failure domain";

fn is_one_of(target: &[String], names: &[String]) -> bool {
    target.len() == 1 && names.contains(&target[0])
}

fn is_empty_or_one_of(target: &[String], names: &[String]) -> bool {
    target.is_empty() || is_one_of(target, names)
}
