//! Detection of an instance that lags behind the revisions of its peers.

use std::time::Duration;

use comfreychute::forward::FleetState;
use comfreychute::relay::ObjectKind;
use tokio::time::timeout;

/// Guards against a configuration change that is missed because the response of a watch was lost.
#[tokio::test(start_paused = true)]
async fn peer_ahead_beyond_the_limit_is_detected_as_lag() {
    let fleet = FleetState::new();
    fleet.record_own_revision(ObjectKind::Config, 5, 7);

    fleet.record_peer_revision(ObjectKind::Config, 8);

    let lag = timeout(
        Duration::from_secs(1),
        fleet.wait_for_lag(ObjectKind::Config, Duration::ZERO),
    )
    .await;
    lag.expect("the lag is detected");
}

/// Guards against lists that are read again although no change is missing.
#[tokio::test(start_paused = true)]
async fn peer_within_the_covered_revisions_is_not_ahead() {
    let fleet = FleetState::new();
    fleet.record_own_revision(ObjectKind::Config, 5, 7);

    fleet.record_peer_revision(ObjectKind::Config, 6);
    fleet.record_peer_revision(ObjectKind::Upstreams, 90);

    let lag = timeout(
        Duration::from_secs(5),
        fleet.wait_for_lag(ObjectKind::Config, Duration::ZERO),
    )
    .await;
    lag.expect_err("no change is missing");
}

/// Guards against lists that are read again while the instance that relays the changes only delays
/// its next watch call to coalesce changes.
#[tokio::test(start_paused = true)]
async fn coalescing_delay_is_not_lag() {
    let pause = Duration::from_millis(500);
    let fleet = FleetState::new();
    fleet.record_own_revision(ObjectKind::Upstreams, 5, 7);

    fleet.record_peer_revision(ObjectKind::Upstreams, 8);

    let lag = fleet.wait_for_lag(ObjectKind::Upstreams, pause);
    timeout(pause, lag)
        .await
        .expect_err("still within the pause");
    let lag = fleet.wait_for_lag(ObjectKind::Upstreams, pause);
    let lag = timeout(Duration::from_secs(1), lag).await;
    lag.expect("the lag is detected");
}

/// Guards against lists that are read again and again, and a revision that instances report to each
/// other for ever, after a peer has stated what the store has not reached.
#[tokio::test(start_paused = true)]
async fn refuted_revision_of_a_peer_is_neither_lag_nor_reported() {
    let fleet = FleetState::new();
    fleet.record_own_revision(ObjectKind::Config, 5, 7);
    fleet.record_peer_revision(ObjectKind::Config, 90);

    fleet.check_peer_revision(ObjectKind::Config, 90, 7);
    fleet.record_peer_revision(ObjectKind::Config, 90);

    assert!(fleet.known_revision(ObjectKind::Config) <= 7);
    let lag = fleet.wait_for_lag(ObjectKind::Config, Duration::ZERO);
    let lag = timeout(Duration::from_mins(1), lag).await;
    lag.expect_err("no change is missing");
}

/// Guards against a lost change that is not noticed because another peer has stated a false revision.
#[tokio::test(start_paused = true)]
async fn lag_is_detected_after_a_refuted_revision() {
    let fleet = FleetState::new();
    fleet.record_own_revision(ObjectKind::Config, 5, 7);
    fleet.record_peer_revision(ObjectKind::Config, 90);
    fleet.check_peer_revision(ObjectKind::Config, 90, 7);

    fleet.record_peer_revision(ObjectKind::Config, 8);

    let lag = fleet.wait_for_lag(ObjectKind::Config, Duration::ZERO);
    let lag = timeout(Duration::from_secs(6), lag).await;
    lag.expect("the lag is detected");
}
