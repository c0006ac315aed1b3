//! The upstreams that may have run a request.

use std::collections::BTreeMap;
use std::sync::Arc;

use comfreychute::forward::{RunUpstreams, UpstreamEntry};
use comfreychute::id::UpstreamId;

use crate::standing::entry;

fn list(entries: &[Arc<UpstreamEntry>]) -> BTreeMap<UpstreamId, Arc<UpstreamEntry>> {
    let named = |entry: &Arc<UpstreamEntry>| (entry.id.clone(), Arc::clone(entry));
    entries.iter().map(named).collect()
}

/// Guards against an upstream that takes a second place of the allowed ones when it is sent the rest
/// of a stream.
#[test]
fn repeat_at_the_same_upstream_counts_once() {
    let first = entry("u-1", 7);
    let mut upstreams = RunUpstreams::new();

    assert!(upstreams.begin(&first));
    assert!(!upstreams.begin(&first));

    assert_eq!(upstreams.live_count(&list(&[first])), 1);
}

/// Guards against upstreams that refused a request and take the place of one that may run it.
#[test]
fn upstream_that_did_not_run_the_request_is_not_counted() {
    let first = entry("u-1", 7);
    let mut upstreams = RunUpstreams::new();
    upstreams.begin(&first);

    upstreams.withdraw(&first);

    assert!(!upstreams.includes(&first));
    assert_eq!(upstreams.live_count(&list(&[first])), 0);
}

/// Guards against a stream that is given up although the upstreams that ran it have ended.
#[test]
fn upstream_that_ended_is_not_counted() {
    let (first, second) = (entry("u-1", 7), entry("u-2", 7));
    let mut upstreams = RunUpstreams::new();
    upstreams.begin(&first);
    upstreams.begin(&second);

    let restarted = entry("u-1", 8);
    let with_restart = list(&[Arc::clone(&restarted), Arc::clone(&second)]);
    assert!(!upstreams.includes(&restarted));
    assert_eq!(upstreams.live_count(&with_restart), 1);
    assert_eq!(upstreams.live_count(&list(&[Arc::clone(&second)])), 1);

    upstreams.record_unreachable(&second);
    assert_eq!(upstreams.unreachable_count(), 1);
    assert_eq!(upstreams.live_count(&list(&[first, second])), 1);
}

/// Guards against an entry of an earlier incarnation, as the store may carry out a write late, that
/// passes for a further upstream.
#[test]
fn older_entry_of_an_upstream_names_the_same_one() {
    let mut upstreams = RunUpstreams::new();
    upstreams.begin(&entry("u-1", 7));

    let older = entry("u-1", 6);

    assert!(upstreams.includes(&older));
    assert_eq!(upstreams.live_count(&list(&[older])), 1);
}
