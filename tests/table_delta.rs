//! Deltas between revisions of the tables.

mod table_fixtures;

use comfreychute::error::ErrorKind;
use comfreychute::id::{DomainId, UpstreamId};
use comfreychute::peer::ConfigDelta;
use comfreychute::table::{
    AdapterRule, PoolRow, RouteRow, TableDelta, TableRows, TableSet, UpstreamRow, UpstreamState,
};
use proptest::prelude::*;
use proptest::sample::{select, subsequence};
use proptest::test_runner::RngSeed;
use table_fixtures::table_set;

fn rows(tables: &TableSet) -> TableRows {
    TableRows::from_set(tables).expect("rows serialize to JSON")
}

fn message_of(delta: &TableDelta) -> ConfigDelta {
    use prost::Message;
    let bytes = delta.to_message().encode_to_vec();
    ConfigDelta::decode(bytes.as_slice()).expect("the message decodes")
}

/// Builds tables with the given routes, adapters and upstreams, in the given order.
fn tables(revision: u64, routes: &[(&str, Vec<&str>)], upstreams: &[(u8, bool)]) -> TableSet {
    let base = table_set(revision);
    let model: &RouteRow = &base.routes.routes[0];
    let pool: &PoolRow = &base.pools.pools[0];
    let mut set = base.clone();
    set.routes.routes = routes
        .iter()
        .map(|(name, rules)| RouteRow {
            name: (*name).to_owned(),
            model: Some((*name).to_owned()),
            adapters: rules
                .iter()
                .map(|rule| rule.parse().expect("a rule"))
                .collect(),
            ..model.clone()
        })
        .collect();
    set.pools.pools = vec![PoolRow {
        upstreams: upstreams
            .iter()
            .map(|(number, is_draining)| UpstreamRow {
                name: UpstreamId::from_name(&format!("engine-{number}")),
                domain: DomainId::from_name("north"),
                address: ([10, 0, 0, *number], 8_000).into(),
                state: if *is_draining {
                    UpstreamState::Draining
                } else {
                    UpstreamState::Active
                },
            })
            .collect(),
        ..pool.clone()
    }];
    set
}

/// Generates tables whose names often collide and contain the separators of row keys.
fn any_tables(revision: u64) -> impl Strategy<Value = TableSet> {
    const NAMES: [&str; 5] = ["a", "a.b", "a.b.c", "b", "a%2Eb"];
    const RULES: [&str; 6] = ["c@1", "b.c@1", "b@1", "*@1", "a*@2", "c@2"];
    let route = (
        select(&NAMES[..]),
        subsequence(&RULES[..], 0..=RULES.len()).prop_shuffle(),
    );
    let routes = proptest::collection::vec(route, 0..5).prop_map(|mut routes| {
        let mut seen = std::collections::BTreeSet::new();
        routes.retain(|(name, _)| seen.insert(*name));
        routes
    });
    let numbers = subsequence((1..8).collect::<Vec<u8>>(), 0..=7).prop_shuffle();
    (routes, numbers, any::<u8>()).prop_map(move |(routes, numbers, draining)| {
        let upstreams: Vec<(u8, bool)> = numbers
            .into_iter()
            .map(|number| (number, draining & (1 << number) != 0))
            .collect();
        tables(revision, &routes, &upstreams)
    })
}

/// Guards against deltas that contain every row after an insertion: with 20,000 edits a day and
/// 13,000 adapters, they would exceed 3 KB/s per node.
#[test]
fn an_insertion_in_the_middle_changes_two_rows_and_the_author() {
    let before = table_set(1);
    let mut after = table_set(2);
    let rule: AdapterRule = "quay@7".parse().expect("a rule");
    after.routes.routes[0].adapters.insert(1, rule);

    let delta = rows(&before).diff(1, &rows(&after), 2);

    let keys: Vec<&String> = delta.rows.keys().collect();
    assert_eq!(keys, ["adapter.menu.*@1", "adapter.menu.quay@7", "set"]);
    assert!(delta.removed.is_empty());
}

/// Guards against tables assembled from rows of a peer whose order is incomplete or ambiguous.
#[test]
fn rows_with_a_broken_order_are_refused() {
    let whole = TableDelta::complete(&rows(&table_set(1)), 1);
    for key in [
        "route.menu",
        "adapter.menu.harbour-*@2",
        "pool.engines",
        "set",
    ] {
        let mut delta = whole.clone();
        delta.rows.remove(key);
        delta.digest = {
            let mut copy = delta.clone();
            copy.digest = 0;
            digest_of(&copy)
        };

        let set = TableRows::default()
            .apply(&delta)
            .and_then(|rows| rows.to_set(1));

        assert_eq!(
            set.map_err(|error| error.kind()),
            Err(ErrorKind::Protocol),
            "without {key}"
        );
    }
}

/// Computes the digest of the rows of a complete delta.
fn digest_of(delta: &TableDelta) -> u64 {
    use xxhash_rust::xxh3::Xxh3;
    let mut hash = Xxh3::new();
    for (key, value) in &delta.rows {
        hash.update(key.as_bytes());
        hash.update(&[0]);
        hash.update(value.as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}

/// Guards against a delta that is applied to rows other than those it was computed from.
#[test]
fn a_delta_for_other_rows_is_refused() {
    let (first, second, third) = (table_set(1), table_set(2), table_set(3));
    let delta = rows(&second).diff(2, &rows(&third), 3);
    let mut other = rows(&first).to_set(1).expect("the rows are complete");
    other.routes.routes.remove(1);

    let error = rows(&other).apply(&delta).expect_err("the rows differ");

    assert!(error.detail().contains("fetch all rows"), "{error}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1_604),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against rows that are lost or reordered when a delta is sent to a peer.
    #[test]
    fn a_delta_produces_the_same_tables_at_the_peer(
        before in any_tables(1),
        after in any_tables(2),
    ) {
        let delta = rows(&before).diff(1, &rows(&after), 2);

        let applied = rows(&before)
            .apply(&TableDelta::from_message(message_of(&delta)))
            .expect("the delta applies");

        prop_assert_eq!(&applied.to_set(2).expect("the rows are complete"), &after);
        prop_assert_eq!(applied.patch(&before, &delta).expect("the rows are complete"), after);
    }

    /// Guards against a merged delta whose result differs from applying the two deltas in turn.
    #[test]
    fn merged_deltas_equal_single_deltas(
        first in any_tables(1),
        second in any_tables(2),
        third in any_tables(3),
    ) {
        let earlier = rows(&first).diff(1, &rows(&second), 2);
        let later = rows(&second).diff(2, &rows(&third), 3);

        let merged = earlier.merge(&later);

        let applied = rows(&first).apply(&merged).and_then(|rows| rows.to_set(3));
        prop_assert_eq!(applied.expect("the delta applies"), third);
    }

    /// Guards against panics and endless loops on malformed rows from a peer.
    #[test]
    fn arbitrary_rows_never_panic(
        rows in proptest::collection::btree_map(
            "(set|route|adapter|pool|store|upstream)?\\.?[a-z.]{0,3}",
            "\\{\"after\":(null|\"[a-b]\"),\"row\":[\"\\{\\}a-z]{0,5}\\}|[a-z\\{\\}]{0,9}",
            0..6,
        ),
    ) {
        let mut delta = TableDelta {
            base: 0,
            revision: 1,
            rows,
            removed: Vec::new(),
            digest: 0,
        };
        delta.digest = digest_of(&delta);

        let set = TableRows::default().apply(&delta).and_then(|rows| rows.to_set(1));

        prop_assert!(set.is_err());
    }
}
