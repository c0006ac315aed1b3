//! Tests of the command line: exit codes, reports and help.

mod table_fixtures;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{CommandFactory, Parser};
use comfreychute::audit::{AuditKind, AuditReader};
use comfreychute::command::{CommandExit, CommandLine, CommandReport, NodeState, UpstreamLoad};
use comfreychute::config::StoredTables;
use comfreychute::platform_client::{ListedInstance, ObjectStore};
use comfreychute::table::{TableSet, UpstreamState};
use comfreychute_standins::PlatformStandin;
use comfreychute_standins::platform::{OutageMode, PlatformSettings};
use table_fixtures::{POOLS, ROUTES, table_files, table_set};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn run(arguments: &[&str]) -> CommandReport {
    let line = CommandLine::try_parse_from([&["comfreychute"], arguments].concat())
        .expect("the arguments are valid");
    line.run().await
}

async fn platform() -> (PlatformStandin, String) {
    let standin = PlatformStandin::start(PlatformSettings::default())
        .await
        .expect("the stand-in starts");
    let address = standin.address().to_string();
    (standin, address)
}

async fn stored(standin: &PlatformStandin) -> TableSet {
    let store = ObjectStore::new(standin.address(), Duration::from_secs(2));
    StoredTables::read(&store)
        .await
        .expect("the platform answers")
        .tables
}

/// Writes both files into a directory of the test and returns their paths.
fn table_paths(test: &str, routes: &str, pools: &str) -> (String, String) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).expect("the target directory is writable");
    let (routes_path, pools_path) = (directory.join("routes.toml"), directory.join("pools.toml"));
    std::fs::write(&routes_path, routes).expect("the target directory is writable");
    std::fs::write(&pools_path, pools).expect("the target directory is writable");
    (
        routes_path.display().to_string(),
        pools_path.display().to_string(),
    )
}

async fn apply(platform: &str, (routes, pools): &(String, String), more: &[&str]) -> CommandReport {
    let arguments = [
        "apply",
        "--platform",
        platform,
        "--routes",
        routes,
        "--pools",
        pools,
        "--author",
        "ruwan",
    ];
    run(&[&arguments, more].concat()).await
}

fn node_state(instance: &str, revision: u64, owner: &str, running: u32) -> NodeState {
    NodeState {
        instance: instance.to_owned(),
        domain: "north".to_owned(),
        incarnation: 9,
        revision,
        is_ready: true,
        is_draining: false,
        upstreams: vec![UpstreamLoad {
            name: "engine-1".to_owned(),
            pool: "engines".to_owned(),
            owner: Some(owner.to_owned()),
            epoch: "0000000100000002".to_owned(),
            is_healthy: true,
            running,
            queued: BTreeMap::from([("batch".to_owned(), 3)]),
            resident: vec!["menu@1".to_owned(), "tide@2".to_owned()],
        }],
        peers: Vec::new(),
    }
}

