//! Backoff from unreachable upstreams and decay of recorded failures.

use std::sync::Arc;
use std::time::Duration;

use comfreychute::forward::{UpstreamEntry, UpstreamHealth};
use comfreychute::id::UpstreamId;

use crate::standing::entry;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns whether `upstream` is among those to choose from if another one can be reached.
fn is_usable(health: &UpstreamHealth, upstream: &Arc<UpstreamEntry>, now: Duration) -> bool {
    let other = entry("other", 1);
    let screened = health.screen(&[upstream, &other], now, Duration::ZERO, now);
    screened
        .usable
        .iter()
        .any(|usable| usable.id == upstream.id)
}

/// Guards against requests that queue up behind an unreachable upstream, and against an upstream
/// that is avoided for long after it has recovered.
#[test]
fn backoff_from_unreachable_upstream_grows_up_to_a_limit() {
    let (health, upstream) = (UpstreamHealth::new(), entry("u", 1));

    health.record_unreachable(&upstream.id, at(0));
    assert!(!is_usable(&health, &upstream, at(200)));
    assert!(is_usable(&health, &upstream, at(400)));
    for _ in 0..10 {
        health.record_unreachable(&upstream.id, at(1000));
    }

    assert!(!is_usable(&health, &upstream, at(2000)));
    assert!(is_usable(&health, &upstream, at(2300)));
}

/// Guards against failures that never decay, so that a recovered upstream stays penalised.
#[test]
fn failures_decay() {
    let (health, upstream) = (UpstreamHealth::new(), UpstreamId::from_name("u"));

    health.record_failure(&upstream, at(0));
    health.record_failure(&upstream, at(0));

    assert!(health.failures(&upstream, at(0)) > 1.9);
    assert!(health.failures(&upstream, at(8000)) < 0.2);
}
