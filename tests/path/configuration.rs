//! An accepted configuration is in force everywhere within seconds and never reverts.

use std::time::{Duration, Instant};

use http::Method;
use serde_json::json;

use crate::fixture::{fetch, free_ports, wait_for_state};
use crate::process_fleet::{FleetPlan, ProcessFleet};

/// The bound that the users set.
const FORCE_LIMIT: Duration = Duration::from_secs(4);

async fn revision(fleet: &ProcessFleet, node: &str) -> u64 {
    let (_, body) = fetch(
        Method::GET,
        fleet.nodes[node].ports.admin,
        "/state",
        &[],
        "",
    )
    .await;
    let state: serde_json::Value = serde_json::from_str(&body).expect("the state is JSON");
    state["revision"].as_u64().expect("a revision")
}

/// Guards against a change that some node learns too late; the bound is the users' 4 s.
#[tokio::test]
async fn an_accepted_edit_is_in_force_everywhere_within_four_seconds() {
    let fleet = ProcessFleet::start(FleetPlan::new("force")).await;

    fleet.apply(
        |routes| routes.replace("coop-*@1", "coop-*@2"),
        |pools| pools,
    );
    let accepted_at = Instant::now();
    fleet.wait_for_revision(2).await;

    assert!(
        accepted_at.elapsed() < FORCE_LIMIT,
        "in force after {:?}",
        accepted_at.elapsed()
    );
}

/// Guards against a node that starts with nothing while the platform is out and never gets ready,
/// and against one that takes older tables from a stale replica of the platform.
#[tokio::test]
async fn a_new_node_learns_from_peers_and_no_node_reverts() {
    let mut fleet = ProcessFleet::start(FleetPlan::new("revert")).await;
    fleet.apply(
        |routes| routes.replace("coop-*@1", "coop-*@2"),
        |pools| pools,
    );
    fleet.wait_for_revision(2).await;
    let platform = fleet.platform.addresses[0];
    let seed = fleet.nodes["node-1"].ports.peer;

    fleet.control(platform, &json!({ "outage": "hang" })).await;
    fleet.start_node_with_seed(
        "node-9",
        "north",
        free_ports(),
        &format!("node-1/north/{seed}"),
    );
    let admin = fleet.nodes["node-9"].ports.admin;
    wait_for_state(admin, "revision 2 without the platform", |state| {
        state["revision"] == 2
    })
    .await;
    fleet
        .control(platform, &json!({ "outage": "off", "stale_versions": 1 }))
        .await;
    fleet.nodes["node-1"].process.signal("STOP");
    tokio::time::sleep(Duration::from_secs(4)).await;
    fleet.nodes["node-1"].process.signal("CONT");

    for _ in 0..20 {
        for node in ["node-1", "node-2", "node-3", "node-9"] {
            assert_eq!(revision(&fleet, node).await, 2, "{node} reverted");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
