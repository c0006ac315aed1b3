//! Adoption of tables, and replies to peers that pull them.

mod config_fixtures;
mod table_fixtures;

use comfreychute::config::{AdoptOutcome, ConfigStore};
use comfreychute::error::ErrorKind;
use comfreychute::peer::ConfigPull;
use config_fixtures::numbered_set;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use table_fixtures::table_set;

fn store_at(revisions: &[u64]) -> ConfigStore {
    let store = ConfigStore::new();
    for revision in revisions {
        store
            .offer(numbered_set(*revision))
            .expect("the tables are valid");
    }
    store
}

/// An event by which a node is offered tables.
#[derive(Debug, Clone)]
enum Offer {
    /// The platform delivers a revision.
    Platform(u64),
    /// The node pulls from a peer that has adopted these revisions, and pulls again if required.
    Peer(Vec<u64>),
    /// A delayed reply to a pull that the node sent when it had another revision.
    LateReply(Vec<u64>, u64),
}

fn any_offer() -> impl Strategy<Value = Offer> {
    let revisions = || {
        proptest::collection::btree_set(1..20_u64, 1..8)
            .prop_map(|set| set.into_iter().collect::<Vec<u64>>())
    };
    prop_oneof![
        (1..20_u64).prop_map(Offer::Platform),
        revisions().prop_map(Offer::Peer),
        (revisions(), 0..20_u64).prop_map(|(peer, base)| Offer::LateReply(peer, base)),
    ]
}

/// Guards against transfers of the complete set of 1 MB for the change of one row.
#[test]
fn a_peer_with_a_recent_base_gets_only_the_changed_rows() {
    let store = store_at(&[1, 2, 3]);

    let delta = store.delta_for(&ConfigPull { base: 1 });

    assert_eq!((delta.base, delta.revision), (1, 3));
    let keys: Vec<&String> = delta.rows.keys().collect();
    assert_eq!(keys, ["route.menu", "set"]);
}

/// Guards against nodes that never catch up because they are new or their revision is no longer in
/// the history.
#[test]
fn a_peer_without_a_known_base_gets_all_rows() {
    let store = store_at(&[1, 5]);

    for base in [0, 3] {
        let delta = store.delta_for(&ConfigPull { base });

        assert_eq!((delta.base, delta.revision), (0, 5), "base {base}");
        let peer = ConfigStore::new();
        assert_eq!(
            peer.offer_delta(delta).expect("valid"),
            AdoptOutcome::Adopted
        );
        assert_eq!(*peer.current(), numbered_set(5));
    }
}

/// Guards against a history that grows without bound; peers with an old base get all rows.
#[test]
fn the_history_is_bounded() {
    let store = store_at(&(1..=300).collect::<Vec<u64>>());

    let old = store.delta_for(&ConfigPull { base: 2 });
    let recent = store.delta_for(&ConfigPull { base: 290 });

    assert_eq!(old.base, 0);
    assert_eq!(recent.base, 290);
}

/// Guards against a reply that reverts a newer peer.
#[test]
fn a_newer_peer_gets_no_rows() {
    let (store, newer) = (store_at(&[1, 2]), store_at(&[1, 2, 3]));

    let delta = store.delta_for(&newer.to_pull());

    assert!(delta.rows.is_empty());
    assert_eq!(
        newer.offer_delta(delta).expect("valid"),
        AdoptOutcome::Stale
    );
    assert_eq!(newer.revision(), 3);
}

/// Guards against a delta that is applied to a revision other than its base.
#[test]
fn a_delta_with_another_base_requires_another_pull() {
    let (store, peer) = (store_at(&[1, 2, 3]), store_at(&[1, 3, 4]));
    let delta = peer.delta_for(&ConfigPull { base: 1 });

    let outcome = store.offer_delta(delta).expect("valid");

    assert_eq!(outcome, AdoptOutcome::PullAgain(3));
}

/// Guards against a node whose rows differ from those of its peers at the same revision.
#[test]
fn a_delta_with_a_wrong_digest_requires_all_rows() {
    let (store, peer) = (store_at(&[1]), store_at(&[1, 2]));
    let mut delta = peer.delta_for(&ConfigPull { base: 1 });
    delta.rows.remove("route.menu");

    let outcome = store.offer_delta(delta).expect("valid");

    assert_eq!(outcome, AdoptOutcome::PullAgain(0));
    assert_eq!(*store.current(), numbered_set(1));
}

/// Guards against the adoption of faulty tables, which would make requests fail.
#[test]
fn tables_with_faults_are_refused() {
    let store = store_at(&[1]);
    let mut faulty = table_set(2);
    faulty.routes.routes[0].pool = "nowhere".to_owned();

    let error = store.offer(faulty).expect_err("the tables are faulty");

    assert_eq!(error.kind(), ErrorKind::Table);
    assert_eq!(store.revision(), 1);
}

/// Guards against subscribers that miss the tables in force or receive revisions out of order.
#[test]
fn subscribers_see_the_newest_tables() {
    let store = store_at(&[1]);
    let mut changes = store.subscribe();
    assert_eq!(changes.borrow_and_update().revision, 1);

    store.offer(numbered_set(3)).expect("valid");
    store.offer(numbered_set(2)).expect("valid");

    assert!(changes.has_changed().expect("the store exists"));
    assert_eq!(changes.borrow_and_update().revision, 3);
}

/// Guards against a race in which the last concurrent offer wins instead of the newest revision.
#[test]
fn concurrent_offers_end_at_the_newest_revision() {
    let store = ConfigStore::new();

    std::thread::scope(|scope| {
        for first in 1..=4 {
            let store = &store;
            scope.spawn(move || {
                let mut seen = 0;
                for revision in (first..=100).step_by(4) {
                    store.offer(numbered_set(revision)).expect("valid");
                    let now = store.revision();
                    assert!(now >= revision && now >= seen);
                    seen = now;
                }
            });
        }
    });

    assert_eq!(*store.current(), numbered_set(100));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(1_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a node that reverts to older tables, for any sequence of offers, and against
    /// tables whose content does not belong to their revision.
    #[test]
    fn adoption_never_reverts(offers in proptest::collection::vec(any_offer(), 1..16)) {
        let store = ConfigStore::new();
        let mut offered = 0;
        for offer in offers {
            let before = store.revision();
            match offer {
                Offer::Platform(revision) => {
                    store.offer(numbered_set(revision)).expect("valid");
                    offered = offered.max(revision);
                }
                Offer::Peer(revisions) => {
                    let peer = store_at(&revisions);
                    let mut pull = store.to_pull();
                    while let AdoptOutcome::PullAgain(base) =
                        store.offer_delta(peer.delta_for(&pull)).expect("valid")
                    {
                        pull = ConfigPull { base };
                    }
                    offered = offered.max(peer.revision());
                }
                Offer::LateReply(revisions, base) => {
                    let peer = store_at(&revisions);
                    store.offer_delta(peer.delta_for(&ConfigPull { base })).expect("valid");
                }
            }
            prop_assert!(store.revision() >= before.max(offered));
            if store.is_ready() {
                prop_assert_eq!(&*store.current(), &numbered_set(store.revision()));
            }
        }
    }
}
