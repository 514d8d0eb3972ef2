//! No two granters are confirmed by the same voters.

use proptest::prelude::*;
use tarragon_owner::votes::{Pledge, Voters, is_blocked};

fn ids(members: &[usize]) -> Vec<String> {
    members.iter().map(ToString::to_string).collect()
}

#[test]
fn a_response_to_an_earlier_write_leaves_the_later_proposal_pending() {
    let mut voters = Voters::new(ids(&[1]));
    let first = voters.propose(&ids(&[1, 2, 3]));
    voters.propose(&ids(&[1, 4, 5]));
    voters.confirm(first, ids(&[1, 2, 3]));
    assert!(!voters.has_majority(&ids(&[1, 2])));
    assert!(voters.has_majority(&ids(&[1, 2, 4])));
}

#[test]
fn a_repeated_proposal_counts_until_its_latest_write_is_answered() {
    let mut voters = Voters::new(ids(&[1]));
    let first = voters.propose(&ids(&[1, 2]));
    let second = voters.propose(&ids(&[1, 2]));
    voters.confirm(first, ids(&[1]));
    assert!(!voters.has_majority(&ids(&[1])));
    voters.confirm(second, ids(&[1]));
    assert!(voters.has_majority(&ids(&[1])));
}

/// Guards against voters that the store no longer has, by a response that a freeze held up.
#[test]
fn a_late_response_to_an_earlier_write_changes_nothing() {
    let mut voters = Voters::new(ids(&[1]));
    let first = voters.propose(&ids(&[1, 2, 3]));
    let second = voters.propose(&ids(&[1, 4, 5]));
    voters.confirm(second, ids(&[1, 4, 5]));
    voters.confirm(first, ids(&[1, 2, 3]));
    assert!(!voters.has_majority(&ids(&[1, 2])));
    assert!(voters.has_majority(&ids(&[1, 4])));
}

#[test]
fn a_granter_without_voters_is_blocked_only_by_a_follower() {
    assert!(!is_blocked(&[], &ids(&[1])), "no voters are known");
    assert!(is_blocked(&ids(&[1, 2]), &ids(&[2, 3])));
}

proptest! {
    /// Whichever set of voters the store has, a later granter that blocks it leaves the earlier one
    /// without a majority, as long as no voter returns.
    #[test]
    fn a_blocked_granter_has_no_majority(
        written in prop::collection::btree_set(0..7_usize, 1..7),
        proposed in prop::collection::btree_set(0..7_usize, 1..7),
        took_effect in any::<bool>(),
        moved in prop::collection::btree_set(0..7_usize, 0..7),
    ) {
        let set = |members: &std::collections::BTreeSet<usize>| {
            ids(&members.iter().copied().collect::<Vec<_>>())
        };
        let mut voters = Voters::new(set(&written));
        voters.propose(&set(&proposed));
        let in_store = if took_effect { &proposed } else { &written };
        let left: Vec<usize> = (0..7).filter(|voter| !moved.contains(voter)).collect();
        if is_blocked(&set(in_store), &set(&moved)) {
            prop_assert!(!voters.has_majority(&ids(&left)));
        }
    }

    /// The versions that a process follows never decrease.
    #[test]
    fn a_pledge_never_returns(versions in prop::collection::vec(0..20_u64, 1..40)) {
        let mut pledge = Pledge::default();
        let followed: Vec<u64> = versions.into_iter().filter(|v| pledge.follow(*v)).collect();
        prop_assert!(followed.is_sorted());
    }
}
