//! Properties of the assignment of upstreams to owners.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use comfreychute::id::{DomainId, InstanceId, UpstreamId};
use comfreychute::owner::OwnerMap;
use comfreychute::table::{PoolTable, UpstreamRow, UpstreamState};
use proptest::collection::btree_set;
use proptest::prelude::*;

use crate::fixture::{domain_of, id, seeded};

type Candidates = BTreeMap<DomainId, BTreeSet<InstanceId>>;

fn table(upstreams: usize) -> PoolTable {
    let rows = (0..upstreams)
        .map(|number| UpstreamRow {
            name: UpstreamId::from_name(&format!("engine-{number}")),
            domain: domain_of(number),
            address: SocketAddr::from(([127, 0, 0, 1], 8000)),
            state: UpstreamState::Active,
        })
        .collect();
    let mut pool: comfreychute::table::PoolRow =
        serde_json::from_str(r#"{"name": "models", "kind": "model"}"#).expect("a valid row");
    pool.upstreams = rows;
    PoolTable {
        stores: Vec::new(),
        pools: vec![pool],
    }
}

fn candidates(numbers: &BTreeSet<usize>) -> Candidates {
    let mut candidates = Candidates::new();
    for number in numbers {
        candidates
            .entry(domain_of(*number))
            .or_default()
            .insert(id(*number));
    }
    candidates
}

proptest! {
    #![proptest_config(seeded(128))]

    /// Guards against upstreams without an owner: each has exactly one while any instance is left,
    /// and the owner is in the upstream's failure domain if that has an instance.
    #[test]
    fn each_upstream_has_an_owner(numbers in btree_set(0_usize..30, 1..20), upstreams in 0_usize..100) {
        let (table, candidates) = (table(upstreams), candidates(&numbers));

        let map = OwnerMap::assign(&table, &candidates);

        prop_assert_eq!(map.iter().count(), upstreams);
        for (_, row) in table.upstreams() {
            let owner = map.owner(&row.name).expect("an owner");
            match candidates.get(&row.domain) {
                Some(own) => prop_assert!(own.contains(owner)),
                None => prop_assert!(candidates.values().any(|all| all.contains(owner))),
            }
            prop_assert!(map.owned_by(owner).any(|name| *name == row.name));
        }
    }

    /// Guards against unnecessary handovers: if an instance leaves, only its upstreams move;
    /// conversely, if it joins, it is the only one that gains any.
    #[test]
    fn only_upstreams_of_the_leaving_instance_move(
        numbers in btree_set(0_usize..30, 2..20),
        leaving in any::<prop::sample::Index>(),
    ) {
        let leaving = *leaving.get(&numbers.iter().copied().collect::<Vec<_>>());
        let remaining: BTreeSet<_> = numbers.iter().copied().filter(|number| *number != leaving).collect();
        let table = table(90);

        let before = OwnerMap::assign(&table, &candidates(&numbers));
        let after = OwnerMap::assign(&table, &candidates(&remaining));

        // This also holds if the last instance of a failure domain leaves: its upstreams move to
        // other failure domains, and those of a domain that was empty before stay with the remaining
        // instances.
        for (upstream, owner) in before.iter() {
            if *owner == id(leaving) {
                prop_assert_ne!(after.owner(upstream), Some(owner));
            } else {
                prop_assert_eq!(after.owner(upstream), Some(owner));
            }
        }
    }
}

/// Guards against a hash that assigns most upstreams to few instances.
#[test]
fn upstreams_are_spread_over_the_instances() {
    let numbers: BTreeSet<_> = (0..30).collect();

    let map = OwnerMap::assign(&table(3000), &candidates(&numbers));

    // The mean is 100 and the standard deviation 9.5.
    for number in numbers {
        let share = map.owned_by(&id(number)).count();
        assert!((50..150).contains(&share), "{number}: {share}");
    }
}

/// Guards against an owner that is not among the candidates.
#[test]
fn no_owner_is_assigned_without_candidates() {
    let map = OwnerMap::assign(&table(3), &Candidates::new());

    assert_eq!(map, OwnerMap::default());
}
