//! Estimates of how slow upstreams are at the moment.

use std::time::Duration;

use comfreychute::forward::{PaceEstimate, UpstreamPace};
use comfreychute::id::UpstreamId;

const USUAL_GAP: Duration = Duration::from_millis(30);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Creates an estimate after a thousand usual gaps at an upstream that states its usual pace.
fn pace(upstream: &UpstreamId) -> UpstreamPace {
    let pace = UpstreamPace::default();
    for _ in 0..1000 {
        pace.record_gap("llm", upstream, USUAL_GAP, at(0));
    }
    pace.record_stated(upstream, 1.0, at(0));
    pace
}

/// Guards against a slow upstream that is noticed only with its next response.
#[test]
fn long_gap_shows_a_slowdown_that_decays() {
    let upstream = UpstreamId::from_name("u");
    let pace = pace(&upstream);

    pace.record_gap("llm", &upstream, USUAL_GAP * 3, at(1000));

    let slowdown = |now| pace.estimate("llm", &upstream, now).slowdown;
    assert!(slowdown(at(1000)) > 2.5);
    assert!(slowdown(at(1150)) < 1.6);
    assert!((slowdown(at(2000)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against an old statement that outlives the phase which it described.
#[test]
fn stated_slowdown_expires() {
    let upstream = UpstreamId::from_name("u");
    let pace = pace(&upstream);

    pace.record_stated(&upstream, 2.5, at(1000));

    let slowdown = |now| pace.estimate("llm", &upstream, now).slowdown;
    assert!((slowdown(at(1100)) - 2.5).abs() < f64::EPSILON);
    assert!((slowdown(at(1500)) - 1.0).abs() < f64::EPSILON);
}

/// Guards against an upstream that is avoided for good because it states an enormous slowdown.
#[test]
fn stated_slowdown_is_limited() {
    let upstream = UpstreamId::from_name("u");
    let pace = pace(&upstream);

    pace.record_stated(&upstream, 100.0, at(1000));

    let slowdown = pace.estimate("llm", &upstream, at(1000)).slowdown;
    assert!((slowdown - 4.0).abs() < f64::EPSILON);
}

/// Guards against held requests at engines whose streams pause only for the prompts that they read.
#[test]
fn upstream_that_states_no_slowdown_counts_as_usual() {
    let (pace, upstream) = (UpstreamPace::default(), UpstreamId::from_name("u"));

    pace.record_gap("llm", &upstream, USUAL_GAP, at(0));
    pace.record_gap("llm", &upstream, USUAL_GAP * 5, at(10));

    let estimate = pace.estimate("llm", &upstream, at(10));
    assert_eq!(estimate, PaceEstimate::default());
}
