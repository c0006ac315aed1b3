//! Classification of the adapters that an engine reports after a change of owner.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use comfreychute::id::{AdapterRef, EngineName, OwnerEpoch};
use comfreychute::owner::{EpochStatus, ResidentReview, ReviewInput};
use comfreychute::policy::SlotState;
use comfreychute::upstream::ResidentAdapter;

const FORMER: OwnerEpoch = OwnerEpoch::from_u64(1 << 32);
const OWN: OwnerEpoch = OwnerEpoch::from_u64(2 << 32);

fn adapter(name: &str) -> AdapterRef {
    format!("{name}@1").parse().expect("an adapter reference")
}

fn copy(name: &str, epoch: OwnerEpoch) -> EngineName {
    EngineName::new(adapter(name), epoch)
}

fn resident(name: &EngineName, running: u32) -> ResidentAdapter {
    ResidentAdapter {
        name: name.clone(),
        running,
    }
}

/// Reviews a status for an owner that uses `names` and loads `loading`.
fn review(
    residents: &[ResidentAdapter],
    names: &[EngineName],
    loading: &[&str],
    evicting: &[EngineName],
    status: EpochStatus,
) -> ResidentReview {
    let names: BTreeMap<_, _> = names
        .iter()
        .map(|name| (name.adapter().clone(), name.clone()))
        .collect();
    let loading: BTreeSet<_> = loading.iter().map(|name| adapter(name)).collect();
    ResidentReview::from_status(
        residents,
        &ReviewInput {
            epoch: OWN,
            names: &names,
            evicting: &evicting.iter().cloned().collect(),
            slot: |adapter: &AdapterRef| {
                if loading.contains(adapter) {
                    Some(SlotState::Loading)
                } else {
                    names.contains_key(adapter).then_some(SlotState::Resident)
                }
            },
            epoch_status: |_| status,
            silence_limit: None,
        },
    )
}

const ENDED: EpochStatus = EpochStatus::Dead {
    dead_for: Duration::from_mins(1),
};

/// Guards against loads that the engine refuses because it is full: a former owner's copy became
/// usable while the same adapter was loading, was used for a moment, and its slot counted as free.
#[test]
fn a_copy_blocks_its_slot_while_the_adapter_is_loading() {
    let former = copy("coop-3", FORMER);

    let review = review(&[resident(&former, 0)], &[], &["coop-3"], &[], ENDED);

    assert_eq!(review.blocked, 1);
    assert!(review.usable.is_empty());
    assert!(review.surplus.is_empty(), "the load may still fail");
}

/// Guards against slots that stay occupied until the engine restarts because second copies are
/// never evicted.
#[test]
fn an_idle_second_copy_of_an_ended_owner_is_surplus() {
    let (own, former) = (copy("coop-3", OWN), copy("coop-3", FORMER));
    let residents = [resident(&own, 2), resident(&former, 0)];

    let review = review(&residents, &[own], &[], &[], ENDED);

    assert_eq!(review.blocked, 1);
    assert_eq!(review.surplus, BTreeSet::from([former]));
}

/// Guards against the eviction of an adapter while it runs a request of a former owner.
#[test]
fn a_second_copy_stays_while_in_use_or_while_its_owner_may_act() {
    let (own, former) = (copy("coop-3", OWN), copy("coop-3", FORMER));
    let silent = EpochStatus::Silent {
        silent_for: Duration::from_mins(1),
    };
    let cases = [
        (1, ENDED),
        (0, EpochStatus::Draining),
        (0, silent),
        (1, EpochStatus::Released),
    ];

    for (running, status) in cases {
        let residents = [resident(&own, 0), resident(&former, running)];
        let review = review(&residents, std::slice::from_ref(&own), &[], &[], status);

        assert_eq!(review.blocked, 1, "{status:?}");
        assert!(review.surplus.is_empty(), "{status:?}");
    }
}

/// Guards against the use of a copy whose eviction has been ordered: the order may arrive late and
/// evict the copy while it runs a request.
#[test]
fn a_copy_being_evicted_is_not_used_again() {
    let former = copy("coop-3", FORMER);

    let review = review(
        &[resident(&former, 0)],
        &[],
        &[],
        std::slice::from_ref(&former),
        ENDED,
    );

    assert!(review.usable.is_empty());
    assert_eq!(review.blocked, 1);
    assert_eq!(review.surplus, BTreeSet::from([former]));
}

/// Guards against adopting two copies of the same adapter, both left by former owners.
#[test]
fn only_one_of_two_copies_of_former_owners_is_used() {
    let (first, second) = (
        copy("coop-3", FORMER),
        copy("coop-3", OwnerEpoch::from_u64(7)),
    );

    let review = review(
        &[resident(&first, 0), resident(&second, 0)],
        &[],
        &[],
        &[],
        ENDED,
    );

    assert_eq!(review.usable, [(first, true)]);
    assert_eq!(review.blocked, 1);
}
