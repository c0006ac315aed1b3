//! Replication of the residency state from owners to their peers.

use std::collections::{BTreeMap, BTreeSet};

use comfreychute::id::{AdapterRef, InstanceId, OwnerEpoch, UpstreamId};
use comfreychute::member::{ResidencySender, ResidencyView};
use comfreychute::peer::{HeartbeatBody, ResidencyItem};
use proptest::collection::{btree_map, btree_set, vec};
use proptest::prelude::*;

use crate::fixture::{id, seeded};

fn item(upstream: &str, epoch: u64, adapters: &[&str]) -> ResidencyItem {
    ResidencyItem {
        upstream: upstream.to_owned(),
        epoch,
        running: 2,
        queued: vec![1, 2, 3],
        added: adapters.iter().map(|text| (*text).to_owned()).collect(),
        is_healthy: true,
        ..ResidencyItem::default()
    }
}

fn heartbeat(items: Vec<ResidencyItem>) -> HeartbeatBody {
    HeartbeatBody {
        residency: items,
        ..HeartbeatBody::default()
    }
}

fn upstream(name: &str) -> UpstreamId {
    UpstreamId::from_name(name)
}

fn owner_of(view: &ResidencyView, name: &str) -> Option<InstanceId> {
    view.upstream(&upstream(name))
        .map(|state| state.owner.clone())
}

/// Guards against dispatch to a former owner after a takeover, and against losing the former
/// owner's report when the new owner dies.
#[test]
fn higher_epoch_wins_and_dead_owners_expire() {
    let mut view = ResidencyView::new();
    let (mut first, mut second) = (ResidencySender::new(), ResidencySender::new());
    view.apply_heartbeat(
        &id(1),
        &first.next_delta(&heartbeat(vec![item("engine", 5, &["a@1"])]), true),
    );
    view.apply_heartbeat(
        &id(2),
        &second.next_delta(&heartbeat(vec![item("engine", 6, &[])]), true),
    );
    let after_takeover = owner_of(&view, "engine");
    view.apply_heartbeat(
        &id(1),
        &first.next_delta(&heartbeat(vec![item("engine", 5, &["a@1", "b@1"])]), true),
    );
    let after_late_heartbeat = owner_of(&view, "engine");

    view.retain_owners(|owner| *owner != id(2));

    assert_eq!(after_takeover, Some(id(2)));
    assert_eq!(after_late_heartbeat, Some(id(2)));
    let state = view.upstream(&upstream("engine")).expect("known");
    assert_eq!(state.owner, id(1));
    assert_eq!(state.adapters.len(), 2);
    view.remove_owner(&id(1));
    assert_eq!(owner_of(&view, "engine"), None);
}

/// Guards against state of an earlier link that survives an owner's restart.
#[test]
fn first_heartbeat_of_a_link_replaces_everything() {
    let mut view = ResidencyView::new();
    let old = heartbeat(vec![item("one", 5, &["a@1"]), item("two", 5, &[])]);
    view.apply_heartbeat(&id(1), &ResidencySender::new().next_delta(&old, true));

    let new = heartbeat(vec![item("two", 6, &["b@2"])]);
    view.apply_heartbeat(&id(1), &ResidencySender::new().next_delta(&new, true));

    assert_eq!(owner_of(&view, "one"), None);
    let adapter: AdapterRef = "b@2".parse().expect("valid");
    let holders: Vec<_> = view
        .holders(&adapter)
        .map(|(name, _)| name.as_str())
        .collect();
    assert_eq!(holders, ["two"]);
}

/// Guards against heartbeats that repeat state that the peer has received.
#[test]
fn unchanged_state_is_not_sent_again() {
    let mut sender = ResidencySender::new();
    let mut full = heartbeat(vec![item("engine", 5, &["a@1"])]);
    full.suspects = BTreeMap::from([(7, 1)]);
    full.reachable = vec!["zone-1".to_owned()];
    let first = sender.next_delta(&full, true);

    let second = sender.next_delta(&full, true);
    full.suspects.insert(8, 2);
    full.residency[0].running = 9;
    let third = sender.next_delta(&full, false);
    let fourth = sender.next_delta(&full, true);

    assert!(first.is_first && first.residency[0].is_full);
    assert_eq!(first.suspects.len(), 1);
    assert_eq!(second, HeartbeatBody::default());
    assert_eq!(third.suspects, BTreeMap::from([(8, 2)]));
    assert!(third.residency.is_empty(), "load is not due");
    assert_eq!(fourth.residency[0].running, 9);
    assert!(fourth.residency[0].upstream.is_empty() && fourth.suspects.is_empty());
}

