//! An adapter that serves a request is never evicted, whatever happens to owners.

use serde_json::json;

use crate::process_fleet::{FleetPlan, ProcessFleet, complete, expected_text, streamed_text};

/// Two nodes in each failure domain, so that each upstream has a successor for its owner.
const NODES: [(&str, &str); 4] = [
    ("node-1", "north"),
    ("node-2", "north"),
    ("node-3", "south"),
    ("node-4", "south"),
];

fn plan(test: &'static str, fencing: &'static str) -> FleetPlan {
    let mut plan = FleetPlan::new(test);
    plan.nodes = &NODES;
    plan.fencing = fencing;
    plan.engine = vec![
        "--token-interval",
        "20ms",
        "--slots",
        "8",
        "--load-time",
        "50ms",
    ];
    if fencing == "checked" {
        plan.engine.push("--checks-fencing");
    }
    plan
}

/// Sends completions over more adapters than there are slots; returns how many were answered.
async fn churn(fleet: &ProcessFleet, nodes: &[&str], count: usize) -> usize {
    let requests = (0..count).map(|number| {
        let address = fleet.nodes[nodes[number % nodes.len()]].ports.caller;
        async move {
            tokio::time::sleep(std::time::Duration::from_millis(50 * number as u64)).await;
            let (adapter, prompt) = (format!("coop-{}@1", number % 24), format!("label {number}"));
            let (status, body) = complete(address, &adapter, &prompt, 30).await;
            if status == 200 && body.contains("[DONE]") {
                assert_eq!(streamed_text(&body), expected_text(&adapter, &prompt, 30));
                return 1;
            }
            0
        }
    });
    futures_util::future::join_all(requests)
        .await
        .into_iter()
        .sum()
}

async fn pause_owner(test: &'static str, fencing: &'static str) {
    let fleet = ProcessFleet::start(plan(test, fencing)).await;
    churn(&fleet, &["node-1", "node-4"], 20).await;
    let owner = fleet.owner("node-1", "engine-1").await;
    let others: Vec<&str> = NODES
        .iter()
        .map(|(name, _)| *name)
        .filter(|name| *name != owner)
        .collect();
    let pause = async {
        fleet.nodes[owner.as_str()].process.signal("STOP");
        fleet
            .wait_for("another owner", async |fleet| {
                fleet.owner(others[0], "engine-1").await != owner
            })
            .await;
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        fleet.nodes[owner.as_str()].process.signal("CONT");
    };

    let (answered, ()) = tokio::join!(churn(&fleet, &others, 80), pause);
    let after = churn(&fleet, &[owner.as_str()], 20).await;

    assert_eq!(fleet.engine_counter("evictions_while_running").await, 0);
    assert!(
        answered > 0 && after > 0,
        "the fleet goes on serving: {answered}, {after}"
    );
}

/// Guards against evictions under requests by an owner that wakes after its ownership has passed
/// on, at engines that reject old fencing tokens.
#[tokio::test]
async fn a_paused_owner_evicts_nothing_in_use_with_fencing() {
    pause_owner("pause-checked", "checked").await;
}

/// The same at engines that ignore fencing tokens.
#[tokio::test]
async fn a_paused_owner_evicts_nothing_in_use_without_fencing() {
    pause_owner("pause-ignored", "ignored").await;
}

/// Guards against a new owner that evicts adapters on which streams of a killed owner still run.
#[tokio::test]
async fn a_killed_owner_leaves_streams_that_are_not_evicted() {
    let mut fleet = ProcessFleet::start(plan("kill-owner", "ignored")).await;
    churn(&fleet, &["node-1", "node-4"], 20).await;
    let owner = fleet.owner("node-1", "engine-1").await;
    let others: Vec<&str> = NODES
        .iter()
        .map(|(name, _)| *name)
        .filter(|name| *name != owner)
        .collect();
    let victim = fleet.nodes.remove(owner.as_str());
    let kill = async {
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        drop(victim);
    };

    let (answered, ()) = tokio::join!(churn(&fleet, &others, 60), kill);
    let after = churn(&fleet, &others, 20).await;

    assert_eq!(fleet.engine_counter("evictions_while_running").await, 0);
    assert!(answered > 0, "the fleet goes on serving");
    assert_eq!(
        after, 20,
        "all requests are answered once the ownership has passed on"
    );
}

/// Guards against loss of service or evictions in use when ownership moves while the platform is out.
#[tokio::test]
async fn ownership_moves_while_the_platform_is_out() {
    let mut fleet = ProcessFleet::start(plan("outage", "ignored")).await;
    churn(&fleet, &["node-1", "node-4"], 10).await;
    fleet
        .control(fleet.platform.addresses[0], &json!({ "outage": "hang" }))
        .await;
    let owner = fleet.owner("node-1", "engine-1").await;
    let others: Vec<&str> = NODES
        .iter()
        .map(|(name, _)| *name)
        .filter(|name| *name != owner)
        .collect();

    drop(fleet.nodes.remove(owner.as_str()));
    churn(&fleet, &others, 20).await;
    let after = churn(&fleet, &others, 20).await;

    assert_eq!(after, 20, "the domain goes on serving without the platform");
    assert_eq!(fleet.engine_counter("evictions_while_running").await, 0);
}
