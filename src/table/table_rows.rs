use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::chained_row::{ChainedRow, in_order};
use super::{
    AdapterRule, PoolRow, PoolTable, RouteRow, RouteTable, StoreRow, TableDelta, TableSet,
    UpstreamRow,
};
use crate::error::{Error, ErrorKind};

/// A table set as keyed rows of canonical JSON; the form in which changes travel between nodes.
///
/// The keys are `set`, `route.<name>`, `adapter.<route>.<rule>`, `store.<name>`, `pool.<name>` and
/// `upstream.<name>`. Each row names the row before it, so the order of routes and adapters
/// survives. The ids of former edits are left out, because only editors need them and those read the
/// object store.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TableRows {
    rows: BTreeMap<String, String>,
}

/// The key of the row with the facts about the edit.
const SET_KEY: &str = "set";

/// The facts about an edit that are not rows of a table.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct EditFacts {
    operation: String,
    author: String,
    edited_at_ms: u64,
}

impl TableRows {
    /// Splits a checked set into rows.
    ///
    /// # Errors
    ///
    /// Fails if a row has no JSON form, which no checked row has.
    pub fn from_set(set: &TableSet) -> Result<Self, Error> {
        let mut rows = Self::default();
        rows.insert(
            SET_KEY.to_owned(),
            &EditFacts {
                operation: set.operation.clone(),
                author: set.author.clone(),
                edited_at_ms: set.edited_at_ms,
            },
        )?;
        rows.chain(
            "route",
            None,
            &set.routes.routes,
            |row| row.name.clone(),
            |row| RouteRow {
                adapters: Vec::new(),
                ..row.clone()
            },
        )?;
        for route in &set.routes.routes {
            let kind = format!("adapter.{}", escaped(&route.name));
            rows.chain(
                &kind,
                Some(&route.name),
                &route.adapters,
                AdapterRule::to_string,
                AdapterRule::to_string,
            )?;
        }
        rows.chain(
            "store",
            None,
            &set.pools.stores,
            |row| row.name.clone(),
            Clone::clone,
        )?;
        rows.chain(
            "pool",
            None,
            &set.pools.pools,
            |row| row.name.clone(),
            |row| PoolRow {
                upstreams: Vec::new(),
                ..row.clone()
            },
        )?;
        for pool in &set.pools.pools {
            rows.chain(
                "upstream",
                Some(&pool.name),
                &pool.upstreams,
                |row| row.name.as_str().to_owned(),
                Clone::clone,
            )?;
        }
        Ok(rows)
    }

    /// Joins the rows into a set with the given revision.
    ///
    /// # Errors
    ///
    /// Fails if a row is malformed, or if the order of the rows has a gap.
    pub fn to_set(&self, revision: u64) -> Result<TableSet, Error> {
        let facts = self.rows.get(SET_KEY).ok_or_else(|| {
            Error::new(
                ErrorKind::Protocol,
                "the tables have no row with their author",
            )
        })?;
        let facts: EditFacts = from_json(SET_KEY, facts)?;
        let mut adapters = in_order(self.typed::<String>("adapter.")?)?;
        let mut upstreams = in_order(self.typed::<UpstreamRow>("upstream.")?)?;
        let mut routes = in_order(self.typed::<RouteRow>("route.")?)?
            .remove(&None)
            .unwrap_or_default();
        for route in &mut routes {
            let rules = adapters
                .remove(&Some(route.name.clone()))
                .unwrap_or_default();
            route.adapters = rules
                .iter()
                .map(|rule| rule.parse())
                .collect::<Result<_, Error>>()?;
        }
        let mut pools = in_order(self.typed::<PoolRow>("pool.")?)?
            .remove(&None)
            .unwrap_or_default();
        for pool in &mut pools {
            pool.upstreams = upstreams
                .remove(&Some(pool.name.clone()))
                .unwrap_or_default();
        }
        if let Some(parent) = adapters.into_keys().chain(upstreams.into_keys()).next() {
            return Err(Error::new(
                ErrorKind::Protocol,
                format!("rows belong to {parent:?}, which is missing"),
            ));
        }
        let stores = in_order(self.typed::<StoreRow>("store.")?)?
            .remove(&None)
            .unwrap_or_default();
        Ok(TableSet {
            revision,
            operation: facts.operation,
            author: facts.author,
            edited_at_ms: facts.edited_at_ms,
            recent_operations: Vec::new(),
            routes: RouteTable { routes },
            pools: PoolTable { stores, pools },
        })
    }

