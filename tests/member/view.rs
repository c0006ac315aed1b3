//! The view of live instances that is derived from the list and the links.

use std::collections::BTreeSet;
use std::time::Duration;

use comfreychute::id::InstanceId;
use comfreychute::member::MemberView;
use comfreychute::peer::{LivePeer, PeerChange, PeerIdentity};
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;

use crate::fixture::{TIMEOUT, domain_of, id, listed, live, seeded};

fn view() -> MemberView {
    MemberView::new(id(0), domain_of(0), TIMEOUT)
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn candidates(view: &MemberView, now: Duration) -> BTreeSet<InstanceId> {
    view.candidates(now).into_values().flatten().collect()
}

/// Guards against a node that waits for the platform: links alone are sufficient.
#[test]
fn links_alone_are_enough() {
    let mut view = view();

    view.apply_peers(&[live(1), live(3)], seconds(1));

    assert_eq!(
        view.live_instances(&domain_of(0), seconds(1)),
        BTreeSet::from([id(0), id(3)])
    );
    assert_eq!(
        view.reachable_domains(seconds(1)),
        BTreeSet::from([domain_of(0), domain_of(1)])
    );
}

/// Guards against ownership that excludes a linked instance because the delayed list does not
/// contain it yet or any longer.
#[test]
fn linked_instance_stays_live_regardless_of_the_list() {
    let mut view = view();
    view.apply_list(&[listed(1)], seconds(0));
    view.apply_peers(&[live(1), live(2)], seconds(1));

    view.apply_list(&[], seconds(100));

    assert!(view.is_live(&id(1), seconds(100)));
    assert!(view.is_live(&id(2), seconds(100)));
}

/// Guards against the loss of all peers while the platform is unavailable.
#[test]
fn last_list_stays_valid_while_the_platform_is_unavailable() {
    let mut view = view();
    view.apply_list(&[listed(1)], seconds(0));
    for time in 1..100 {
        view.apply_peers(&[live(1)], seconds(time));
    }

    assert_eq!(view.listed().len(), 1);
    assert!(view.is_live(&id(1), seconds(100)));
}

/// Guards against upstreams that stay assigned to a dead owner, and against a takeover before the
/// timeout.
#[test]
fn listed_instance_is_dead_after_the_timeout() {
    let mut view = view();
    view.apply_list(&[listed(1), listed(2)], seconds(10));
    view.apply_peers(&[live(1)], seconds(20));
    view.apply_peers(&[], seconds(21));

    // Instance 2 was never reached, so its timeout starts when it is first listed.
    assert!(view.is_live(&id(2), seconds(13)));
    assert!(!view.is_live(&id(2), seconds(14)));
    assert!(view.is_live(&id(1), seconds(23)));
    assert!(!view.is_live(&id(1), seconds(24)));
}

/// Guards against a slow takeover from a process that has ended.
#[test]
fn refused_instance_is_dead_at_once_and_live_again_with_its_successor() {
    let mut view = view();
    view.apply_list(&[listed(1)], seconds(0));
    view.apply_peers(&[live(1)], seconds(1));

    view.apply_change(&PeerChange::Refused(id(1)), seconds(1));
    let is_live_then = view.is_live(&id(1), seconds(1));
    view.apply_peers(&[], seconds(1));
    let is_live_later = view.is_live(&id(1), seconds(1));
    let now = PeerIdentity {
        instance: id(1),
        incarnation: 2,
        domain: domain_of(1),
    };
    view.apply_change(&PeerChange::Replaced { now, previous: 1 }, seconds(2));

    assert!(!is_live_then && !is_live_later);
    assert!(candidates(&view, seconds(2)).contains(&id(1)));
}

/// Guards against an instance that receives new ownership while it shuts down, and against a
/// successor that inherits the draining state.
#[test]
fn draining_instance_is_live_but_not_a_candidate() {
    let mut view = view();
    let draining = LivePeer {
        is_draining: true,
        ..live(1)
    };
    let mut leaving = listed(2);
    leaving.is_leaving = true;
    view.apply_list(&[listed(1), leaving], seconds(0));

    view.apply_peers(&[draining, live(2)], seconds(1));

    assert!(view.is_live(&id(1), seconds(1)) && view.is_live(&id(2), seconds(1)));
    assert_eq!(candidates(&view, seconds(1)), BTreeSet::from([id(0)]));
    let successor = LivePeer {
        incarnation: 2,
        ..live(1)
    };
    view.apply_peers(&[successor], seconds(2));
    assert!(candidates(&view, seconds(2)).contains(&id(1)));
    view.set_draining(true);
    assert!(!candidates(&view, seconds(2)).contains(&id(0)));
}

/// Guards against peers without a persistent link that count as dead because no link to them
/// exists.
#[test]
fn list_decides_for_peers_without_a_persistent_link() {
    let mut view = view();
    view.apply_list(&[listed(1), listed(2)], seconds(0));

    view.set_persistent_peers(&BTreeSet::from([id(1)]));

    assert!(!view.is_live(&id(1), seconds(100)));
    assert!(view.is_live(&id(2), seconds(100)));
}

/// Guards against memory that grows with the names of instances that no longer exist.
#[test]
fn dead_instances_are_evicted() {
    let mut view = view();
    for number in 1..1000 {
        let now = seconds(number as u64 * 10);
        view.apply_list(&[listed(number)], now);
        view.apply_peers(&[live(number)], now);
    }

    // The last instance and the one before it.
    assert!(format!("{view:?}").matches("MemberState").count() <= 2);
}

/// A step of a random history.
#[derive(Debug, Clone)]
enum Step {
    List(BTreeSet<usize>),
    Peers(BTreeSet<usize>),
    Refused(usize),
    Draining(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        btree_set(0_usize..12, 0..8).prop_map(Step::List),
        btree_set(1_usize..12, 0..8).prop_map(Step::Peers),
        (1_usize..12).prop_map(Step::Refused),
        (1_usize..12).prop_map(Step::Draining),
        (0_u64..5000).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(seeded(256))]

    /// Guards against inconsistent views after any order of events.
    #[test]
    fn view_is_consistent(steps in vec(step(), 0..60)) {
        let mut view = view();
        let mut now = Duration::ZERO;
        for step in steps {
            match step {
                Step::List(numbers) => {
                    view.apply_list(&numbers.into_iter().map(listed).collect::<Vec<_>>(), now);
                }
                Step::Peers(numbers) => {
                    let peers: Vec<_> = numbers.iter().copied().map(live).collect();
                    view.apply_peers(&peers, now);
                    for number in numbers {
                        prop_assert!(view.is_live(&id(number), now));
                    }
                }
                Step::Refused(number) => {
                    view.apply_change(&PeerChange::Refused(id(number)), now);
                    prop_assert!(!candidates(&view, now).contains(&id(number)));
                }
                Step::Draining(number) => {
                    view.apply_change(&PeerChange::Draining(id(number)), now);
                    prop_assert!(!candidates(&view, now).contains(&id(number)));
                }
                Step::Wait(millis) => now += Duration::from_millis(millis),
            }

            let domains = view.reachable_domains(now);
            let live: BTreeSet<_> = domains
                .iter()
                .flat_map(|domain| view.live_instances(domain, now))
                .collect();
            let candidates = candidates(&view, now);
            prop_assert!(live.contains(&id(0)));
            prop_assert!(candidates.is_subset(&live));
            for domain in &domains {
                let watchers = view.watchers(domain, 2, now);
                let own = view.candidates(now).remove(domain).unwrap_or_default();
                prop_assert_eq!(watchers.len(), own.len().min(2));
                prop_assert!(watchers.iter().all(|watcher| own.contains(watcher)));
            }
            let holder = view.permit_holder("store", now);
            prop_assert!(holder.is_some_and(|holder| candidates.contains(&holder)));
        }
    }

    /// Guards against two permit holders or different watchers among instances with the same view.
    #[test]
    fn instances_with_the_same_view_make_the_same_choices(numbers in btree_set(0_usize..40, 2..20)) {
        let mut choices = BTreeSet::new();
        for own in &numbers {
            let mut view = MemberView::new(id(*own), domain_of(*own), TIMEOUT);
            let others: Vec<_> = numbers.iter().filter(|number| *number != own).map(|number| live(*number)).collect();
            view.apply_peers(&others, Duration::ZERO);

            choices.insert((
                view.permit_holder("store", Duration::ZERO),
                view.watchers(&domain_of(0), 2, Duration::ZERO),
                view.candidates(Duration::ZERO),
            ));
        }

        prop_assert_eq!(choices.len(), 1);
    }
}
