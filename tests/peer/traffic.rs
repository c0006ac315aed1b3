//! Traffic of heartbeats.

use std::time::Duration;

use comfreychute::peer::{HeartbeatBody, MeshConfig, ResidencyItem};

use crate::fixture::{LIMIT, TestNode, answer_three, config, until};

/// Upstreams per owner at the planned scale in two years: 216 workers over 52 instances.
const UPSTREAMS: usize = 4;

/// Number of heartbeats over which the bytes are counted.
const HEARTBEATS: usize = 24;

fn state(step: u32) -> HeartbeatBody {
    let residency = (0..UPSTREAMS)
        .map(|number| ResidencyItem {
            upstream: format!("lanka-zone-1-engine-{number}"),
            epoch: 3 << 32 | 0xabcd_1234,
            running: 4 + step % 8,
            queued: vec![step % 3, 10 + step % 20, 200 + step % 50],
            added: (0..8)
                .map(|adapter| format!("adapter-{adapter}@3"))
                .collect(),
            is_healthy: true,
            ..ResidencyItem::default()
        })
        .collect();
    HeartbeatBody {
        revision: 20_000,
        residency,
        reachable: vec!["lanka-zone-1".to_owned(), "lanka-zone-2".to_owned()],
        ..HeartbeatBody::default()
    }
}

/// Bytes of the keep-alives on a standby link, per two intervals. The long link timeout of these
/// tests makes them rare, so they are added to the count.
const STANDBY_BYTES: u64 = 6;

/// Shortens the interval, which does not affect the bytes per interval; long timeouts keep a busy
/// machine from dropping links, which would add complete states to the count.
fn traffic_config(name: &str) -> MeshConfig {
    let mut config = config(name, 1);
    config.heartbeat_interval = Duration::from_millis(100);
    config.link_timeout = LIMIT;
    config.peer_timeout = 2 * LIMIT;
    config
}

/// Returns the bytes that one node sends per heartbeat interval to `peers` peers, in steady state.
async fn bytes_per_heartbeat(peers: usize, is_busy: bool) -> u64 {
    let hub = TestNode::start_with(traffic_config("hub"), answer_three);
    *hub.heartbeat.lock().expect("not poisoned") = state(0);
    let nodes: Vec<_> = (0..peers)
        .map(|number| TestNode::start_with(traffic_config(&format!("node-{number}")), answer_three))
        .collect();
    hub.dial(&nodes.iter().collect::<Vec<_>>());
    for node in &nodes {
        node.dial(&[&hub]);
    }
    for node in &nodes {
        node.wait_for_link("hub").await;
        hub.wait_for_link(&node.name).await;
    }
    let received_heartbeats = |node: &TestNode| {
        let seen = node.seen.lock().expect("not poisoned");
        seen.heartbeats.values().map(Vec::len).sum::<usize>()
    };
    let started = nodes
        .iter()
        .map(received_heartbeats)
        .max()
        .unwrap_or(0)
        .max(2);
    until("the complete state at all peers", || {
        nodes
            .iter()
            .all(|node| received_heartbeats(node) > started)
            .then_some(())
    })
    .await;

    let (first_heartbeat, first_bytes) =
        (received_heartbeats(&nodes[0]), hub.mesh.heartbeat_bytes());
    let mut step = 0;
    until("enough heartbeats", || {
        let heartbeats = received_heartbeats(&nodes[0]) - first_heartbeat;
        if is_busy && heartbeats > step {
            step = heartbeats;
            let step = u32::try_from(step).expect("few");
            *hub.heartbeat.lock().expect("not poisoned") = state(step);
        }
        (heartbeats >= HEARTBEATS).then_some(())
    })
    .await;
    let bytes = hub.mesh.heartbeat_bytes() - first_bytes;
    let heartbeats = received_heartbeats(&nodes[0]) - first_heartbeat;
    bytes / heartbeats as u64 + peers as u64 * STANDBY_BYTES / 2
}

/// Guards against control traffic above the budget of 3 KB/s for a failure domain of 52 instances,
/// at two heartbeats per second.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn heartbeats_stay_within_the_control_budget() {
    let mut figures = Vec::new();
    for peers in [8, 51] {
        for is_busy in [false, true] {
            figures.push((peers, is_busy, bytes_per_heartbeat(peers, is_busy).await));
        }
    }

    for (peers, is_busy, bytes) in &figures {
        println!("{peers} peers, busy {is_busy}: {bytes} bytes per heartbeat interval");
    }
    for (_, _, bytes) in figures {
        // Two intervals per second.
        assert!(2 * bytes <= 3_000, "{bytes} bytes per interval");
    }
}
