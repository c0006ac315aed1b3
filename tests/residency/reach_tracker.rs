//! The removal of instances that can't be reached.

use std::collections::BTreeSet;
use std::time::Duration;

use comfreychute::id::InstanceId;
use comfreychute::residency::ReachTracker;

fn ids(names: &[&str]) -> BTreeSet<InstanceId> {
    names
        .iter()
        .map(|name| InstanceId::from_name(name))
        .collect()
}

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against entries of failed instances that stay, so that owners depend on the store.
#[test]
fn instance_without_contact_counts_as_dead() {
    let (listed, live) = (ids(&["a", "b"]), ids(&["a"]));
    let mut tracker = ReachTracker::new();

    let first = tracker.observe(&listed, &live, at(1));
    let later = tracker.observe(&listed, &live, at(10));
    let again = tracker.observe(&listed, &live, at(11));

    assert_eq!(first, None);
    assert_eq!(later, Some(InstanceId::from_name("b")));
    assert_eq!(again, None);
}

/// Guards against the removal of a live instance by an owner that was paused while the link to it was
/// down.
#[test]
fn time_of_a_pause_does_not_count() {
    let (listed, live) = (ids(&["a", "b"]), ids(&["a"]));
    let mut tracker = ReachTracker::new();
    tracker.observe(&listed, &live, at(1));

    tracker.resume_after_pause();
    let resumed = tracker.observe(&listed, &live, at(10));
    let later = tracker.observe(&listed, &live, at(19));

    assert_eq!(resumed, None);
    assert_eq!(later, Some(InstanceId::from_name("b")));
}
