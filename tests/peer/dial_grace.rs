//! Which of two instances opens the link between them.

use std::time::Duration;

use tokio::time::sleep;

use crate::fixture::{TestNode, answer_three, config};

fn node(name: &str, grace: Duration) -> TestNode {
    let mut config = config(name, 1);
    config.dial_grace = Some(grace);
    TestNode::start_with(config, answer_three)
}

/// Guards against two links between each two instances, whose heartbeats cost processor time in
/// proportion to the size of the fleet.
#[tokio::test]
async fn instance_with_the_lower_id_opens_the_link() {
    let grace = Duration::from_mins(10);
    let (low, high) = (node("a", grace), node("b", grace));

    high.dial(&[&low]);
    sleep(Duration::from_millis(200)).await;
    assert!(high.mesh.live_peers().is_empty());
    low.dial(&[&high]);

    low.wait_for_link("b").await;
    high.wait_for_link("a").await;
}

/// Guards against instances that stay without a link because the one with the lower id does not know
/// the other one yet, for example because its view of the store is old.
#[tokio::test]
async fn instance_with_the_higher_id_dials_after_the_grace_period() {
    let grace = Duration::from_millis(100);
    let (low, high) = (node("a", grace), node("b", grace));

    high.dial(&[&low]);
    sleep(grace).await;
    high.dial(&[&low]);

    low.wait_for_link("b").await;
    high.wait_for_link("a").await;
}
