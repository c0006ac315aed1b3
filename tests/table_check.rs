//! Parsing and checking of the table files.

mod table_fixtures;

use comfreychute::error::InputFault;
use comfreychute::table::{RowPlaces, TableFiles, TableSet};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use table_fixtures::{POOLS, ROUTES, table_files, table_set};

fn lines(faults: &[InputFault]) -> String {
    let lines: Vec<String> = faults.iter().map(InputFault::to_string).collect();
    lines.join("\n")
}

fn faults_of(change: impl FnOnce(&mut TableSet)) -> Vec<InputFault> {
    let mut tables = table_set(1);
    change(&mut tables);
    tables.check(&RowPlaces::default())
}

/// Guards against checks that reject valid tables.
#[test]
fn the_examples_and_the_fixture_are_valid() {
    for place in ["lanka", "brannock"] {
        let (routes, pools) = (
            format!("examples/{place}/routes.toml"),
            format!("examples/{place}/pools.toml"),
        );
        let parsed = TableFiles::from_paths(&routes, &pools).and_then(|files| files.parse());
        assert!(parsed.is_ok(), "{place}: {parsed:?}");
    }
    assert!(faults_of(|_| {}).is_empty());
}

/// Guards against examples whose numbers of upstreams and failure domains differ from those in the
/// design document.
#[test]
fn the_examples_have_the_sizes_of_the_deployments() {
    let sizes = |place: &str| {
        let (tables, _) = TableFiles::from_paths(
            &format!("examples/{place}/routes.toml"),
            &format!("examples/{place}/pools.toml"),
        )
        .and_then(|files| files.parse())
        .expect("the example is valid");
        let pools: Vec<usize> = tables
            .pools
            .pools
            .iter()
            .map(|pool| pool.upstreams.len())
            .collect();
        let domains: std::collections::BTreeSet<_> = tables
            .pools
            .upstreams()
            .map(|(_, upstream)| upstream.domain.clone())
            .collect();
        (pools, domains.len())
    };

    assert_eq!(sizes("lanka"), (vec![12, 4], 4));
    assert_eq!(sizes("brannock"), (vec![18, 3], 3));
}

/// Guards against a parser that stops at the first faulty row or reports the wrong line.
#[test]
fn faults_of_syntax_and_types_are_reported_at_once() {
    let routes = r#"[[route]]
name = "menu"
pool = "engines"
model = "base-7b"
adapters = ["*@1", "no version", "*@"]
timeout = "1 minute"

[[route]]
name = "orders"
colour = "red"

[[rout]]
name = "x"
"#;
    let pools = r#"[[store]]
name = "weights"
loads_per_second = "3"

[[pool]]
name = "engines"
kind = "vehicle"

[[pool.upstream]]
name = "engine-1"
domain = "north"
address = "engine.example:80"

[[pool.upstream]]
name = "engine-2"
domain = "north"
address = "10.0.0.1"
"#;

    let faults = table_files(routes, pools)
        .parse()
        .expect_err("the files have faults");

    insta::assert_snapshot!(lines(&faults));
}

/// Guards against unchecked values and unchecked references between the two files.
#[test]
fn faults_of_references_and_ranges_are_reported_at_once() {
    let routes = ROUTES
        .replace("pool = \"plates\"", "pool = \"presses\"")
        .replace("adapters = [\"harbour-*@2\", \"*@1\"]", "adapters = [\"*@1\", \"*@1\"]\nrepeatable = false\npath = \"/x\"\nmax_body = \"4MiB\"\ntimeout = \"0s\"");
    let pools = POOLS
        .replace("loads_per_second = 3.0", "loads_per_second = -1.0")
        .replace("max_in_flight = 8", "max_in_flight = 0")
        .replace(
            "store = \"weights\"",
            "store = \"bank\"\nslots = 0\nstall_weight = 1.5",
        )
        .replace("standard = 0.2", "standard = 0.95")
        .replace("10.0.0.2:8000", "10.0.0.1:8000")
        .replace("name = \"plate-1\"", "name = \"engine-1\"")
        .replace("kind = \"plain\"", "kind = \"plain\"\nmodel = \"base-7b\"");

    let faults = table_files(&routes, &pools)
        .parse()
        .expect_err("the tables have faults");

    insta::assert_snapshot!(lines(&faults));
}

/// Guards against missing checks that no other test covers: each invalid change, made on its own,
/// must be reported.
#[test]
fn each_rule_reports_its_fault() {
    let route = |change: fn(&mut comfreychute::table::RouteRow)| {
        faults_of(|tables| change(&mut tables.routes.routes[0]))
    };
    let plain = |change: fn(&mut comfreychute::table::RouteRow)| {
        faults_of(|tables| change(&mut tables.routes.routes[1]))
    };
    let pool = |change: fn(&mut comfreychute::table::PoolRow)| {
        faults_of(|tables| change(&mut tables.pools.pools[0]))
    };
    let found = [
        route(|row| row.model = None),
        route(|row| row.model = Some("other".to_owned())),
        route(|row| row.adapters.clear()),
        route(|row| row.name = "a/b".to_owned()),
        plain(|row| row.path = None),
        plain(|row| row.path = Some("orders".to_owned())),
        plain(|row| row.path = Some("/a/../b".to_owned())),
        plain(|row| row.model = Some("base-7b".to_owned())),
        pool(|row| row.model = None),
        pool(|row| row.store = None),
        pool(|row| row.max_running = 0),
        pool(|row| row.stall_weight = f64::NAN),
        pool(|row| {
            row.floors
                .insert(comfreychute::id::RequestRank::Urgent, -0.1);
        }),
        pool(|row| row.upstreams[0].address = ([0, 0, 0, 0], 80).into()),
        pool(|row| row.upstreams[0].address.set_port(0)),
        pool(|row| row.upstreams[0].domain = comfreychute::id::DomainId::from_name("")),
        faults_of(|tables| {
            let copy = tables.routes.routes[1].clone();
            tables.routes.routes.push(comfreychute::table::RouteRow {
                name: "copy".to_owned(),
                path: Some("/orders/".to_owned()),
                ..copy
            });
        }),
        faults_of(|tables| tables.pools.stores[0].load_time = std::time::Duration::ZERO),
        faults_of(|tables| tables.pools.stores[0].loads_per_second = f64::INFINITY),
    ];

    for (position, faults) in found.iter().enumerate() {
        assert!(!faults.is_empty(), "change {position} was not found");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(1_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against panics on arbitrary bytes.
    #[test]
    fn arbitrary_input_never_panics(
        routes in proptest::collection::vec(any::<u8>(), 0..300),
        pools in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let (routes, pools) = (String::from_utf8_lossy(&routes), String::from_utf8_lossy(&pools));

        let parsed = table_files(&routes, &pools).parse();

        // Either result is correct, since empty files are valid.
        drop(parsed);
    }

    /// Guards against panics on table files with a damaged section.
    #[test]
    fn damaged_tables_never_panic(
        start in 0..POOLS.len(),
        length in 0_usize..20,
        patch in "[\\[\\]a-z0-9={}\"'.#\n ]{0,12}",
    ) {
        let end = (start + length).min(POOLS.len());
        let pools = format!("{}{patch}{}", &POOLS[..start], &POOLS[end..]);

        let parsed = table_files(ROUTES, &pools).parse();

        if let Err(faults) = parsed {
            prop_assert!(!faults.is_empty());
        }
    }
}
