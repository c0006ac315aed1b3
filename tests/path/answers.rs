//! Each caller gets the whole answer to its own request, from the adapter and version that it named.

use std::time::Duration;

use serde_json::json;

use crate::fixture::fetch;
use crate::process_fleet::{
    FleetPlan, ProcessFleet, complete, completion, expected_text, streamed_text,
};

/// Sends `count` completions at once to all nodes and compares each answer with an unbroken run.
async fn compare_answers(fleet: &ProcessFleet, count: usize) {
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    let requests = (0..count).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            let (adapter, prompt) = (format!("coop-{}@1", number % 3), format!("label {number}"));
            let (status, body) = complete(address, &adapter, &prompt, 30).await;
            assert_eq!(status, 200, "{body}");
            assert_eq!(streamed_text(&body), expected_text(&adapter, &prompt, 30));
        }
    });
    futures_util::future::join_all(requests).await;
}

/// Guards against delivery of an answer that belongs to another attempt, of repeated tokens, and of
/// answers that are cut before their end.
#[tokio::test]
async fn crossed_repeated_and_cut_answers_are_mended() {
    let fleet = ProcessFleet::start(FleetPlan::new("answers")).await;
    let faults = [
        json!({ "swap_answers": 2 }),
        json!({ "duplicate_answers": 3 }),
        json!({ "truncate_answers": 3 }),
        json!({ "cut_answers": 3 }),
        json!({ "swap_answers": 1, "cut_answers": 2, "duplicate_answers": 2 }),
    ];

    for fault in faults {
        println!("fault {fault}");
        for engine in &fleet.engines.addresses {
            fleet.control(*engine, &fault).await;
        }

        compare_answers(&fleet, 9).await;
    }
}

/// Guards against a stream that hangs for ever because its connection went silent while new ones work.
#[tokio::test]
async fn a_stream_on_a_silent_connection_is_resumed() {
    let fleet = ProcessFleet::start(FleetPlan::new("silence")).await;
    compare_answers(&fleet, 3).await;
    let silence = async {
        fleet
            .wait_for("streams in progress", async |fleet| {
                fleet.engine_counter("completions").await >= 6
            })
            .await;
        for engine in &fleet.engines.addresses {
            let (status, body) =
                fetch(http::Method::POST, *engine, "/control/silence", &[], "").await;
            assert!(status < 300, "{body}");
        }
    };

    let ((), ()) = tokio::join!(compare_answers(&fleet, 6), silence);

    assert!(
        fleet.engine_counter("resumes").await > 0,
        "the streams were resumed"
    );
}

/// Guards against an answer that mixes versions, or that runs a version which nobody asked for,
/// while the default version in the tables changes.
#[tokio::test]
async fn a_version_switch_during_traffic_never_mixes_versions() {
    let fleet = ProcessFleet::start(FleetPlan::new("versions")).await;
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    let traffic = (0..30).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            tokio::time::sleep(Duration::from_millis(40 * number as u64)).await;
            let prompt = format!("label {number}");
            let (status, body) = complete(address, "coop-1", &prompt, 15).await;
            assert_eq!(status, 200, "{body}");
            let text = streamed_text(&body);
            let ran = ["coop-1@1", "coop-1@2"]
                .into_iter()
                .find(|adapter| body.contains(adapter));
            let ran = ran.expect("the answer names its adapter");
            assert_eq!(text, expected_text(ran, &prompt, 15));
        }
    });
    let switch = async {
        fleet.apply(
            |routes| routes.replace("coop-*@1", "coop-*@2"),
            |pools| pools,
        );
    };

    tokio::join!(futures_util::future::join_all(traffic), switch);
}

/// Guards against an answer in one piece that lacks a part after the engine was restarted.
#[tokio::test]
async fn a_whole_answer_survives_a_cold_restart_of_its_engine() {
    let fleet = ProcessFleet::start(FleetPlan::new("restart")).await;
    let address = fleet.nodes["node-1"].ports.caller;
    let body = completion("coop-5@1", "label 5", 100, false);
    let headers = [("x-deadline-ms", "50000")];
    let answer = fetch(
        http::Method::POST,
        address,
        "/v1/completions",
        &headers,
        &body,
    );
    let restart = async {
        fleet
            .wait_for("a run", async |fleet| {
                fleet.engine_counter("tokens").await > 10
            })
            .await;
        for engine in &fleet.engines.addresses {
            fetch(http::Method::POST, *engine, "/control/restart", &[], "").await;
        }
    };

    let ((status, body), ()) = tokio::join!(answer, restart);

    assert_eq!(status, 200, "{body}");
    let answer: serde_json::Value = serde_json::from_str(&body).expect("the answer is JSON");
    assert_eq!(
        answer["choices"][0]["text"],
        expected_text("coop-5@1", "label 5", 100)
    );
}