/// Guards against heartbeats that a peer rejects as too long, after a takeover of many upstreams.
#[test]
fn large_state_is_spread_over_heartbeats() {
    let names: Vec<_> = (0..300)
        .map(|number| format!("adapter-with-a-long-name-{number}@1"))
        .collect();
    let adapters: Vec<_> = names.iter().map(String::as_str).collect();
    let items = (0..100)
        .map(|number| item(&format!("engine-{number}"), 5, &adapters))
        .collect();
    let full = heartbeat(items);
    let (mut sender, mut view) = (ResidencySender::new(), ResidencyView::new());
    let mut heartbeats = 0;

    loop {
        let body = sender.next_delta(&full, true);
        if body == HeartbeatBody::default() {
            break;
        }
        assert!(prost::Message::encoded_len(&body) < 200 * 1024);
        view.apply_heartbeat(&id(1), &body);
        heartbeats += 1;
    }

    assert!(heartbeats > 1);
    assert_eq!(view.upstreams().count(), 100);
}

type Owned = BTreeMap<u8, (u32, BTreeSet<u8>, u32)>;

/// A random history: what an owner owns at each heartbeat, whether a new link begins, and whether
/// the load is due.
fn history() -> impl Strategy<Value = Vec<(Owned, bool, bool)>> {
    let state = (1_u32..4, btree_set(0_u8..10, 0..6), 0_u32..4);
    let owned = btree_map(0_u8..6, state, 0..5);
    vec((owned, proptest::bool::weighted(0.1), any::<bool>()), 1..25)
}

proptest! {
    #![proptest_config(seeded(256))]

    /// Guards against differences between the state of the owner and the view of its peers, for
    /// any sequence of changes and new links.
    #[test]
    fn view_follows_the_owner(history in history()) {
        let (mut sender, mut view) = (ResidencySender::new(), ResidencyView::new());
        for (owned, is_new_link, is_load_due) in history {
            if is_new_link {
                sender.reset();
            }
            let items = owned.iter().map(|(name, (epoch, adapters, running))| {
                let texts: Vec<_> = adapters.iter().map(|adapter| format!("a{adapter}@1")).collect();
                let texts: Vec<_> = texts.iter().map(String::as_str).collect();
                ResidencyItem {
                    running: *running,
                    ..item(&format!("engine-{name}"), u64::from(*epoch), &texts)
                }
            });

            view.apply_heartbeat(
                &id(1),
                &sender.next_delta(&heartbeat(items.collect()), is_load_due),
            );

            prop_assert_eq!(view.upstreams().count(), owned.len());
            for (name, (epoch, adapters, running)) in &owned {
                let state = view.upstream(&upstream(&format!("engine-{name}"))).expect("known");
                prop_assert_eq!(state.epoch, OwnerEpoch::from_u64(u64::from(*epoch)));
                prop_assert_eq!(state.adapters.len(), adapters.len());
                for adapter in adapters {
                    let adapter: AdapterRef = format!("a{adapter}@1").parse().expect("valid");
                    prop_assert!(state.adapters.contains(&adapter));
                }
                prop_assert!(!is_load_due || state.running == *running);
            }
        }
    }

    /// Guards against panics and unbounded memory caused by a faulty peer.
    #[test]
    fn arbitrary_items_are_bounded(
        items in vec((0_u32..20, "[a-c~@]{0,3}", any::<u64>(), any::<bool>(), any::<bool>()), 0..200),
    ) {
        let mut view = ResidencyView::new();
        let items = items.into_iter().map(|(number, text, epoch, is_full, is_dropped)| ResidencyItem {
            number,
            upstream: text.clone(),
            epoch,
            added: vec![text.clone()],
            removed: vec![text],
            queued: vec![u32::MAX; 9],
            is_full,
            is_dropped,
            ..ResidencyItem::default()
        });

        view.apply_heartbeat(&id(1), &heartbeat(items.collect()));

        prop_assert!(view.upstreams().count() <= 84);
    }
}
