//! The rules by which a single permit holder grants.

use std::collections::BTreeSet;
use std::time::Duration;

use comfreychute::ErrorKind;
use comfreychute::id::DomainId;
use comfreychute::permit::{HolderConfig, PermitHolder, counted_domains};

use crate::fixtures::{
    TAKEOVER_DELAY, adapter, brannock, lanka, new_holder, ready_holder, upstream,
};

const STORE: &str = "weights";

/// Guards against a load that waits behind less valuable ones.
#[test]
fn the_most_valuable_bid_is_granted_first() {
    let (mut holder, now) = ready_holder(&lanka());
    for (number, value) in [(1, 5.0), (2, 9.0), (3, 7.0)] {
        holder
            .bid(STORE, &upstream(number), &adapter(number), value, now)
            .expect("the holder accepts bids");
    }

    let first = holder.grants(now);
    let second = holder.grants(now + Duration::from_millis(400));

    assert_eq!(first.len(), 1);
    assert_eq!(first[0].adapter, adapter(2));
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].adapter, adapter(3));
}

/// Guards against grants for bids whose owner no longer renews them.
#[test]
fn a_bid_expires_unless_it_is_renewed() {
    let (mut holder, now) = ready_holder(&lanka());
    let bid = |holder: &mut PermitHolder, number, now| {
        holder
            .bid(STORE, &upstream(number), &adapter(number), 1.0, now)
            .expect("the holder accepts bids");
    };
    for number in 1..=3 {
        bid(&mut holder, number, now);
    }

    let first = holder.grants(now);
    bid(&mut holder, 3, now + Duration::from_secs(1));
    let second = holder.grants(now + Duration::from_secs(2));

    assert_eq!(first[0].adapter, adapter(1));
    assert_eq!(second.len(), 1);
    assert_eq!(second[0].adapter, adapter(3));
    assert_eq!(holder.waiting(STORE), 0);
}

/// Guards against exceeded limits because loads permitted by the predecessor are still running.
#[test]
fn a_new_holder_waits_for_the_loads_of_its_predecessor() {
    let start = Duration::from_secs(50);
    let mut holder = new_holder(&lanka(), start);
    let mut first = None;
    let mut now = start;
    while first.is_none() {
        now += Duration::from_millis(50);
        holder
            .bid(STORE, &upstream(1), &adapter(1), 1.0, now)
            .expect("the holder accepts bids");
        first = holder.grants(now).pop();
    }

    let waited = now.saturating_sub(start);
    assert!(waited >= TAKEOVER_DELAY, "{waited:?}");
    assert!(waited <= TAKEOVER_DELAY + Duration::from_millis(400));
}

/// Guards against a holder that uses the share of a domain that has become reachable again while
/// loads permitted by that domain's own holder are still running.
#[test]
fn an_increased_share_waits_for_the_loads_of_the_other_holder() {
    let (mut holder, start) = ready_holder(&lanka());
    holder.set_domain_share(1, 2, start);
    let mut now = start;
    let mut granted = 0;
    let mut run_until = |holder: &mut PermitHolder, end: Duration| {
        granted = 0;
        while now < end {
            now += Duration::from_millis(20);
            holder
                .bid(STORE, &upstream(1), &adapter(1), 1.0, now)
                .expect("the holder accepts bids");
            for grant in holder.grants(now) {
                granted += 1;
                holder.release(STORE, grant.permit, now);
            }
        }
        granted
    };

    let half = run_until(&mut holder, start + Duration::from_secs(20));
    let healed = start + Duration::from_secs(20);
    holder.set_domain_share(2, 2, healed);
    let waiting = run_until(&mut holder, healed + TAKEOVER_DELAY);
    let whole = run_until(
        &mut holder,
        healed + TAKEOVER_DELAY + Duration::from_secs(20),
    );

    assert!((28..=31).contains(&half), "{half}");
    // During the wait of 9.75 s the rate stays at half of three per second.
    assert!((13..=15).contains(&waiting), "{waiting}");
    assert!((57..=60).contains(&whole), "{whole}");
}

/// Guards against a holder that resumes with its old state after a pause in which another instance
/// may have become the holder.
#[test]
fn a_pause_longer_than_the_lease_resets_the_holder() {
    let lease = HolderConfig::default().lease;
    for (pause, is_open) in [(lease, true), (lease + Duration::from_millis(1), false)] {
        let (mut holder, now) = ready_holder(&lanka());
        let now = now + pause;
        holder
            .bid(STORE, &upstream(1), &adapter(1), 1.0, now)
            .expect("the holder accepts bids");

        let granted = holder.grants(now).len();

        assert_eq!(granted == 1, is_open, "after a pause of {pause:?}");
    }
}

