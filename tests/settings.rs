//! Settings: sources, value types, faults and secrets.

use std::path::PathBuf;
use std::time::Duration;

use comfreychute::error::{InputFault, InputPlace};
use comfreychute::settings::{LogLevel, NodeSettings, SettingSources};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MINIMAL: &str = r#"[instance]
name = "node-1"
domain = "north"

[caller]
address = "10.0.0.1:8080"

[peer]
address = "10.0.0.1:7100"

[admin]
address = "127.0.0.1:9090"

[platform]
address = "10.0.0.9:7000"
"#;

fn sources(text: &str) -> SettingSources {
    SettingSources {
        file: Some(("node.toml".to_owned(), text.to_owned())),
        ..SettingSources::default()
    }
}

fn variables(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs
        .iter()
        .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
        .collect()
}

fn lines(faults: &[InputFault]) -> String {
    let lines: Vec<String> = faults.iter().map(InputFault::to_string).collect();
    lines.join("\n")
}

fn secret_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the target directory should be writable");
    path
}

/// Guards against defaults that differ from those documented in docs/OPERATIONS.md.
#[test]
fn a_minimal_file_leaves_the_documented_defaults() {
    let settings = NodeSettings::from_sources(&sources(MINIMAL)).expect("the file is valid");

    assert_eq!(settings.instance.name.as_str(), "node-1");
    assert_eq!(settings.peer.heartbeat_interval, Duration::from_millis(500));
    assert_eq!(settings.peer.link_timeout, Duration::from_secs(2));
    assert_eq!(settings.peer.peer_timeout, Duration::from_secs(3));
    assert_eq!(settings.peer.lease, Duration::from_secs(3));
    assert_eq!(settings.platform.watch_relays, 2);
    assert_eq!(settings.limits.max_body, 1 << 20);
    assert_eq!(settings.telemetry.log_level, LogLevel::Info);
    assert!(settings.caller.tls_files().is_none());
}

/// Guards against a wrong precedence of the sources.
#[test]
fn flags_override_variables_and_variables_override_the_file() {
    let mut given = sources(MINIMAL);
    given.variables = variables(&[
        ("COMFREYCHUTE_INSTANCE_NAME", "from-variable"),
        ("COMFREYCHUTE_INSTANCE_DOMAIN", "south"),
        ("COMFREYCHUTE_SETTINGS", "node.toml"),
        ("PATH", "/bin"),
    ]);
    given.flags = vec!["instance.name=from-flag".to_owned()];

    let settings = NodeSettings::from_sources(&given).expect("the settings are valid");

    assert_eq!(settings.instance.name.as_str(), "from-flag");
    assert_eq!(settings.instance.domain.as_str(), "south");
}

/// Guards against environment variables that cannot set numbers, sizes and lists, since their
/// values are always text.
#[test]
fn variables_give_numbers_sizes_and_lists() {
    let mut given = sources(MINIMAL);
    given.variables = variables(&[
        ("COMFREYCHUTE_LIMITS_MAX_OPEN_CALLS", "12"),
        ("COMFREYCHUTE_LIMITS_MAX_BODY", "64KiB"),
        (
            "COMFREYCHUTE_PEER_SEEDS",
            "node-2/north/10.0.0.2:7100, node-3/south/10.0.0.3:7100",
        ),
        ("COMFREYCHUTE_INSTANCE_REGION", "12"),
    ]);

    let settings = NodeSettings::from_sources(&given).expect("the settings are valid");

    assert_eq!(settings.limits.max_open_calls, 12);
    assert_eq!(settings.limits.max_body, 64 << 10);
    assert_eq!(settings.peer.seeds.len(), 2);
    assert_eq!(
        settings.peer.seeds[1].to_string(),
        "node-3/south/10.0.0.3:7100"
    );
    assert_eq!(settings.instance.region, "12");
}

/// Guards against a check that stops at the first fault or reports a fault without its place.
#[test]
fn all_faults_are_reported_at_once_with_place_and_remedy() {
    let mut given = sources(
        r#"stray = 1
[instance]
name = "node 1"
colour = "red"

[caller]
address = "10.0.0.1:7100"
tls_key_file = "missing.pem"

[peer]
address = "10.0.0.1:7100"
heartbeat_interval = "2"
link_timeout = "400ms"
lease = "9s"
seeds = ["node-2"]

[limits]
max_body = "64MiB"
max_open_calls = 0

[colour]
red = 1
"#,
    );
    given.variables = variables(&[("COMFREYCHUTE_PLATFORM_TIMEOUT", "soon")]);
    given.flags = vec![
        "telemetry".to_owned(),
        "telemetry.log_level=loud".to_owned(),
    ];

    let faults = NodeSettings::from_sources(&given).expect_err("the settings have faults");

    insta::assert_snapshot!(lines(&faults));
}

