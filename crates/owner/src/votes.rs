//! Votes that confirm a granter's term while it does not reach the store.
//!
//! A granter may send commands while a majority of its voters follows it. A later granter rules it
//! out once half of those voters follow the later one. That is safe if a voter never returns to an
//! earlier granter ([`Pledge`]), and if both granters count the same voters ([`Voters`]).

use std::collections::HashSet;

/// Latest granter that one process has followed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pledge {
    version: u64,
}

impl Pledge {
    /// Follows the granter whose election record has the given version; returns `false` if this
    /// process has followed a later one.
    ///
    /// ```
    /// use tarragon_owner::votes::Pledge;
    ///
    /// let mut pledge = Pledge::default();
    /// assert!(pledge.follow(4));
    /// assert!(!pledge.follow(3));
    /// ```
    pub fn follow(&mut self, version: u64) -> bool {
        let allowed = version >= self.version;
        self.version = self.version.max(version);
        allowed
    }
}

/// Voters of a granter: those that the store has, and those that it may have.
///
/// While the outcome of a write is unknown, a later granter may read either set. Only a majority of
/// each of them counts then.
#[derive(Clone, Debug)]
pub struct Voters {
    written: Vec<String>,
    /// Sets whose writes have not been answered, by number.
    proposed: Vec<(u64, Vec<String>)>,
    next: u64,
    /// Number of the latest write that was answered.
    answered: u64,
    /// Voters of the earlier granters that the claim replaced.
    replaced: Vec<Vec<String>>,
}

impl Voters {
    /// Creates the voters that were written with the claim of the record.
    #[must_use]
    pub fn new(written: Vec<String>) -> Self {
        Self {
            written,
            proposed: Vec::new(),
            next: 0,
            answered: 0,
            replaced: Vec::new(),
        }
    }

    /// Counts a majority of each of `replaced` too, or of no other set if there is none.
    ///
    /// A term that is younger than a copy of the store may be forgotten by it. These voters are
    /// those that the copy has, and that a later granter asks.
    ///
    /// ```
    /// use tarragon_owner::votes::Voters;
    ///
    /// let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    /// let mut voters = Voters::new(names(&["a"]));
    /// voters.require(vec![names(&["a", "b", "c"])]);
    /// assert!(!voters.has_majority(&names(&["a"])));
    /// voters.require(Vec::new());
    /// assert!(voters.has_majority(&names(&["a"])));
    /// ```
    pub fn require(&mut self, replaced: Vec<Vec<String>>) {
        self.replaced = replaced;
        self.replaced.retain(|voters| !voters.is_empty());
    }

    /// Notes that a write of `voters` begins, and returns its number.
    pub fn propose(&mut self, voters: &[String]) -> u64 {
        self.next += 1;
        self.proposed.retain(|(_, known)| known != voters);
        self.proposed.push((self.next, voters.to_vec()));
        self.next
    }

    /// Notes that the response to write `number` shows that the store has `voters`.
    ///
    /// Neither this write nor an earlier one can take effect any more: each of them expects a
    /// version that is gone. Responses that were overtaken by one to a later write change nothing.
    pub fn confirm(&mut self, number: u64, voters: Vec<String>) {
        if number < self.answered {
            return;
        }
        self.answered = number;
        self.written = voters;
        self.proposed.retain(|(later, _)| *later > number);
    }

    /// Returns whether `followers` contain a majority of every set that the store may have.
    ///
    /// ```
    /// use tarragon_owner::votes::Voters;
    ///
    /// let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
    /// let mut voters = Voters::new(names(&["a"]));
    /// voters.propose(&names(&["a", "b", "c"]));
    /// assert!(!voters.has_majority(&names(&["a"])));
    /// assert!(voters.has_majority(&names(&["a", "c"])));
    /// ```
    #[must_use]
    pub fn has_majority(&self, followers: &[String]) -> bool {
        let followers: HashSet<&str> = followers.iter().map(String::as_str).collect();
        let majority = |voters: &[String]| {
            let votes = voters.iter().filter(|v| followers.contains(v.as_str()));
            votes.count() * 2 > voters.len()
        };
        majority(&self.written)
            && self.proposed.iter().all(|(_, voters)| majority(voters))
            && self.replaced.iter().all(|voters| majority(voters))
    }
}

/// Returns whether `followers` of a later granter contain at least half of an earlier one's
/// `voters`, so that no majority of them can confirm the earlier one.
///
/// A voter is a host and the incarnation of its process, `host/incarnation`. One whose host runs a
/// later process has ended and confirms nobody, so it counts too.
///
/// ```
/// use tarragon_owner::votes::is_blocked;
///
/// let names = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect::<Vec<_>>();
/// let voters = names(&["a/7", "b/4", "c/5"]);
/// assert!(!is_blocked(&voters, &names(&["a/7", "b/3"])));
/// assert!(is_blocked(&voters, &names(&["a/7", "b/12"])));
/// ```
#[must_use]
pub fn is_blocked(voters: &[String], followers: &[String]) -> bool {
    let here = voters
        .iter()
        .filter(|voter| followers.iter().any(|follower| replaces(follower, voter)));
    here.count() * 2 >= voters.len().max(1)
}

/// Returns whether `process` is `voter`, or a later process of its host.
fn replaces(process: &str, voter: &str) -> bool {
    let incarnation = |id: &str| id.rsplit_once('/')?.1.parse::<u64>().ok();
    let host = |id: &str| id.rsplit_once('/').map(|(host, _)| host.to_owned());
    process == voter
        || (host(process).is_some()
            && host(process) == host(voter)
            && incarnation(process) > incarnation(voter)
            && incarnation(voter).is_some())
}