/// Guards against a slot that is freed by the release of a permit of an earlier term.
#[test]
fn releasing_a_permit_of_an_earlier_term_frees_no_slot() {
    let (mut holder, now) = ready_holder(&lanka());
    let grant = |holder: &mut PermitHolder, now| {
        holder
            .bid(STORE, &upstream(1), &adapter(1), 1.0, now)
            .expect("the holder accepts bids");
        holder.grants(now).pop()
    };
    let old = grant(&mut holder, now).expect("the bucket is full");
    holder.set_holding(false, now);
    holder.set_holding(true, now);
    let mut now = now;
    let new = loop {
        now += Duration::from_millis(500);
        if let Some(new) = grant(&mut holder, now) {
            break new;
        }
    };

    holder.release(STORE, old.permit, now);
    let with_old = holder.in_flight(STORE);
    holder.release(STORE, new.permit, now);

    assert_ne!(old.permit, new.permit);
    assert_eq!(with_old, 1);
    assert_eq!(holder.in_flight(STORE), 0);
}

/// Guards against a slot that stays occupied because the release message was lost.
#[test]
fn an_unreleased_permit_expires_after_the_longest_load() {
    let (mut holder, now) = ready_holder(&brannock());
    let mut step = now;
    while holder.in_flight(STORE) < 16 {
        step += Duration::from_millis(250);
        holder
            .bid(STORE, &upstream(1), &adapter(1), 1.0, step)
            .expect("the holder accepts bids");
        holder.grants(step);
        assert!(step < now + TAKEOVER_DELAY, "the limit is reached");
    }

    let mut freed = step;
    while holder.in_flight(STORE) > 0 {
        freed += Duration::from_millis(250);
        holder.grants(freed);
        assert!(freed <= step + TAKEOVER_DELAY, "all permits are freed");
    }
}

/// Guards against unbounded memory, and against a full queue that rejects more valuable bids.
#[test]
fn a_full_queue_keeps_the_most_valuable_bids() {
    let now = Duration::ZERO;
    let config = HolderConfig {
        bid_limit: 2,
        ..HolderConfig::default()
    };
    let mut holder = PermitHolder::new(config, 7, now);
    holder.set_stores(&[lanka()], now);
    holder.set_holding(true, now);
    let mut bid =
        |number, value| holder.bid(STORE, &upstream(number), &adapter(number), value, now);

    let kept = [bid(1, 5.0).is_ok(), bid(2, 6.0).is_ok()];
    let low = bid(3, 4.0).map_err(|error| error.kind());
    let high = bid(4, 7.0).is_ok();

    assert_eq!(kept, [true, true]);
    assert_eq!(low, Err(ErrorKind::Overloaded));
    assert!(high);
    assert_eq!(holder.waiting(STORE), 2);
}

/// Guards against accepting bids at an instance that is not the holder, for unknown stores or with
/// values that are not finite.
#[test]
fn bids_that_cannot_be_granted_are_refused() {
    let now = Duration::ZERO;
    let mut holder = PermitHolder::new(HolderConfig::default(), 7, now);
    holder.set_stores(&[lanka()], now);
    let bid = |holder: &mut PermitHolder, store, value| {
        holder
            .bid(store, &upstream(1), &adapter(1), value, now)
            .map_err(|error| error.kind())
    };

    let not_holding = bid(&mut holder, STORE, 1.0);
    holder.set_holding(true, now);
    let unknown = bid(&mut holder, "other", 1.0);
    let not_finite = bid(&mut holder, STORE, f64::NAN);

    assert_eq!(not_holding, Err(ErrorKind::Unavailable));
    assert_eq!(unknown, Err(ErrorKind::NotFound));
    assert_eq!(not_finite, Err(ErrorKind::BadRequest));
}

/// Guards against exceeded limits because two holders that do not reach each other both count a
/// domain that reaches both of them.
#[test]
fn a_domain_with_a_different_view_is_not_counted() {
    let set = |names: &[&str]| {
        names
            .iter()
            .map(|name| DomainId::from_name(name))
            .collect::<BTreeSet<_>>()
    };
    let id = DomainId::from_name;
    let all = set(&["a", "b", "c"]);

    let whole = counted_domains(
        &id("a"),
        &all,
        &[(id("b"), all.clone()), (id("c"), all.clone())],
    );
    let partial = counted_domains(&id("a"), &set(&["a", "b"]), &[(id("b"), all.clone())]);
    let divided = counted_domains(
        &id("a"),
        &set(&["a", "b"]),
        &[(id("b"), set(&["a", "b"])), (id("b"), all.clone())],
    );
    let alone = counted_domains(&id("a"), &set(&["a"]), &[]);

    assert_eq!((whole, partial, divided, alone), (3, 1, 1, 1));
}