/// Guards against syntax errors that are reported without their line.
#[test]
fn a_syntax_error_names_its_line() {
    let text = format!("{MINIMAL}\n[limits\nmax_body = \"1MiB\"\n");

    let faults = NodeSettings::from_sources(&sources(&text)).expect_err("the syntax is wrong");

    assert!(faults.iter().any(|fault| fault.place
        == InputPlace::Line {
            file: "node.toml".to_owned(),
            line: 17,
        }));
}

/// Guards against secrets in logs through the `Debug` output of the settings.
#[test]
fn secrets_come_from_files_and_stay_out_of_debug_output() {
    let path = secret_file("peer-secret", "tide-table\n");
    let text = MINIMAL
        .replace("[admin]", &format!("secret_file = {path:?}\n\n[admin]"))
        .replace("[platform]", "token = \"lighthouse\"\n\n[platform]");

    let settings = NodeSettings::from_sources(&sources(&text)).expect("the settings are valid");

    let secret = settings
        .peer
        .secret
        .as_ref()
        .expect("the file has a secret");
    assert_eq!(secret.as_str(), "tide-table");
    let debug = format!("{settings:?}");
    assert!(
        !debug.contains("tide-table") && !debug.contains("lighthouse"),
        "{debug}"
    );
}

/// Guards against secrets in fault messages, which quote the values of other settings.
#[test]
fn faults_do_not_quote_secrets() {
    let mut given = sources(&MINIMAL.replace("[admin]", "secret = 77007700\n\n[admin]"));
    given.variables = variables(&[("COMFREYCHUTE_ADMIN_SECRET", "hush-1")]);
    given.flags = vec![
        "peer.token=hush-2".to_owned(),
        "admin.token.x=hush-3".to_owned(),
    ];

    let faults = NodeSettings::from_sources(&given).expect_err("the settings have faults");

    let text = lines(&faults);
    assert_eq!(faults.len(), 4, "{text}");
    assert!(!text.contains("7700") && !text.contains("hush"), "{text}");
}

/// Guards against a stack overflow of the TOML parser.
#[test]
fn deeply_nested_input_is_a_fault() {
    for opening in ["[", "{a=", "[{a="] {
        let text = format!("{MINIMAL}\n[limits]\nmax_body = {}", opening.repeat(50_000));

        let faults = NodeSettings::from_sources(&sources(&text)).expect_err("the syntax is wrong");

        assert!(!faults.is_empty());
    }
}

/// Guards against a node that runs without authentication because its secret file is empty, or with
/// an ambiguous secret because it is set twice.
#[test]
fn an_unusable_secret_is_a_fault() {
    let path = secret_file("empty-secret", "\n");
    let empty = MINIMAL.replace("[admin]", &format!("secret_file = {path:?}\n\n[admin]"));
    let twice = empty.replace("secret_file", "secret = \"a\"\nsecret_file");

    for text in [empty, twice] {
        let faults = NodeSettings::from_sources(&sources(&text)).expect_err("the secret is bad");
        assert_eq!(faults[0].subject, "peer.secret_file", "{}", lines(&faults));
    }
}

/// Guards against example files that no longer match the settings.
#[test]
fn the_examples_are_valid() {
    for path in ["examples/lanka/node.toml", "examples/brannock/node.toml"] {
        let text = std::fs::read_to_string(path).expect("the example exists");
        let settings = NodeSettings::from_sources(&sources(&text));
        assert!(settings.is_ok(), "{path}: {settings:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics on arbitrary bytes, variables and flags.
    #[test]
    fn arbitrary_input_never_panics(
        bytes in proptest::collection::vec(any::<u8>(), 0..300),
        name in "[A-Z_]{0,20}",
        value in any::<String>(),
        flag in any::<String>(),
    ) {
        let given = SettingSources {
            file: Some(("x".to_owned(), String::from_utf8_lossy(&bytes).into_owned())),
            variables: vec![(format!("COMFREYCHUTE_{name}"), value)],
            flags: vec![flag],
        };

        let settings = NodeSettings::from_sources(&given);

        prop_assert!(settings.is_err());
    }

    /// Guards against panics on settings files with a damaged section.
    #[test]
    fn damaged_settings_never_panic(
        start in 0..MINIMAL.len(),
        length in 0_usize..20,
        patch in "[\\[\\]a-z0-9=\"'.#\n ]{0,12}",
    ) {
        let end = (start + length).min(MINIMAL.len());
        let text = format!("{}{patch}{}", &MINIMAL[..start], &MINIMAL[end..]);

        let settings = NodeSettings::from_sources(&sources(&text));

        if let Err(faults) = settings {
            prop_assert!(!faults.is_empty());
        }
    }
}
