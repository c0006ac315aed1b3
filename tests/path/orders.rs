//! A call that may not be repeated runs at most once, and "not run" is true.

use http::Method;
use serde_json::json;

use crate::fixture::fetch;
use crate::process_fleet::{FleetPlan, ProcessFleet};

const HEADERS: [(&str, &str); 3] = [
    ("idempotency-key", "order-9"),
    ("x-caller", "press-4"),
    ("x-deadline-ms", "8000"),
];
const ORDER: &str = r#"{"plate":9}"#;

/// What the caller was told: the status and the run state, or an empty one for an answer.
async fn order(fleet: &ProcessFleet, node: &str) -> (u16, String) {
    let address = fleet.nodes[node].ports.caller;
    let (status, body) = fetch(Method::POST, address, "/orders", &HEADERS, ORDER).await;
    let answer: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    (
        status,
        answer["error"]["run_state"]
            .as_str()
            .unwrap_or_default()
            .to_owned(),
    )
}

/// Sends the order through every node until it is answered or known as run or unknown.
async fn resend(fleet: &ProcessFleet) -> (u16, String) {
    let mut told = (0, String::new());
    for round in 0..100 {
        let names: Vec<_> = fleet.nodes.keys().copied().collect();
        told = order(fleet, names[round % names.len()]).await;
        if told.0 == 200 || told.0 == 502 {
            return told;
        }
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    panic!("the order is never settled: {told:?}");
}

async fn runs(fleet: &ProcessFleet) -> usize {
    fleet.journal(fleet.desk.addresses[0]).await.len()
}

/// Guards against a second run when the first node is killed while the order runs.
#[tokio::test]
async fn an_order_whose_entry_is_killed_in_progress_runs_once() {
    let mut fleet = ProcessFleet::start(FleetPlan::new("order-kill")).await;
    fleet
        .control(fleet.desk.addresses[0], &json!({ "delay": "1s" }))
        .await;
    let owner = fleet.owner("node-1", "desk-1").await;
    let entry = ["node-1", "node-2", "node-3"]
        .into_iter()
        .find(|name| *name != owner);
    let entry = entry.expect("a node that does not own the service");
    let address = fleet.nodes[entry].ports.caller;
    let first = tokio::spawn(async move {
        let client = crate::fixture::client();
        drop(
            client
                .request(crate::fixture::request(
                    Method::POST,
                    address,
                    "/orders",
                    &HEADERS,
                    ORDER,
                ))
                .await,
        );
    });
    fleet
        .wait_for("the order runs", async |fleet| runs(fleet).await == 1)
        .await;

    drop(fleet.nodes.remove(entry));
    first.await.expect("the first caller ends");
    let (status, run_state) = resend(&fleet).await;

    assert_eq!(
        (status, run_state.as_str()),
        (502, "unknown"),
        "the first attempt never reported"
    );
    assert_eq!(runs(&fleet).await, 1);
}

/// Guards against a second run when the owner of the service is killed while the order runs.
#[tokio::test]
async fn an_order_whose_owner_is_killed_in_progress_runs_once() {
    let mut fleet = ProcessFleet::start(FleetPlan::new("order-owner")).await;
    fleet
        .control(fleet.desk.addresses[0], &json!({ "delay": "1s" }))
        .await;
    let owner = fleet.owner("node-1", "desk-1").await;
    let entry = ["node-1", "node-2", "node-3"]
        .into_iter()
        .find(|name| *name != owner);
    let entry = entry.expect("a node that does not own the service");
    let kill = async {
        fleet
            .wait_for("the order runs", async |fleet| runs(fleet).await == 1)
            .await;
        fleet.nodes[owner.as_str()].process.signal("KILL");
    };

    let ((status, run_state), ()) = tokio::join!(order(&fleet, entry), kill);
    fleet.nodes.retain(|name, _| *name != owner);
    let resent = resend(&fleet).await;

    assert_eq!(run_state, "unknown", "status {status}");
    assert_eq!(resent, (502, "unknown".to_owned()));
    assert_eq!(runs(&fleet).await, 1);
}

/// Guards against a run without a durable claim, and against a false "not run", while the platform
/// is out or its replies are lost after the effect.
#[tokio::test]
async fn orders_during_platform_faults_run_at_most_once() {
    let fleet = ProcessFleet::start(FleetPlan::new("order-platform")).await;
    let platform = fleet.platform.addresses[0];

    fleet
        .control(platform, &json!({ "outage": "refuse" }))
        .await;
    let during = order(&fleet, "node-1").await;
    let runs_during = runs(&fleet).await;
    fleet
        .control(platform, &json!({ "outage": "off", "lost_replies": 3 }))
        .await;
    let after = resend(&fleet).await;

    assert_eq!(during, (503, "not_run".to_owned()));
    assert_eq!(runs_during, 0, "nothing runs without a claim");
    assert_eq!(after, (200, String::new()));
    assert_eq!(runs(&fleet).await, 1);
}

/// Guards against a second run when the entry is paused while the order runs and wakes later.
#[tokio::test]
async fn an_order_whose_entry_is_paused_runs_once() {
    let fleet = ProcessFleet::start(FleetPlan::new("order-pause")).await;
    fleet
        .control(fleet.desk.addresses[0], &json!({ "delay": "1s" }))
        .await;
    let owner = fleet.owner("node-1", "desk-1").await;
    let names = ["node-1", "node-2", "node-3"];
    let entry = names
        .into_iter()
        .find(|name| *name != owner)
        .expect("another node");
    let other = names
        .into_iter()
        .find(|name| *name != owner && *name != entry)
        .expect("a third node");
    let pause = async {
        fleet
            .wait_for("the order runs", async |fleet| runs(fleet).await == 1)
            .await;
        fleet.nodes[entry].process.signal("STOP");
        let told = order(&fleet, other).await;
        fleet.nodes[entry].process.signal("CONT");
        told
    };

    let (_, during) = tokio::join!(order(&fleet, entry), pause);

    assert_eq!(during.1, "unknown", "{during:?}");
    resend(&fleet).await;
    assert_eq!(runs(&fleet).await, 1);
}

/// Guards against a refusal as "not run" of a completion that reached an engine.
#[tokio::test]
async fn completions_refused_as_not_run_left_no_trace_while_nodes_are_killed() {
    let mut fleet = ProcessFleet::start(FleetPlan::new("not-run")).await;
    let address = fleet.nodes["node-1"].ports.caller;
    let requests = (0..60).map(|number| async move {
        tokio::time::sleep(std::time::Duration::from_millis(25 * number)).await;
        let body =
            crate::process_fleet::completion("coop-1@1", &format!("label {number}"), 40, true);
        let answer = fetch(
            Method::POST,
            address,
            "/v1/completions",
            &[("x-deadline-ms", "1500")],
            &body,
        )
        .await;
        (number, answer)
    });
    let mut victim = fleet.owner("node-1", "engine-1").await;
    if victim == "node-1" {
        victim = "node-2".to_owned();
    }
    let node = fleet.nodes.remove(victim.as_str());
    let kill = async {
        tokio::time::sleep(std::time::Duration::from_millis(600)).await;
        drop(node);
    };

    let (answers, ()) = tokio::join!(futures_util::future::join_all(requests), kill);

    let mut journal = Vec::new();
    for engine in &fleet.engines.addresses {
        journal.extend(fleet.journal(*engine).await);
    }
    for (number, (_, body)) in answers {
        let Ok(answer) = serde_json::from_str::<serde_json::Value>(&body) else {
            continue;
        };
        if answer["error"]["run_state"] != "not_run" {
            continue;
        }
        let request = answer["error"]["request_id"]
            .as_str()
            .expect("a refusal names its request")
            .to_owned();
        let is_traced = |entry: &serde_json::Value| {
            entry["attempt"]
                .as_str()
                .is_some_and(|attempt| attempt.starts_with(&request))
        };
        assert!(
            !journal.iter().any(is_traced),
            "request {number} was refused as not run: {body}"
        );
    }
}
