//! Upstreams that fail are avoided for a while.

use std::time::Duration;

use comfreychute::forward::UpstreamHealth;
use comfreychute::id::UpstreamId;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against requests that queue up behind an upstream that is out of reach, and against one
/// that is avoided for long after it is back.
#[test]
fn lost_upstream_is_avoided_for_a_growing_but_short_time() {
    let (health, upstream) = (UpstreamHealth::new(), UpstreamId::from_name("u"));

    health.record_unreachable(&upstream, at(0));
    assert!(!health.is_usable(&upstream, at(200)));
    assert!(health.is_usable(&upstream, at(400)));
    for _ in 0..10 {
        health.record_unreachable(&upstream, at(1000));
    }

    assert!(!health.is_usable(&upstream, at(2000)));
    assert!(health.is_usable(&upstream, at(2300)));
}

/// Guards against failures that are held against an upstream for ever.
#[test]
fn failures_fade() {
    let (health, upstream) = (UpstreamHealth::new(), UpstreamId::from_name("u"));

    health.record_failure(&upstream, at(0));
    health.record_failure(&upstream, at(0));

    assert!(health.failures(&upstream, at(0)) > 1.9);
    assert!(health.failures(&upstream, at(8000)) < 0.2);
}
