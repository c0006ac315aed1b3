use std::collections::BTreeMap;
use std::path::Path;

use http::Method;
use http_body_util::BodyExt;

use crate::fixture::{
    LIMIT, NodePorts, OwnedProcess, command, fetch, free_ports, node, send, standin,
    wait_for_state, write_tables,
};

const COMPLETION: &str =
    r#"{"model":"label/coop-7@1","prompt":"check label 12","stream":true,"max_tokens":40}"#;

/// Headers, body, and the status and code that are expected.
type BadCase<'a> = (&'a [(&'a str, &'a str)], &'a str, u16, &'a str);

/// Platform, two engines, a plain service and three nodes in two failure domains.
struct Fleet {
    nodes: Vec<(OwnedProcess, NodePorts)>,
    platform: OwnedProcess,
    _engines: OwnedProcess,
    desk: OwnedProcess,
    directory: std::path::PathBuf,
    addresses: BTreeMap<&'static str, std::net::SocketAddr>,
}

async fn fleet(test: &str) -> Fleet {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("a directory for the test");
    let platform = standin("comfreychute-platform", &[]);
    let engines = standin(
        "comfreychute-engine",
        &[
            "--count",
            "2",
            "--token-interval",
            "20ms",
            "--checks-fencing",
        ],
    );
    let desk = standin("comfreychute-plain", &[]);
    let addresses = BTreeMap::from([
        ("engine-1", engines.addresses[0]),
        ("engine-2", engines.addresses[1]),
        ("desk-1", desk.addresses[0]),
    ]);
    let names = [
        ("node-1", "north"),
        ("node-2", "north"),
        ("node-3", "south"),
    ];
    let ports: Vec<NodePorts> = names.iter().map(|_| free_ports()).collect();
    let list: Vec<_> = names
        .iter()
        .zip(&ports)
        .map(|((id, domain), ports)| serde_json::json!({ "id": id, "domain": domain, "peer_address": ports.peer }))
        .collect();
    let list = serde_json::Value::from(list).to_string();
    let (status, _) = fetch(
        Method::PUT,
        platform.addresses[0],
        "/control/instances",
        &[],
        &list,
    )
    .await;
    assert_eq!(status, 204, "the platform takes the list");
    let fleet = Fleet {
        nodes: names
            .iter()
            .zip(&ports)
            .map(|((name, domain), ports)| {
                (
                    node(name, domain, *ports, platform.addresses[0], &directory),
                    *ports,
                )
            })
            .collect(),
        platform,
        _engines: engines,
        desk,
        directory,
        addresses,
    };
    apply(&fleet, "\"coop-*@1\"");
    for (_, ports) in &fleet.nodes {
        wait_for_state(ports.admin, "all upstreams healthy", |state| {
            let upstreams = state["upstreams"].as_array();
            upstreams.is_some_and(|upstreams| {
                !upstreams.is_empty()
                    && upstreams
                        .iter()
                        .all(|upstream| upstream["is_healthy"] == true)
            })
        })
        .await;
    }
    fleet
}

fn apply(fleet: &Fleet, adapters: &str) {
    let (routes, pools) = write_tables(&fleet.directory, &fleet.addresses, adapters);
    let platform = fleet.platform.addresses[0].to_string();
    let (is_ok, text) = command(&[
        "apply",
        "--routes",
        &routes,
        "--pools",
        &pools,
        "--platform",
        &platform,
        "--author",
        "test",
    ]);
    assert!(is_ok, "the edit is accepted: {text}");
}

/// Guards against a break anywhere on the path: routing, forwarding, loading, dispatch, relay.
#[tokio::test]
async fn a_completion_sent_to_any_node_is_streamed_from_the_adapter_that_it_names() {
    let fleet = fleet("completion").await;

    for (_, ports) in &fleet.nodes {
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

    apply(&fleet, "\"coop-*@2\"");

    for (_, ports) in &fleet.nodes {
        wait_for_state(ports.admin, "revision 2", |state| state["revision"] == 2).await;
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

    for (_, ports) in &fleet.nodes {
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
    let address = fleet.nodes[0].1.caller;
    let mut answer = send(Method::POST, address, "/v1/completions", &[], &body).await;
    let first = tokio::time::timeout(LIMIT, answer.body_mut().frame())
        .await
        .expect("a first part in time");
    assert!(
        first.is_some_and(|frame| frame.is_ok()),
        "the stream has begun"
    );

    for (process, _) in &fleet.nodes {
        process.signal("TERM");
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
    for (process, _) in &mut fleet.nodes {
        assert!(process.wait().success(), "a graceful stop exits with 0");
    }
}

/// Guards against bad input that reaches an upstream or is answered without a typed refusal.
#[tokio::test]
async fn bad_input_is_refused_as_not_run() {
    let fleet = fleet("input").await;
    let address = fleet.nodes[0].1.caller;
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
