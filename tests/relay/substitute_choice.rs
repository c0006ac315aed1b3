//! Which peers are asked for changes while neither the watcher nor the store provides them.

use std::collections::BTreeSet;

use comfreychute::id::InstanceId;
use comfreychute::peer::LivePeer;
use comfreychute::relay::choose_substitutes;

use crate::peer_fixture::peer;

/// Creates a fleet of three failure domains with these many instances each.
fn fleet(size: usize) -> Vec<LivePeer> {
    let domains = ["east", "north", "west"];
    let names = |domain| (0..size).map(move |index| (format!("{domain}-{index:02}"), domain));
    let names = domains.into_iter().flat_map(names);
    names.map(|(name, domain)| peer(&name, domain)).collect()
}

/// Guards against an instance that asks only peers which the store does not answer either.
#[test]
fn watchers_of_all_domains_and_changing_others_are_asked() {
    let fleet = fleet(30);
    let mut number = 0;

    let mut rounds = Vec::new();
    for _ in 0..2 {
        let draw = || {
            // A multiplier that is coprime to the modulus spreads the numbers over the fleet.
            number += 1;
            number * 37 % 1009
        };
        rounds.push(choose_substitutes(&fleet, draw));
    }

    for asked in &rounds {
        let names: BTreeSet<&str> = asked.iter().map(InstanceId::as_str).collect();
        assert_eq!(names.len(), 8);
        assert!(names.is_superset(&BTreeSet::from(["east-00", "north-00", "west-00"])));
    }
    assert_ne!(rounds[0], rounds[1]);
}

/// Guards against requests to peers that can't be reached or that shut down.
#[test]
fn peers_without_a_link_are_not_asked() {
    let mut fleet = fleet(2);
    fleet[0].is_linked = false;
    fleet[2].is_draining = true;

    let asked = choose_substitutes(&fleet, || 0);

    let names: Vec<&str> = asked.iter().map(InstanceId::as_str).collect();
    assert_eq!(names, ["east-01", "north-01", "west-00", "west-01"]);
}
