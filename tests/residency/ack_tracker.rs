//! Residency items in gossip messages: which ones an owner sends in full, and which as unchanged.

use std::time::Duration;

use comfreychute::forward::ModelRef;
use comfreychute::id::{InstanceId, UpstreamId};
use comfreychute::peer::OwnedUpstream;
use comfreychute::residency::{AckTracker, DigestedItem, ResidencyDirectory};
use prost::Message;

const ENGINES: usize = 23;

fn items(adapter: &str) -> Vec<OwnedUpstream> {
    let item = |number: usize| OwnedUpstream {
        upstream: format!("engine-{number}"),
        incarnation: 1,
        models: vec!["base".to_owned()],
        adapters: (0..10)
            .map(|slot| format!("base/{adapter}{slot}@1"))
            .collect(),
        backlog_ms: 0,
        is_unchanged: false,
        model_versions: vec![1],
    };
    (0..ENGINES).map(item).collect()
}

fn digested(items: &[OwnedUpstream]) -> Vec<DigestedItem> {
    items.iter().cloned().map(DigestedItem::new).collect()
}

fn instance(name: &str) -> InstanceId {
    InstanceId::from_name(name)
}

fn size(items: &[OwnedUpstream]) -> usize {
    items.iter().map(Message::encoded_len).sum()
}

/// Guards against gossip messages that saturate the uplink of a small instance: the names of all
/// resident adapters went to each of 82 peers four times a second.
#[test]
fn acknowledged_items_are_repeated_without_names() {
    let (mut acks, items, peer) = (AckTracker::new(), items("a"), instance("peer"));

    let first = acks.items_for(&peer, &digested(&items));
    acks.record_acked(&peer, &digested(&items), &[]);
    let second = acks.items_for(&peer, &digested(&items));

    assert_eq!(first, items);
    assert!(size(&second) * 5 < size(&first));
    assert_eq!(
        second.len(),
        ENGINES,
        "each item shows that its owner is alive"
    );
}

/// Guards against peers that route by outdated residency.
#[test]
fn changed_items_are_complete_and_others_are_not() {
    let (mut acks, items, peer) = (AckTracker::new(), items("a"), instance("peer"));
    acks.record_acked(&peer, &digested(&items), &[]);
    let mut changed = items;
    changed[3].adapters[0] = "base/b7@1".to_owned();
    changed[4].backlog_ms = 40;

    let sent = acks.items_for(&peer, &digested(&changed));

    assert_eq!(sent[3], changed[3]);
    let complete = sent.iter().filter(|item| !item.is_unchanged).count();
    assert_eq!(complete, 1);
    assert_eq!(sent[4].backlog_ms, 40);
}

/// Guards against a restarted peer that never receives the items which it acknowledged before.
#[test]
fn items_unknown_to_a_peer_are_sent_again() {
    let (mut acks, items) = (AckTracker::new(), items("a"));
    let (owner, peer) = (instance("owner"), instance("peer"));
    acks.record_acked(&peer, &digested(&items), &[]);
    let restarted = ResidencyDirectory::new();

    let unknown = restarted.merge(
        &owner,
        &acks.items_for(&peer, &digested(&items)),
        Duration::ZERO,
    );
    acks.record_acked(&peer, &digested(&items), &unknown);
    let sent = acks.items_for(&peer, &digested(&items));
    let still_unknown = restarted.merge(&owner, &sent, Duration::ZERO);

    assert_eq!(unknown.len(), ENGINES);
    assert_eq!(sent, items);
    assert!(still_unknown.is_empty());
}

/// Guards against entries of a successor that are refreshed by messages of its predecessor, and
/// against an owner that expires because its items do not change.
#[test]
fn unchanged_items_refresh_only_entries_of_their_sender() {
    let (directory, items) = (ResidencyDirectory::new(), items("a"));
    let mut acks = AckTracker::new();
    acks.record_acked(&instance("peer"), &digested(&items), &[]);
    let unchanged = acks.items_for(&instance("peer"), &digested(&items));
    let late = Duration::from_secs(3);
    let _complete = directory.merge(&instance("new"), &items, Duration::ZERO);

    let unknown = directory.merge(&instance("old"), &unchanged, late);
    let upstream = UpstreamId::from_name("engine-1");
    let before = directory.owner_of(&upstream, late);
    let _refreshed = directory.merge(&instance("new"), &unchanged, late);

    assert_eq!(unknown.len(), ENGINES);
    assert_eq!(before, None);
    assert_eq!(directory.owner_of(&upstream, late), Some(instance("new")));
    let model = ModelRef::new("base", "a1");
    assert_eq!(directory.resident_version(&upstream, &model, 1), Some(1));
}
