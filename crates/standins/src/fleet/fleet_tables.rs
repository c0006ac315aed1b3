use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfreychute::config::TableEdit;
use comfreychute::table::{PoolTable, RouteTable, TableFiles};
use comfreychute::{Error, ErrorKind, Result};

const ROUTES: &str = include_str!("../../../../examples/demo/routes.toml");
const POOLS: &str = include_str!("../../../../examples/demo/pools.toml");

/// The example tables with the addresses of running upstreams.
#[derive(Debug, Clone)]
pub struct FleetTables {
    /// The routes.
    pub routes: RouteTable,
    /// The pools.
    pub pools: PoolTable,
}

impl FleetTables {
    /// Reads the tables of `examples/demo` and replaces the addresses of upstreams by name.
    ///
    /// # Errors
    ///
    /// Describes the faults of the tables.
    pub fn demo(addresses: &BTreeMap<String, SocketAddr>) -> Result<Self> {
        let files = TableFiles {
            routes_path: "examples/demo/routes.toml".to_owned(),
            routes_text: ROUTES.to_owned(),
            pools_path: "examples/demo/pools.toml".to_owned(),
            pools_text: POOLS.to_owned(),
        };
        let (tables, _) = files.parse().map_err(|faults| {
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            Error::new(ErrorKind::Table, faults.join("; "))
        })?;
        let (routes, mut pools) = (tables.routes, tables.pools);
        for pool in &mut pools.pools {
            for upstream in &mut pool.upstreams {
                if let Some(address) = addresses.get(upstream.name.as_str()) {
                    upstream.address = *address;
                }
            }
        }
        Ok(Self { routes, pools })
    }

    /// Builds an edit that replaces whatever tables are accepted.
    #[must_use]
    pub fn to_edit(&self, author: &str) -> TableEdit {
        TableEdit {
            routes: self.routes.clone(),
            pools: self.pools.clone(),
            author: author.to_owned(),
            operation: TableEdit::new_operation(),
            base: None,
            above: 0,
        }
    }
}
