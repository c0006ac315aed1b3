//! Which part of its residency an owner repeats to its peers.

use std::time::Duration;

use comfreychute::forward::ModelRef;
use comfreychute::id::{InstanceId, UpstreamId};
use comfreychute::peer::OwnedItem;
use comfreychute::residency::{AckTracker, ResidencyDirectory};
use prost::Message;

const ENGINES: usize = 23;

fn items(adapter: &str) -> Vec<OwnedItem> {
    let item = |number: usize| OwnedItem {
        upstream: format!("engine-{number}"),
        incarnation: 1,
        models: vec!["base".to_owned()],
        adapters: (0..10)
            .map(|slot| format!("base/{adapter}{slot}@1"))
            .collect(),
        backlog_ms: 0,
        is_unchanged: false,
    };
    (0..ENGINES).map(item).collect()
}

fn instance(name: &str) -> InstanceId {
    InstanceId::from_name(name)
}

fn size(items: &[OwnedItem]) -> usize {
    items.iter().map(Message::encoded_len).sum()
}

/// Guards against shares that fill the uplink of a small instance: names of all resident adapters
/// went to each of 82 peers four times a second.
#[test]
fn confirmed_items_are_repeated_without_names() {
    let (mut ledger, items, peer) = (AckTracker::new(), items("a"), instance("peer"));

    let first = ledger.items_for(&peer, &items);
    ledger.record_acked(&peer, &items, &[]);
    let second = ledger.items_for(&peer, &items);

    assert_eq!(first, items);
    assert!(size(&second) * 5 < size(&first));
    assert_eq!(
        second.len(),
        ENGINES,
        "each item shows that its owner is there"
    );
}

/// Guards against peers that route by a residency which has changed.
#[test]
fn changed_items_are_complete_and_others_are_not() {
    let (mut ledger, items, peer) = (AckTracker::new(), items("a"), instance("peer"));
    ledger.record_acked(&peer, &items, &[]);
    let mut changed = items;
    changed[3].adapters[0] = "base/b7@1".to_owned();
    changed[4].backlog_ms = 40;

    let sent = ledger.items_for(&peer, &changed);

    assert_eq!(sent[3], changed[3]);
    let complete = sent.iter().filter(|item| !item.is_unchanged).count();
    assert_eq!(complete, 1);
    assert_eq!(sent[4].backlog_ms, 40);
}

/// Guards against a peer that started again and never learns what was confirmed before.
#[test]
fn items_that_a_peer_does_not_know_are_sent_again() {
    let (mut ledger, items) = (AckTracker::new(), items("a"));
    let (owner, peer) = (instance("owner"), instance("peer"));
    ledger.record_acked(&peer, &items, &[]);
    let restarted = ResidencyDirectory::new();

    let unknown = restarted.merge(&owner, &ledger.items_for(&peer, &items), Duration::ZERO);
    ledger.record_acked(&peer, &items, &unknown);
    let sent = ledger.items_for(&peer, &items);
    let still_unknown = restarted.merge(&owner, &sent, Duration::ZERO);

    assert_eq!(unknown.len(), ENGINES);
    assert_eq!(sent, items);
    assert!(still_unknown.is_empty());
}

/// Guards against a successor's residency that is kept alive by its predecessor's shares, and
/// against an owner that counts as silent because nothing changes.
#[test]
fn unchanged_items_refresh_only_what_their_sender_told() {
    let (view, items) = (ResidencyDirectory::new(), items("a"));
    let mut ledger = AckTracker::new();
    ledger.record_acked(&instance("peer"), &items, &[]);
    let unchanged = ledger.items_for(&instance("peer"), &items);
    let late = Duration::from_secs(3);
    let _complete = view.merge(&instance("new"), &items, Duration::ZERO);

    let unknown = view.merge(&instance("old"), &unchanged, late);
    let upstream = UpstreamId::from_name("engine-1");
    let before = view.owner_of(&upstream, late);
    let _refreshed = view.merge(&instance("new"), &unchanged, late);

    assert_eq!(unknown.len(), ENGINES);
    assert_eq!(before, None);
    assert_eq!(view.owner_of(&upstream, late), Some(instance("new")));
    let model = ModelRef::new("base", "a1");
    assert_eq!(view.resident_version(&upstream, &model, 1), Some(1));
}
