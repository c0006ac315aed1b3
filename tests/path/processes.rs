use http::Method;
use http_body_util::BodyExt;

use crate::fixture::{LIMIT, fetch, send};
use crate::process_fleet::{FleetPlan, ProcessFleet};

const COMPLETION: &str =
    r#"{"model":"label/coop-7@1","prompt":"check label 12","stream":true,"max_tokens":40}"#;

/// Headers, body, and the status and code that are expected.
type BadCase<'a> = (&'a [(&'a str, &'a str)], &'a str, u16, &'a str);

async fn fleet(test: &'static str) -> ProcessFleet {
    ProcessFleet::start(FleetPlan::new(test)).await
}

/// Guards against a stopped stand-in that is killed by the SIGHUP of an orphaned process group when
/// the shell that started the tests ends.
#[tokio::test]
async fn each_process_leads_a_process_group_of_its_own() {
    let fleet = fleet("process-groups").await;

    let standins = [&fleet.platform, &fleet.engines, &fleet.desk];
    let nodes = fleet.nodes.values().map(|node| &node.process);
    for process in standins.into_iter().chain(nodes) {
        assert_eq!(process.group_id(), process.id());
    }
}

/// Guards against a break anywhere on the path: routing, forwarding, loading, dispatch, relay.
#[tokio::test]
async fn a_completion_sent_to_any_node_is_streamed_from_the_adapter_that_it_names() {
    let fleet = fleet("completion").await;

    for node in fleet.nodes.values() {
        let ports = node.ports;
        let (status, body) = fetch(
            Method::POST,
            ports.caller,
            "/v1/completions",
            &[("x-rank", "urgent")],
            COMPLETION,
        )
        .await;

        assert_eq!(status, 200, "{body}");
        assert_eq!(body.matches("\"finish_reason\":null").count(), 40, "{body}");
        assert!(body.trim_end().ends_with("data: [DONE]"), "{body}");
        assert!(
            body.lines()
                .filter(|line| line.contains("choices"))
                .all(|line| line.contains("label/coop-7@1"))
        );
    }
}

/// Guards against an edit that some node never learns, and against answers by the former version.
#[tokio::test]
async fn an_applied_edit_is_in_force_on_every_node() {
    let fleet = fleet("edit").await;

    fleet.apply(
        |routes| routes.replace("coop-*@1", "coop-*@2"),
        |pools| pools,
    );
    fleet.wait_for_revision(2).await;

    for node in fleet.nodes.values() {
        let ports = node.ports;
        let body = COMPLETION.replace("coop-7@1", "coop-7");
        let (status, body) = fetch(Method::POST, ports.caller, "/v1/completions", &[], &body).await;
        assert_eq!(status, 200, "{body}");
        assert!(body.contains("label/coop-7@2"), "{body}");
    }
}

/// Guards against a second run of an order that its caller sends again through another node.
#[tokio::test]
async fn an_order_resent_through_every_node_runs_once() {
    let fleet = fleet("order").await;
    let headers = [("idempotency-key", "order-1"), ("x-caller", "press-4")];

    for node in fleet.nodes.values() {
        let ports = node.ports;
        let (status, body) = fetch(
            Method::POST,
            ports.caller,
            "/orders",
            &headers,
            r#"{"plate":12}"#,
        )
        .await;
        assert_eq!((status, body.as_str()), (200, r#"{"plate":12}"#));
    }

    let (_, journal) = fetch(
        Method::GET,
        fleet.desk.addresses[0],
        "/control/journal",
        &[],
        "",
    )
    .await;
    let journal: serde_json::Value = serde_json::from_str(&journal).expect("the journal is JSON");
    assert_eq!(journal.as_array().map(Vec::len), Some(1), "{journal}");
}

/// Guards against a shutdown that cuts a stream, and against an exit with a failure status.
#[tokio::test]
async fn a_graceful_stop_during_a_stream_cuts_nothing() {
    let mut fleet = fleet("stop").await;
    let body = COMPLETION.replace("40", "150");
    let address = fleet.nodes["node-1"].ports.caller;
    let mut answer = send(Method::POST, address, "/v1/completions", &[], &body).await;
    let first = tokio::time::timeout(LIMIT, answer.body_mut().frame())
        .await
        .expect("a first part in time");
    assert!(
        first.is_some_and(|frame| frame.is_ok()),
        "the stream has begun"
    );

    for node in fleet.nodes.values() {
        node.process.signal("TERM");
    }

    let rest = tokio::time::timeout(LIMIT, answer.into_body().collect())
        .await
        .expect("the rest in time");
    let rest = rest.expect("the stream is whole").to_bytes();
    assert!(
        String::from_utf8_lossy(&rest)
            .trim_end()
            .ends_with("data: [DONE]")
    );
    for node in fleet.nodes.values_mut() {
        assert!(
            node.process.wait().success(),
            "a graceful stop exits with 0"
        );
    }
}

/// Guards against bad input that reaches an upstream or is answered without a typed refusal.
#[tokio::test]
async fn bad_input_is_refused_as_not_run() {
    let fleet = fleet("input").await;
    let address = fleet.nodes["node-1"].ports.caller;
    let large = format!(
        r#"{{"model":"label/coop-7@1","prompt":"{}"}}"#,
        "x".repeat(2 << 20)
    );
    let cases: [BadCase; 6] = [
        (
            &[],
            r#"{"model":"label/other@1","prompt":"x"}"#,
            404,
            "not_found",
        ),
        (
            &[],
            r#"{"model":"label/coop-7@9","prompt":"x"}"#,
            404,
            "not_found",
        ),
        (&[], "{", 400, "bad_request"),
        (&[], &large, 413, "body_too_large"),
        (&[("x-rank", "hasty")], COMPLETION, 400, "bad_request"),
        (&[("x-deadline-ms", "soon")], COMPLETION, 400, "bad_request"),
    ];

    for (headers, body, expected, code) in cases {
        let (status, answer) = fetch(Method::POST, address, "/v1/completions", headers, body).await;

        assert_eq!(status, expected, "{answer}");
        let answer: serde_json::Value = serde_json::from_str(&answer).expect("a refusal is JSON");
        assert_eq!(answer["error"]["code"], code);
        assert_eq!(answer["error"]["run_state"], "not_run");
    }
    let (status, answer) = fetch(Method::POST, address, "/orders", &[], "{}").await;
    assert_eq!(status, 400, "{answer}");
    let (_, journal) = fetch(
        Method::GET,
        fleet.desk.addresses[0],
        "/control/journal",
        &[],
        "",
    )
    .await;
    assert_eq!(journal.trim(), "[]", "no order reached the service");
}
