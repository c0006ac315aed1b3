//! Tests of the binary: exit codes and the use of standard output and standard error.

use std::process::{Command, Output, Stdio};

use comfreychute::audit::{AuditKind, AuditTrail};
use comfreychute::platform_client::ObjectStore;
use comfreychute_standins::PlatformStandin;
use comfreychute_standins::platform::PlatformSettings;
use tokio::io::{AsyncBufReadExt, BufReader};

/// Runs the binary with arguments separated by spaces.
fn run(arguments: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_comfreychute"))
        .args(arguments.split_whitespace())
        .env_remove("COMFREYCHUTE_PLATFORM_ADDRESS")
        .output()
        .expect("the binary runs")
}

/// Guards against exit codes that differ from the documented ones, on which scripts rely.
#[test]
fn exit_codes_are_the_documented_ones() {
    let example = "--routes examples/lanka/routes.toml --pools examples/lanka/pools.toml";
    // No process listens on the discard port of the loopback address.
    let closed = "--platform 127.0.0.1:9 --timeout 500ms";
    for (arguments, code) in [
        (format!("check {example}"), 0),
        ("check --settings missing.toml".to_owned(), 1),
        ("node --settings missing.toml".to_owned(), 1),
        ("drain upstream".to_owned(), 2),
        (format!("show {closed}"), 3),
        (format!("apply {example} {closed}"), 3),
        ("where --admin 127.0.0.1:9 --timeout 500ms".to_owned(), 3),
        (
            "upstreams --admin 127.0.0.1:9 --timeout 500ms".to_owned(),
            3,
        ),
    ] {
        let output = run(&arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments}: {output:?}");
    }
}

/// Guards against fault messages mixed into the output that a script reads.
#[test]
fn faults_go_to_standard_error_and_json_to_standard_output() {
    let text = run("check --settings missing.toml");
    let json = run("--output json check --settings missing.toml");

    assert!(text.stdout.is_empty() && !text.stderr.is_empty());
    assert!(json.stderr.is_empty());
    let report: serde_json::Value = serde_json::from_slice(&json.stdout).expect("one JSON object");
    assert_eq!(report["faults"][0]["place"], "missing.toml");
}

/// Guards against output other than JSON lines on standard error when a node fails to start.
#[test]
fn a_node_logs_json_lines() {
    let output = run(
        "node --settings examples/lanka/node.toml --set caller.address=192.0.2.1:1 \
                      --set peer.address=192.0.2.1:2 --set admin.address=192.0.2.1:3",
    );

    assert_ne!(output.status.code(), Some(0));
    let log = String::from_utf8(output.stderr).expect("the log is text");
    let events: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"))
        .collect();
    assert!(
        events.iter().any(|line| line["event"] == "start_failed"),
        "{log}"
    );
}

/// Guards against `audit --follow` showing a record twice, never, or only when it exits.
#[tokio::test]
async fn audit_follows_new_records() {
    let standin = PlatformStandin::start(PlatformSettings::default())
        .await
        .expect("the stand-in starts");
    let store = ObjectStore::new(standin.address(), std::time::Duration::from_secs(2));
    let trail = AuditTrail::new(store, "node-1");
    let record = |subject: &str| {
        trail.record(
            AuditKind::OwnerChange,
            subject,
            ("node-2", "node-1"),
            "takeover",
            3,
        );
    };
    record("engine-1");
    trail.flush_all(3).await;
    let mut child = tokio::process::Command::new(env!("CARGO_BIN_EXE_comfreychute"))
        .args([
            "audit",
            "--follow",
            "--hours",
            "2",
            "--output",
            "json",
            "--platform",
        ])
        .arg(standin.address().to_string())
        .stdout(Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("the binary runs");
    let mut lines = BufReader::new(child.stdout.take().expect("the output is piped")).lines();

    let first = lines.next_line().await.expect("readable").expect("a line");
    record("engine-2");
    trail.flush_all(3).await;
    let second = lines.next_line().await.expect("readable").expect("a line");

    assert!(first.contains("engine-1"), "{first}");
    assert!(second.contains("engine-2"), "{second}");
    child.kill().await.expect("the child can be ended");
}
