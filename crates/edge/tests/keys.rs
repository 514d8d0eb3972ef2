//! Patches of key maps lead to the same map as the whole of it.

use proptest::prelude::*;
use tarragon_edge::keys::{Map, Range};
use tarragon_owner::plan::Holder;

fn map(version: u64, cuts: &[(u16, u8, bool)]) -> Map {
    let mut cuts = cuts.to_vec();
    cuts.push((u16::MAX, 9, true));
    cuts.sort_by_key(|cut| cut.0);
    cuts.dedup_by_key(|cut| cut.0);
    let ranges = cuts.into_iter().map(|(to, holder, held)| Range {
        to,
        holder: Holder {
            id: format!("i{holder}"),
            start_ms: 1,
        },
        held,
    });
    Map {
        version: (1, version),
        sequence: version,
        ranges: ranges.collect(),
    }
}

proptest! {
    #[test]
    fn a_patched_map_names_the_same_holders(
        before in prop::collection::vec((any::<u16>(), 0..4_u8, any::<bool>()), 0..20),
        after in prop::collection::vec((any::<u16>(), 0..4_u8, any::<bool>()), 0..20),
        keys in prop::collection::vec(any::<u16>(), 1..200),
    ) {
        let (before, after) = (map(1, &before), map(2, &after));
        let mut patched = before.clone();
        patched.apply(&after.since(&before));
        prop_assert_eq!(patched.version, after.version);
        let ends = after.ranges.iter().flat_map(|range| [range.to, range.to.saturating_add(1)]);
        for key in keys.into_iter().chain(ends.collect::<Vec<_>>()) {
            let (is, should) = (patched.find(key).unwrap(), after.find(key).unwrap());
            prop_assert_eq!(&is.holder, &should.holder);
            prop_assert_eq!(is.held, should.held);
        }
    }
}
