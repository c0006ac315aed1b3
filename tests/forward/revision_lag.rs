//! An instance that is behind its peers notices it.

use std::time::Duration;

use comfreychute::forward::FleetState;
use comfreychute::relay::ObjectKind;
use tokio::time::timeout;

/// Guards against a configuration that is missed because the answer of a watch was lost.
#[tokio::test(start_paused = true)]
async fn peer_ahead_for_long_means_a_lost_answer() {
    let fleet = FleetState::new();
    fleet.record_own_revision(ObjectKind::Config, 5, 7);

    fleet.record_peer_revision(ObjectKind::Config, 8);

    let lag = timeout(
        Duration::from_secs(1),
        fleet.wait_for_lag(ObjectKind::Config, Duration::ZERO),
    )
    .await;
    lag.expect("the lag is noticed");
}

/// Guards against lists that are read anew although nothing is missing.
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
    lag.expect_err("nothing is missing");
}

/// Guards against lists that are read anew while whoever answers pauses between changes.
#[tokio::test(start_paused = true)]
async fn pause_between_changes_is_no_lag() {
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
    lag.expect("the lag is noticed");
}
