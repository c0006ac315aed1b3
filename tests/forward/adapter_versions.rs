//! Announcements of adapter versions.

use std::time::Duration;

use comfreychute::forward::{FleetState, ModelRef};
use tokio::time::timeout;

fn model() -> ModelRef {
    ModelRef::new("base", "a7")
}

/// Guards against a waiter that misses an announcement made before or during its wait.
#[tokio::test(start_paused = true)]
async fn newer_version_ends_the_wait() {
    let (fleet, model) = (FleetState::new(), model());
    let announcing = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        fleet.adopt_version(&model, 4)
    };

    let during = async { tokio::join!(fleet.wait_for_newer_version(&model, 3), announcing).1 };
    let during = timeout(Duration::from_secs(1), during).await;
    let before = fleet.wait_for_newer_version(&model, 3);
    let before = timeout(Duration::from_secs(1), before).await;

    assert!(during.expect("the wait ends"));
    before.expect("the wait ends at once");
}

/// Guards against a wait that ends for an equal version or for another adapter.
#[tokio::test(start_paused = true)]
async fn equal_version_and_other_adapters_keep_the_wait() {
    let (fleet, model) = (FleetState::new(), model());
    fleet.adopt_version(&model, 4);
    fleet.adopt_version(&ModelRef::new("base", "a8"), 9);

    let wait = fleet.wait_for_newer_version(&model, 4);

    timeout(Duration::from_secs(1), wait)
        .await
        .expect_err("no newer version is announced");
}

/// Guards against a version that is lowered by a late or repeated announcement.
#[test]
fn older_announcement_has_no_effect() {
    let fleet = FleetState::new();

    let adopted = [4, 4, 3].map(|version| fleet.adopt_version(&model(), version));

    assert_eq!(adopted, [true, false, false]);
    assert_eq!(fleet.min_version(&model()), 4);
}
