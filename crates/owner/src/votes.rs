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
}

impl Voters {
    /// Creates the voters that were written with the claim of the record.
    #[must_use]
    pub const fn new(written: Vec<String>) -> Self {
        Self {
            written,
            proposed: Vec::new(),
            next: 0,
            answered: 0,
        }
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
        majority(&self.written) && self.proposed.iter().all(|(_, voters)| majority(voters))
    }
}

/// Returns whether `followers` of a later granter contain at least half of an earlier one's
/// `voters`, so that no majority of them can confirm the earlier one.
#[must_use]
pub fn is_blocked(voters: &[String], followers: &[String]) -> bool {
    let here = voters.iter().filter(|voter| followers.contains(voter));
    here.count() * 2 >= voters.len().max(1)
}
