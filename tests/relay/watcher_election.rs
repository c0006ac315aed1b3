//! Which instance watches the store for its failure domain.

use comfreychute::id::{DomainId, InstanceId};
use comfreychute::peer::LivePeer;
use comfreychute::relay::elect_watcher;

use crate::peer_fixture::peer;

fn watcher_of(name: &str, peers: &[LivePeer]) -> Option<InstanceId> {
    elect_watcher(
        &InstanceId::from_name(name),
        &DomainId::from_name("north"),
        peers,
    )
}

/// Guards against a failure domain in which no instance or every instance watches the store, and
/// against instances that send requests to one that does not watch it.
#[test]
fn one_instance_of_each_domain_watches_for_all() {
    let names = ["a", "b", "c", "d"];

    let watchers = names.iter().map(|name| {
        let others = names.iter().filter(|other| other != &name);
        let peers: Vec<LivePeer> = others.map(|other| peer(other, "north")).collect();
        watcher_of(name, &peers)
    });

    let first = Some(InstanceId::from_name("a"));
    let expected = [None, first.clone(), first.clone(), first];
    assert!(watchers.eq(expected));
}

/// Guards against a failure domain that is partitioned off and relies on watchers in other domains.
#[test]
fn instance_without_a_peer_in_its_domain_watches_the_store() {
    assert_eq!(watcher_of("z", &[]), None);
    assert_eq!(
        watcher_of("z", &[peer("a", "south"), peer("b", "south")]),
        None
    );
}

/// Guards against a watcher that is draining or that no link reaches.
#[test]
fn draining_and_unlinked_instances_are_not_elected() {
    let draining = LivePeer {
        is_draining: true,
        ..peer("a", "north")
    };
    let unlinked = LivePeer {
        is_linked: false,
        ..peer("b", "north")
    };

    assert_eq!(watcher_of("z", &[draining, unlinked]), None);
    assert!(watcher_of("z", &[peer("a", "north")]).is_some());
}
