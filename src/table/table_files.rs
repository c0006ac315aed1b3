use std::str::FromStr;

use super::row_reader::RowReader;
use super::{
    AdapterRule, PoolRow, PoolTable, RouteRow, RouteTable, RowPlaces, StoreRow, TableSet,
    UpstreamRow,
};
use crate::error::{InputFault, InputPlace};

/// The paths and contents of the two table files: one with the routes, one with the pools.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableFiles {
    /// The path of the file with the routes, shown in faults.
    pub routes_path: String,
    /// The TOML text of the routes.
    pub routes_text: String,
    /// The path of the file with the pools and stores, shown in faults.
    pub pools_path: String,
    /// The TOML text of the pools and stores.
    pub pools_text: String,
}

impl TableFiles {
    /// Reads both files from disk without parsing them.
    ///
    /// # Errors
    ///
    /// Returns a fault for each file that cannot be read.
    pub fn from_paths(routes: &str, pools: &str) -> Result<Self, Vec<InputFault>> {
        let read = |path: &str| {
            std::fs::read_to_string(path).map_err(|error| InputFault {
                place: InputPlace::File(path.to_owned()),
                subject: "tables".to_owned(),
                problem: format!("the file cannot be read: {error}"),
                remedy: "check the path and the permissions".to_owned(),
            })
        };
        match (read(routes), read(pools)) {
            (Ok(routes_text), Ok(pools_text)) => Ok(Self {
                routes_path: routes.to_owned(),
                routes_text,
                pools_path: pools.to_owned(),
                pools_text,
            }),
            (routes, pools) => Err(routes.err().into_iter().chain(pools.err()).collect()),
        }
    }

    /// Parses and checks both files; the revision of the returned set is zero.
    ///
    /// # Errors
    ///
    /// Returns the faults of both files, sorted by file and line.
    pub fn parse(&self) -> Result<(TableSet, RowPlaces), Vec<InputFault>> {
        let (routes, mut places, mut faults) = parse_routes(&self.routes_path, &self.routes_text);
        let (pools, pool_places, pool_faults) = parse_pools(&self.pools_path, &self.pools_text);
        places.extend(pool_places);
        faults.extend(pool_faults);
        let tables = TableSet {
            routes,
            pools,
            ..TableSet::default()
        };
        // Rows that failed to parse are missing from the set, so references to them would be
        // reported as additional, misleading faults.
        if faults.is_empty() {
            faults = tables.check(&places);
        }
        if faults.is_empty() {
            return Ok((tables, places));
        }
        faults.sort();
        Err(faults)
    }
}

fn parse_routes(path: &str, text: &str) -> (RouteTable, RowPlaces, Vec<InputFault>) {
    let mut reader = RowReader::new(path, text);
    let mut file = reader.parse_syntax();
    let mut table = RouteTable::default();
    for (offset, mut row) in reader.take_rows(&mut file, "route") {
        let mut rules = Vec::new();
        for (offset, rule) in reader.take_list(&mut row, "adapters") {
            match AdapterRule::from_str(&rule) {
                Ok(rule) => rules.push(rule),
                Err(error) => reader.add_fault(
                    offset,
                    "adapters",
                    error.detail(),
                    "correct or remove the adapter",
                ),
            }
        }
        if let Some(row) = reader.parse_row::<RouteRow>(offset, "route", row) {
            table.routes.push(RouteRow {
                adapters: rules,
                ..row
            });
        }
    }
    reader.reject_unknown_keys(&file, "[[route]]");
    (table, reader.places, reader.faults)
}

fn parse_pools(path: &str, text: &str) -> (PoolTable, RowPlaces, Vec<InputFault>) {
    let mut reader = RowReader::new(path, text);
    let mut file = reader.parse_syntax();
    let mut table = PoolTable::default();
    for (offset, row) in reader.take_rows(&mut file, "store") {
        table
            .stores
            .extend(reader.parse_row::<StoreRow>(offset, "store", row));
    }
    for (offset, mut row) in reader.take_rows(&mut file, "pool") {
        let mut upstreams = Vec::new();
        for (offset, row) in reader.take_rows(&mut row, "upstream") {
            upstreams.extend(reader.parse_row::<UpstreamRow>(offset, "upstream", row));
        }
        if let Some(row) = reader.parse_row::<PoolRow>(offset, "pool", row) {
            table.pools.push(PoolRow { upstreams, ..row });
        }
    }
    reader.reject_unknown_keys(&file, "[[store]], [[pool]] or [[pool.upstream]]");
    (table, reader.places, reader.faults)
}