/// Serves the state of a node to at most eight requests, which must carry the token.
async fn admin_port(state: &NodeState, token: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let body = serde_json::to_string(state).expect("the state has a JSON form");
    let expected_header = format!("authorization: bearer {token}");
    tokio::spawn(async move {
        for _ in 0..8 {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let mut request = Vec::new();
            while !request.windows(4).any(|end| end == b"\r\n\r\n") {
                let mut buffer = [0; 1_024];
                match stream.read(&mut buffer).await {
                    Ok(length) if length > 0 => request.extend_from_slice(&buffer[..length]),
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&request).to_lowercase();
            let (status, body) = if !has_token(&head, &expected_header) {
                ("401 Unauthorized", "{}")
            } else if head.starts_with("get /state ") {
                ("200 OK", body.as_str())
            } else {
                ("404 Not Found", "{}")
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    });
    address
}

fn has_token(head: &str, expected_header: &str) -> bool {
    head.lines().any(|line| line == expected_header)
}

/// Writes a token file for one test; tests run in parallel, so each has its own files.
fn token_file(test: &str, token: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("token-{test}-{token}"));
    std::fs::write(&path, format!("{token}\n")).expect("the target directory is writable");
    path.display().to_string()
}

/// Guards against unnoticed changes of the help, which the operations page quotes.
#[test]
fn help_of_every_subcommand() {
    let mut help = String::new();
    let mut command = CommandLine::command().term_width(100);
    command.build();
    help.push_str(&command.render_long_help().to_string());
    for subcommand in command.get_subcommands_mut() {
        if subcommand.get_name() != "help" {
            help.push_str("\n==== ");
            help.push_str(subcommand.get_name());
            help.push('\n');
            help.push_str(&subcommand.render_long_help().to_string());
        }
    }

    insta::assert_snapshot!(help);
}

/// Guards against a subcommand whose help has no example.
#[test]
fn every_subcommand_has_an_example() {
    let mut command = CommandLine::command();
    command.build();
    for subcommand in command.get_subcommands_mut() {
        let name = subcommand.get_name().to_owned();
        let help = match subcommand.find_subcommand_mut("upstream") {
            Some(target) => target.render_help(),
            None => subcommand.render_help(),
        };
        let has_example = help
            .to_string()
            .contains(&format!("  comfreychute {name} "));
        assert!(name == "help" || has_example, "{name}");
    }
}

/// Guards against an undocumented exit code for an invalid command line.
#[test]
fn an_invalid_command_line_is_a_usage_error() {
    for arguments in [
        vec!["comfreychute", "chek"],
        vec!["comfreychute", "check"],
        vec!["comfreychute", "check", "--routes", "routes.toml"],
        vec!["comfreychute", "apply", "--platform", "somewhere"],
        vec![
            "comfreychute",
            "audit",
            "--platform",
            "127.0.0.1:1",
            "--hours",
            "0",
        ],
    ] {
        let error = CommandLine::try_parse_from(&arguments).expect_err("the arguments are wrong");
        assert_eq!(
            error.exit_code(),
            i32::from(CommandExit::Usage.code()),
            "{arguments:?}"
        );
    }
}

/// Guards against a check that accepts faults or stops at the first file with faults.
#[tokio::test]
async fn check_names_the_faults_of_all_files() {
    let pools = POOLS.replace("store = \"weights\"", "store = \"bank\"");
    let (routes, pools) = table_paths("check", ROUTES, &pools);

    let report = run(&[
        "check",
        "--routes",
        &routes,
        "--pools",
        &pools,
        "--settings",
        "missing.toml",
    ])
    .await;

    assert_eq!(report.exit, CommandExit::Refused);
    let text = report.text.replace(&pools, "pools.toml");
    insta::assert_snapshot!(text);
    assert_eq!(report.json["faults"].as_array().map(Vec::len), Some(2));
}

/// Guards against shipped examples that the command refuses.
#[tokio::test]
async fn check_accepts_the_examples() {
    for place in ["lanka", "brannock"] {
        let path = |name: &str| format!("examples/{place}/{name}.toml");
        let report = run(&[
            "check",
            "--routes",
            &path("routes"),
            "--pools",
            &path("pools"),
            "--settings",
            &path("node"),
        ])
        .await;
        assert_eq!(report.exit, CommandExit::Done, "{}", report.text);
    }
}

/// Guards against tables that change in a round trip through show and apply.
#[tokio::test]
async fn shown_tables_are_the_applied_ones() {
    let (standin, address) = platform().await;
    let paths = table_paths("shown", ROUTES, POOLS);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("shown-again");
    let directory = directory.display().to_string();

    let applied = apply(&address, &paths, &[]).await;
    let shown = run(&["show", "--platform", &address, "--directory", &directory]).await;
    let again = (
        format!("{directory}/routes.toml"),
        format!("{directory}/pools.toml"),
    );
    let diff = run(&[
        "diff",
        "--platform",
        &address,
        "--routes",
        &again.0,
        "--pools",
        &again.1,
    ])
    .await;
    let reapplied = apply(&address, &again, &[]).await;

    assert_eq!(applied.exit, CommandExit::Done, "{}", applied.text);
    assert_eq!(applied.json["revision"], 1);
    assert_eq!(shown.exit, CommandExit::Done, "{}", shown.text);
    assert_eq!(diff.text, "the files are the same as revision 1");
    assert_eq!(reapplied.json["outcome"], "unchanged");
    assert_eq!(stored(&standin).await.routes, table_set(1).routes);
    assert_eq!(stored(&standin).await.author, "ruwan");
}

/// Guards against an apply that reverts an edit accepted after its files were read.
#[tokio::test]
async fn apply_of_older_files_is_a_conflict() {
    let (standin, address) = platform().await;
    let first = table_paths("conflict-first", ROUTES, POOLS);
    apply(&address, &first, &[]).await;
    let older = table_paths(
        "conflict-older",
        &format!(
            "# comfreychute revision 1\n{}",
            ROUTES.replace("*@1", "*@3")
        ),
        &format!("# comfreychute revision 1\n{POOLS}"),
    );
    let newer = table_paths(
        "conflict-newer",
        &format!("# comfreychute revision 1\n{ROUTES}"),
        &format!(
            "# comfreychute revision 1\n{}",
            POOLS.replace("batch = 0.1", "batch = 0.3")
        ),
    );

    let accepted = apply(&address, &newer, &[]).await;
    let conflict = apply(&address, &older, &[]).await;
    let forced = apply(&address, &older, &["--base", "2"]).await;

    assert_eq!(accepted.exit, CommandExit::Done, "{}", accepted.text);
    assert_eq!(conflict.exit, CommandExit::Conflict);
    let edited_at = conflict.text.find('(').zip(conflict.text.find(')'));
    let (start, end) = edited_at.expect("the time of the accepted edit");
    insta::assert_snapshot!(conflict.text.replace(&conflict.text[start..=end], "(TIME)"));
    assert_eq!(forced.json["revision"], 3);
    assert_eq!(stored(&standin).await.revision, 3);
    let header = std::fs::read_to_string(&older.0).expect("the file exists");
    assert!(
        header.starts_with("# comfreychute revision 3\n"),
        "{header}"
    );
}

/// Guards against a dry run that changes the accepted tables.
#[tokio::test]
async fn a_dry_run_changes_nothing() {
    let (standin, address) = platform().await;
    let paths = table_paths("dry-run", ROUTES, POOLS);

    let report = apply(&address, &paths, &["--dry-run"]).await;

    assert_eq!(report.exit, CommandExit::Done);
    assert!(report.text.contains("+ route.menu"), "{}", report.text);
    assert_eq!(stored(&standin).await.revision, 0);
    assert_eq!(standin.counters().writes, 0);
}

/// Guards against writing faulty tables to the platform.
#[tokio::test]
async fn apply_of_faulty_files_is_refused() {
    let (standin, address) = platform().await;
    let pools = POOLS.replace("10.0.0.2:8000", "10.0.0.1:8000");
    let paths = table_paths("faulty", ROUTES, &pools);

    let report = apply(&address, &paths, &[]).await;

    assert_eq!(report.exit, CommandExit::Refused);
    assert!(
        report.text.contains("pools.toml:21: upstream.engine-2"),
        "{}",
        report.text
    );
    assert_eq!(standin.counters().writes, 0);
}

/// Guards against reporting an outage of the platform as a fault in the files or as a success.
#[tokio::test]
async fn an_outage_is_reported_as_unreachable() {
    let (standin, address) = platform().await;
    let paths = table_paths("outage", ROUTES, POOLS);
    standin.change(|settings| settings.outage = OutageMode::Refuse);

    let applied = apply(&address, &paths, &[]).await;
    let shown = run(&["show", "--platform", &address]).await;
    let audit = run(&["audit", "--platform", &address]).await;
    let drained = run(&["drain", "upstream", "engine-1", "--platform", &address]).await;

    for report in [&applied, &shown, &audit, &drained] {
        assert_eq!(report.exit, CommandExit::Unreachable, "{}", report.text);
    }
    assert!(
        applied.text.contains("nothing was changed"),
        "{}",
        applied.text
    );
}

/// Guards against a drain that removes the upstream, drains a different one or writes no audit
/// record.
#[tokio::test]
async fn drain_marks_one_upstream_and_writes_an_audit_record() {
    let (standin, address) = platform().await;
    apply(&address, &table_paths("drain", ROUTES, POOLS), &[]).await;
    let drain = [
        "drain",
        "upstream",
        "engine-1",
        "--platform",
        &address,
        "--author",
        "una",
    ];

    let drained = run(&drain).await;
    let again = run(&drain).await;
    let missing = run(&["drain", "upstream", "engine-9", "--platform", &address]).await;

    assert_eq!(drained.json["revision"], 2, "{}", drained.text);
    assert_eq!(again.json["outcome"], "unchanged");
    assert_eq!(missing.exit, CommandExit::Refused);
    let states: Vec<UpstreamState> = stored(&standin)
        .await
        .pools
        .upstreams()
        .map(|(_, upstream)| upstream.state)
        .collect();
    let expected = [
        UpstreamState::Draining,
        UpstreamState::Active,
        UpstreamState::Active,
    ];
    assert_eq!(states, expected);
    let audit = run(&["audit", "--platform", &address, "--hours", "2"]).await;
    let kinds: Vec<&str> = audit.json["records"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|record| record["kind"].as_str())
        .collect();
    assert_eq!(kinds, [AuditKind::Edit.as_str(), AuditKind::Drain.as_str()]);
    assert!(audit.text.contains("drain engine-1 una"), "{}", audit.text);
}

/// Guards against an undo that does not restore the upstream to service.
#[tokio::test]
async fn a_drain_can_be_undone() {
    let (standin, address) = platform().await;
    apply(&address, &table_paths("undo", ROUTES, POOLS), &[]).await;
    let drain = ["drain", "upstream", "engine-1", "--platform", &address];
    run(&drain).await;

    let undone = run(&[&drain[..], &["--undo"]].concat()).await;

    assert_eq!(undone.exit, CommandExit::Done, "{}", undone.text);
    assert_eq!(stored(&standin).await.pools, table_set(1).pools);
}

/// Guards against lost updates when two drains run concurrently.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_drains_all_take_effect() {
    let (standin, address) = platform().await;
    apply(&address, &table_paths("drains", ROUTES, POOLS), &[]).await;
    let drains = ["engine-1", "engine-2", "plate-1"].map(|name| {
        let address = address.clone();
        tokio::spawn(async move {
            run(&["drain", "upstream", name, "--platform", &address])
                .await
                .exit
        })
    });

    for drain in drains {
        assert_eq!(drain.await.expect("the command ends"), CommandExit::Done);
    }

    let tables = stored(&standin).await;
    assert_eq!(tables.revision, 4);
    let is_draining = |state: UpstreamState| state == UpstreamState::Draining;
    assert!(
        tables
            .pools
            .upstreams()
            .all(|(_, upstream)| is_draining(upstream.state))
    );
    let store = ObjectStore::new(standin.address(), Duration::from_secs(2));
    let hour = tables.edited_at_ms / 3_600_000;
    let reader = AuditReader::new(store);
    let records = reader.read_hour(hour).await.expect("the platform answers");
    assert!(!records.is_empty());
}

/// Guards against instances missing from the list and against wrong revisions.
#[tokio::test]
async fn where_shows_each_instance_and_those_that_do_not_answer() {
    let (standin, address) = platform().await;
    let up = admin_port(&node_state("node-1", 7, "node-1", 2), "tide").await;
    let closed = TcpListener::bind("127.0.0.1:0")
        .await
        .and_then(|listener| listener.local_addr())
        .expect("a port is free");
    standin.set_instances(vec![ListedInstance {
        id: comfreychute::id::InstanceId::from_name("node-1"),
        domain: comfreychute::id::DomainId::from_name("north"),
        peer_address: SocketAddr::new(up.ip(), 1),
        is_leaving: false,
    }]);
    let (token, port) = (token_file("where", "tide"), up.port().to_string());
    let both = format!("{up},{closed}");

    let listed = run(&[
        "where",
        "--platform",
        &address,
        "--admin-port",
        &port,
        "--token-file",
        &token,
    ])
    .await;
    let given = run(&["where", "--admin", &both, "--token-file", &token]).await;
    let refused = run(&[
        "where",
        "--admin",
        &up.to_string(),
        "--token-file",
        &token_file("where", "wrong"),
    ])
    .await;

    assert_eq!(listed.exit, CommandExit::Done, "{}", listed.text);
    assert_eq!(listed.json["instances"][0]["revision"], 7);
    assert_eq!(given.exit, CommandExit::Unreachable);
    assert_eq!(given.json["instances"].as_array().map(Vec::len), Some(2));
    assert_eq!(refused.exit, CommandExit::Refused);
    assert!(refused.text.contains("--token-file"), "{}", refused.text);
}

/// Guards against showing the state of an upstream as seen by a node that does not own it, when the
/// owner's state is available.
#[tokio::test]
async fn upstreams_shows_the_view_of_the_owner() {
    let other = admin_port(&node_state("node-1", 7, "node-2", 0), "tide").await;
    let owner = admin_port(&node_state("node-2", 7, "node-2", 5), "tide").await;
    let both = format!("{other},{owner}");
    let token = token_file("upstreams", "tide");

    let report = run(&["upstreams", "--admin", &both, "--token-file", &token]).await;

    assert_eq!(report.exit, CommandExit::Done, "{}", report.text);
    insta::assert_snapshot!(report.text);
    assert_eq!(report.json["upstreams"][0]["running"], 5);
}

/// Guards against a node that starts despite faulty settings.
#[tokio::test]
async fn a_node_with_faulty_settings_does_not_start() {
    let report = run(&["node", "--settings", "missing.toml"]).await;

    assert_eq!(report.exit, CommandExit::Refused);
    assert!(
        report.text.starts_with("missing.toml: settings:"),
        "{}",
        report.text
    );
}

/// Guards against differences between the fixtures in code and the files that the commands read.
#[test]
fn the_fixture_files_are_the_fixture_tables() {
    let (tables, _) = table_files(ROUTES, POOLS).parse().expect("valid");

    assert_eq!(tables.pools, table_set(1).pools);
}
