//! Small valid tables for tests.
use comfreychute::table::{TableFiles, TableSet};

/// Routes with one model route and one plain route.
pub const ROUTES: &str = r#"
[[route]]
name = "menu"
pool = "engines"
model = "base-7b"
adapters = ["harbour-*@2", "*@1"]

[[route]]
name = "orders"
pool = "plates"
path = "/orders"
repeatable = false
"#;

/// A weight store and the pools that [`ROUTES`] refers to.
pub const POOLS: &str = r#"
[[store]]
name = "weights"
loads_per_second = 3.0
parallel = 1
max_in_flight = 8
load_time = "250ms"

[[pool]]
name = "engines"
kind = "model"
model = "base-7b"
store = "weights"
floors = { standard = 0.2, batch = 0.1 }

[[pool.upstream]]
name = "engine-1"
domain = "north"
address = "10.0.0.1:8000"

[[pool.upstream]]
name = "engine-2"
domain = "south"
address = "10.0.0.2:8000"

[[pool]]
name = "plates"
kind = "plain"

[[pool.upstream]]
name = "plate-1"
domain = "north"
address = "10.0.0.3:8080"
"#;

/// Returns the texts as if read from `routes.toml` and `pools.toml`.
pub fn table_files(routes: &str, pools: &str) -> TableFiles {
    TableFiles {
        routes_path: "routes.toml".to_owned(),
        routes_text: routes.to_owned(),
        pools_path: "pools.toml".to_owned(),
        pools_text: pools.to_owned(),
    }
}

/// Returns the fixture tables with the given revision.
pub fn table_set(revision: u64) -> TableSet {
    let (tables, _) = table_files(ROUTES, POOLS)
        .parse()
        .expect("the fixture should be valid");
    TableSet {
        revision,
        operation: format!("operation-{revision}"),
        author: "ruwan".to_owned(),
        edited_at_ms: 1_000 * revision,
        ..tables
    }
}