    /// Borrows the rows.
    #[must_use]
    pub fn as_map(&self) -> &BTreeMap<String, String> {
        &self.rows
    }

    /// Returns the digest of all keys and values.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        for (key, value) in &self.rows {
            hash.update(key.as_bytes());
            hash.update(&[0]);
            hash.update(value.as_bytes());
            hash.update(&[0]);
        }
        hash.digest()
    }

    /// Returns the change from these rows, of revision `base`, to `next`, of revision `revision`.
    #[must_use]
    pub fn diff(&self, base: u64, next: &Self, revision: u64) -> TableDelta {
        let rows = next
            .rows
            .iter()
            .filter(|(key, value)| self.rows.get(*key) != Some(value))
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let removed = self
            .rows
            .keys()
            .filter(|key| !next.rows.contains_key(*key))
            .cloned()
            .collect();
        TableDelta {
            base,
            revision,
            rows,
            removed,
            digest: next.digest(),
        }
    }

    /// Applies a change; a complete set replaces all rows.
    ///
    /// # Errors
    ///
    /// Fails if the result differs from what the sender had; the complete set must be fetched then.
    pub fn apply(&self, delta: &TableDelta) -> Result<Self, Error> {
        let mut rows = if delta.is_complete() {
            BTreeMap::new()
        } else {
            self.rows.clone()
        };
        for key in &delta.removed {
            rows.remove(key);
        }
        rows.extend(
            delta
                .rows
                .iter()
                .map(|(key, value)| (key.clone(), value.clone())),
        );
        let next = Self { rows };
        if next.digest() == delta.digest {
            return Ok(next);
        }
        Err(Error::new(
            ErrorKind::Protocol,
            format!(
                "the change from revision {} to {} does not fit the rows held here; fetch all rows",
                delta.base, delta.revision
            ),
        ))
    }

    fn chain<R, T: Serialize>(
        &mut self,
        kind: &str,
        parent: Option<&str>,
        rows: &[R],
        name: impl Fn(&R) -> String,
        content: impl Fn(&R) -> T,
    ) -> Result<(), Error> {
        let mut after = None;
        for row in rows {
            let name = name(row);
            let chained = ChainedRow {
                after: after.replace(name.clone()),
                parent: parent.map(str::to_owned),
                row: content(row),
            };
            self.insert(format!("{kind}.{name}"), &chained)?;
        }
        Ok(())
    }

    fn insert(&mut self, key: String, value: &impl Serialize) -> Result<(), Error> {
        let json = serde_json::to_string(value)
            .map_err(|error| Error::new(ErrorKind::Internal, format!("row {key:?}: {error}")))?;
        self.rows.insert(key, json);
        Ok(())
    }

    /// Types the rows whose keys start with `prefix` and names them by the rest of the key.
    fn typed<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<(String, ChainedRow<T>)>, Error> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| {
                let chained: ChainedRow<T> = from_json(key, value)?;
                let rest = &key[prefix.len()..];
                // Keys of adapters also contain the route, which is escaped and has no dot.
                let name = if prefix == "adapter." {
                    rest.split_once('.').map_or(rest, |(_, rule)| rule)
                } else {
                    rest
                };
                Ok((name.to_owned(), chained))
            })
            .collect()
    }
}

fn from_json<T: DeserializeOwned>(key: &str, json: &str) -> Result<T, Error> {
    serde_json::from_str(json)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("row {key:?}: {error}")))
}

/// Escapes dots, so that the end of a route name within a key is known.
fn escaped(name: &str) -> String {
    name.replace('%', "%25").replace('.', "%2E")
}
