//! A request that crashes every engine that runs it is stopped; the others are answered.

use std::net::SocketAddr;

use http::Method;
use serde_json::{Value, json};

use crate::fixture::fetch;
use crate::process_fleet::{FleetPlan, ProcessFleet, complete, completion, expected_text};

/// The text in a request that restarts the engine.
const MARKER: &str = "crash-the-engine";
/// Tokens of the requests that are in progress at the crash.
const TOKENS: u64 = 60;

/// Sends a completion that is answered in one piece.
async fn complete_whole(address: SocketAddr, adapter: &str, prompt: &str) -> (u16, Value) {
    let body = completion(adapter, prompt, TOKENS, false);
    let headers = [("x-deadline-ms", "50000")];
    let (status, body) = fetch(Method::POST, address, "/v1/completions", &headers, &body).await;
    (
        status,
        serde_json::from_str(&body).expect("the answer is JSON"),
    )
}

/// Sends the crashing request up to 12 times through different nodes; returns the error codes.
async fn resend_crashing(addresses: &[SocketAddr]) -> Vec<String> {
    let mut codes = Vec::new();
    for number in 0..12 {
        let address = addresses[number % addresses.len()];
        let (status, body) = complete_whole(address, "coop-0@1", MARKER).await;
        assert_ne!(
            status, 200,
            "the crashing request cannot be answered: {body}"
        );
        let code = body["error"]["code"].as_str().expect("a typed error");
        codes.push(code.to_owned());
    }
    codes
}

/// Guards against a resent request that takes down one engine after the other, and against the
/// refusal of requests that only happened to run beside it.
#[tokio::test]
async fn a_crashing_request_is_quarantined_and_the_others_are_answered() {
    let fleet = ProcessFleet::start(FleetPlan::new("crashing")).await;
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    for engine in &fleet.engines.addresses {
        fleet
            .control(*engine, &json!({ "crash_marker": MARKER }))
            .await;
    }
    let others = (0..9).map(|number| {
        let address = addresses[number % addresses.len()];
        async move {
            let (adapter, prompt) = (
                format!("coop-{}@1", number % 3),
                format!("label {}", number / 3),
            );
            let (status, body) = complete_whole(address, &adapter, &prompt).await;
            assert_eq!(status, 200, "{body}");
            let text = expected_text(&adapter, &prompt, TOKENS);
            assert_eq!(body["choices"][0]["text"], text);
        }
    });
    // Three callers send the same text, so one crash meets several requests of one content.
    let same = addresses.iter().map(|address| async {
        let (status, body) = complete_whole(*address, "coop-0@1", "the same label").await;
        assert_eq!(status, 200, "{body}");
        let text = expected_text("coop-0@1", "the same label", TOKENS);
        assert_eq!(body["choices"][0]["text"], text);
    });
    let crashing = async {
        fleet
            .wait_for("all others in progress", async |fleet| {
                fleet.engine_counter("completions").await >= 12
            })
            .await;
        resend_crashing(&addresses).await
    };

    let (_, _, codes) = tokio::join!(
        futures_util::future::join_all(others),
        futures_util::future::join_all(same),
        crashing
    );

    let crashes = fleet.engine_counter("crashes").await;
    println!("{crashes} crashes; codes {codes:?}");
    assert!(
        (1..=3).contains(&crashes),
        "{crashes} crashes; codes {codes:?}"
    );
    assert_eq!(
        codes.last().map(String::as_str),
        Some("quarantined"),
        "{codes:?}"
    );
}

/// Guards against further crashes by a resend that comes through another node before the news of
/// the last crash; a streamed request is not run again by the entry, so each crash is a resend.
#[tokio::test]
async fn a_streamed_crashing_request_is_quarantined_across_nodes() {
    let fleet = ProcessFleet::start(FleetPlan::new("crashing-stream")).await;
    let addresses: Vec<_> = fleet.nodes.values().map(|node| node.ports.caller).collect();
    for engine in &fleet.engines.addresses {
        fleet
            .control(*engine, &json!({ "crash_marker": MARKER }))
            .await;
    }

    let mut answers = Vec::new();
    for number in 0..12 {
        let address = addresses[number % addresses.len()];
        answers.push(complete(address, "coop-0@1", MARKER, TOKENS).await);
    }

    let crashes = fleet.engine_counter("crashes").await;
    println!("{crashes} crashes");
    assert!((1..=3).contains(&crashes), "{crashes} crashes: {answers:?}");
    let (status, body) = answers.last().expect("answers came");
    assert!(
        *status != 200 && body.contains("\"quarantined\""),
        "{status} {body}"
    );
}
