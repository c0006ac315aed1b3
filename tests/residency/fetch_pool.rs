//! Permits for loads from the weight store.

use std::time::Duration;

use comfreychute::id::InstanceId;
use comfreychute::residency::FetchPool;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn instance(name: &str) -> InstanceId {
    InstanceId::from_name(name)
}

/// Guards against more concurrent loads than the store serves at full speed.
#[test]
fn permits_never_exceed_the_capacity() {
    let mut pool = FetchPool::new();
    let mut answers: Vec<_> = (0..5)
        .map(|_| pool.bid(&instance("a"), 1.0, at(0)))
        .collect();

    pool.grant(2, at(0));

    assert_eq!(pool.in_use(), 2);
    let granted = answers
        .iter_mut()
        .filter_map(|answer| answer.try_recv().ok());
    assert_eq!(granted.count(), 2);
}

/// Guards against batch work that delays the loads of urgent requests.
#[test]
fn most_valuable_bid_is_granted_first() {
    let mut pool = FetchPool::new();
    let mut low = pool.bid(&instance("a"), 1.0, at(0));
    let mut high = pool.bid(&instance("b"), 2.0, at(0));

    pool.grant(1, at(0));

    high.try_recv().expect("a permit is granted");
    low.try_recv().expect_err("the lower bid waits");
}

/// Guards against a permit granted to a bidder that has given up: it stays unused until it expires.
#[test]
fn expired_bid_gets_no_permit() {
    let mut pool = FetchPool::new();
    let mut expired = pool.bid(&instance("a"), 1.0, at(0));

    pool.grant(1, at(2500));

    expired.try_recv().expect_err("the bid expired");
    assert_eq!(pool.in_use(), 0);
}

/// Guards against permits that a failed instance never returns.
#[test]
fn permit_of_a_failed_instance_expires() {
    let mut pool = FetchPool::new();
    let _lost = pool.bid(&instance("a"), 1.0, at(0));
    pool.grant(1, at(0));
    let mut next = pool.bid(&instance("b"), 1.0, at(2900));

    pool.grant(1, at(2900));
    next.try_recv().expect_err("no reply yet");
    pool.grant(1, at(3100));

    next.try_recv().expect("a permit is granted");
}

/// Guards against the release of a permit by an instance that does not hold it.
#[test]
fn only_the_holder_returns_a_permit() {
    let mut pool = FetchPool::new();
    let mut answer = pool.bid(&instance("a"), 1.0, at(0));
    pool.grant(1, at(0));
    let permit = answer.try_recv().expect("the permit is granted");

    pool.release(&instance("b"), permit);
    assert_eq!(pool.in_use(), 1);
    pool.release(&instance("a"), permit);

    assert_eq!(pool.in_use(), 0);
}
