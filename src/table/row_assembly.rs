use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::chained_row::{ChainedRow, in_order};
use super::{
    AdapterRule, PoolRow, PoolTable, RouteRow, RouteTable, StoreRow, TableDelta, TableSet,
    UpstreamRow,
};
use crate::error::{Error, ErrorKind};

/// The key of the row with the facts about the edit.
pub(super) const SET_KEY: &str = "set";

/// Rows in their order, by the row that they belong to.
type Children<T> = BTreeMap<Option<String>, Vec<T>>;

/// The facts about an edit that are not rows of a table.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EditFacts {
    pub(super) operation: String,
    pub(super) author: String,
    pub(super) edited_at_ms: u64,
}

/// Joins keyed rows into a table set.
#[derive(Debug)]
pub(super) struct RowAssembly<'a> {
    rows: &'a BTreeMap<String, String>,
}

impl<'a> RowAssembly<'a> {
    pub(super) const fn new(rows: &'a BTreeMap<String, String>) -> Self {
        Self { rows }
    }

    /// Joins all rows.
    pub(super) fn whole(&self, revision: u64) -> Result<TableSet, Error> {
        let adapters = self.adapters("adapter.")?;
        let upstreams = self.upstreams()?;
        self.assemble(revision, adapters, upstreams)
    }

    /// Joins the rows after a change, taking over from `base` what the change leaves alone.
    pub(super) fn patched(&self, base: &TableSet, delta: &TableDelta) -> Result<TableSet, Error> {
        let mut adapters: Children<AdapterRule> = base
            .routes
            .routes
            .iter()
            .filter(|route| !route.adapters.is_empty())
            .map(|route| (Some(route.name.clone()), route.adapters.clone()))
            .collect();
        let touched = || delta.rows.keys().chain(&delta.removed);
        let groups: BTreeSet<&str> = touched().filter_map(|key| adapter_group(key)).collect();
        for group in groups {
            adapters.retain(|route, _| {
                let route = route.as_deref().unwrap_or_default();
                group.strip_prefix("adapter.") != Some(&format!("{}.", escaped(route)))
            });
            adapters.extend(self.adapters(group)?);
        }
        let upstreams = if touched().any(|key| key.starts_with("upstream.")) {
            self.upstreams()?
        } else {
            base.pools
                .pools
                .iter()
                .filter(|pool| !pool.upstreams.is_empty())
                .map(|pool| (Some(pool.name.clone()), pool.upstreams.clone()))
                .collect()
        };
        self.assemble(delta.revision, adapters, upstreams)
    }

    fn assemble(
        &self,
        revision: u64,
        mut adapters: Children<AdapterRule>,
        mut upstreams: Children<UpstreamRow>,
    ) -> Result<TableSet, Error> {
        let facts = self.rows.get(SET_KEY).ok_or_else(|| {
            Error::new(
                ErrorKind::Protocol,
                "the tables have no row with their author",
            )
        })?;
        let facts: EditFacts = from_json(SET_KEY, facts)?;
        let mut routes: Vec<RouteRow> = self.top_rows("route.")?;
        for route in &mut routes {
            let rules = adapters.remove(&Some(route.name.clone()));
            route.adapters = rules.unwrap_or_default();
        }
        let mut pools: Vec<PoolRow> = self.top_rows("pool.")?;
        for pool in &mut pools {
            let rows = upstreams.remove(&Some(pool.name.clone()));
            pool.upstreams = rows.unwrap_or_default();
        }
        if let Some(parent) = adapters.into_keys().chain(upstreams.into_keys()).next() {
            return Err(Error::new(
                ErrorKind::Protocol,
                format!("rows belong to {parent:?}, which is missing"),
            ));
        }
        let stores: Vec<StoreRow> = self.top_rows("store.")?;
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

    /// Restores the adapters whose keys start with `prefix`, by route.
    fn adapters(&self, prefix: &str) -> Result<Children<AdapterRule>, Error> {
        let mut rows = Vec::new();
        for (key, chained) in self.typed::<String>(prefix)? {
            let route = chained.parent.as_deref().unwrap_or_default();
            // The rule follows the escaped route, which has no dot.
            let rule = key
                .strip_prefix("adapter.")
                .and_then(|rest| rest.strip_prefix(&escaped(route)))
                .and_then(|rest| rest.strip_prefix('.'))
                .ok_or_else(|| {
                    Error::new(
                        ErrorKind::Protocol,
                        format!("row {key:?} belongs to another route than {route:?}"),
                    )
                })?;
            rows.push((
                rule.to_owned(),
                ChainedRow {
                    after: chained.after,
                    row: chained.row.parse()?,
                    parent: chained.parent,
                },
            ));
        }
        in_order(rows)
    }

    fn upstreams(&self) -> Result<Children<UpstreamRow>, Error> {
        in_order(self.named("upstream.")?)
    }

    /// Restores rows that belong to the table itself.
    fn top_rows<T: DeserializeOwned>(&self, prefix: &str) -> Result<Vec<T>, Error> {
        Ok(in_order(self.named(prefix)?)?
            .remove(&None)
            .unwrap_or_default())
    }

    /// Types the rows whose keys start with `prefix` and names them by the rest of the key.
    fn named<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<(String, ChainedRow<T>)>, Error> {
        let mut rows = self.typed(prefix)?;
        for (key, _) in &mut rows {
            key.drain(..prefix.len());
        }
        Ok(rows)
    }

    /// Types the rows whose keys start with `prefix`.
    fn typed<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<(String, ChainedRow<T>)>, Error> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, value)| Ok((key.clone(), from_json(key, value)?)))
            .collect()
    }
}

/// Returns the start of the key of an adapter, up to and including the dot after the route.
fn adapter_group(key: &str) -> Option<&str> {
    let rest = key.strip_prefix("adapter.")?;
    let route = rest.find('.').unwrap_or(rest.len());
    key.get(.."adapter.".len() + route + 1)
}

fn from_json<T: DeserializeOwned>(key: &str, json: &str) -> Result<T, Error> {
    serde_json::from_str(json)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("row {key:?}: {error}")))
}

/// Escapes dots, so that the end of a route name within a key is known.
pub(super) fn escaped(name: &str) -> String {
    name.replace('%', "%25").replace('.', "%2E")
}
