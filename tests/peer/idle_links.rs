//! Links that carry nothing but heartbeats.

use std::time::{Duration, Instant};

use comfreychute::peer::{MeshConfig, PeerRequest};
use tokio::time::{sleep, timeout};

use crate::fixture::{LIMIT, TestNode, answer_three, config, id, listed, until};
use crate::test_proxy::TestProxy;

/// Time after the last other frame from which a link is idle, and a margin.
const IDLE_AFTER: Duration = Duration::from_millis(5500);

const HEARTBEAT: Duration = Duration::from_millis(50);

const IDLE_FACTOR: u32 = 20;

fn idle_config(name: &str) -> MeshConfig {
    let mut config = config(name, 1);
    config.heartbeat_interval = HEARTBEAT;
    config.link_timeout = HEARTBEAT * 10;
    config.idle_factor = IDLE_FACTOR;
    config
}

fn heartbeats_from(node: &TestNode, peer: &str) -> usize {
    let seen = node.seen.lock().expect("not poisoned");
    seen.heartbeats.get(&id(peer)).map_or(0, Vec::len)
}

/// Guards against heartbeats whose cost grows with the size of the fleet, and against idle links
/// that are closed because of the longer time between them.
#[tokio::test]
async fn idle_link_carries_few_heartbeats_and_stays_open() {
    let low = TestNode::start_with(idle_config("a"), answer_three);
    let high = TestNode::start_with(idle_config("b"), answer_three);
    low.dial(&[&high]);
    high.wait_for_link("a").await;
    sleep(IDLE_AFTER).await;

    let before = heartbeats_from(&high, "a");
    sleep(HEARTBEAT * IDLE_FACTOR * 2).await;
    let received = heartbeats_from(&high, "a") - before;

    // At the usual interval there would be forty.
    assert!((1..=10).contains(&received), "{received}");
    assert_eq!(low.mesh.last_failure(&id("b")), None);
}

/// Guards against a request over an idle link that has gone silent and is noticed only after the long
/// timeout of idle links.
#[tokio::test]
async fn silent_link_is_closed_soon_after_a_request() {
    let low = TestNode::start_with(idle_config("a"), answer_three);
    let high = TestNode::start_with(idle_config("b"), answer_three);
    let proxy = TestProxy::start(high.mesh.address()).await;
    low.mesh.dial(&[listed("b", proxy.address)]);
    low.wait_for_link("b").await;
    sleep(IDLE_AFTER).await;

    proxy.silence();
    let asked_at = Instant::now();
    let peer = id("b");
    let request = low.mesh.request(&peer, PeerRequest { body: None });
    let _no_reply = timeout(LIMIT, request).await.expect("in time");
    until("the link is given up", || {
        let failure = low.mesh.last_failure(&id("b"))?;
        failure.contains("nothing was received").then_some(())
    })
    .await;

    let limit = idle_config("a").link_timeout * IDLE_FACTOR;
    assert!(asked_at.elapsed() < limit / 2, "{:?}", asked_at.elapsed());
}
