use std::collections::{BTreeMap, BTreeSet};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::chained_row::{ChainedRow, restore_order};
use super::{
    AdapterRule, PoolRow, PoolTable, RouteRow, RouteTable, StoreRow, TableDelta, TableSet,
    UpstreamRow,
};
use crate::error::{Error, ErrorKind};

/// The key of the row with the [`EditMetadata`].
pub(super) const SET_KEY: &str = "set";

/// Ordered rows by the name of their parent row.
type ChildRows<T> = BTreeMap<Option<String>, Vec<T>>;

/// The fields of a [`TableSet`] that describe the edit.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct EditMetadata {
    pub(super) operation: String,
    pub(super) author: String,
    pub(super) edited_at_ms: u64,
}

/// Assembles a table set from keyed rows.
#[derive(Debug)]
pub(super) struct RowAssembly<'a> {
    rows: &'a BTreeMap<String, String>,
}

impl<'a> RowAssembly<'a> {
    pub(super) const fn new(rows: &'a BTreeMap<String, String>) -> Self {
        Self { rows }
    }

    /// Assembles a table set from all rows.
    pub(super) fn complete(&self, revision: u64) -> Result<TableSet, Error> {
        let adapters = self.adapters("adapter.")?;
        let upstreams = self.upstreams()?;
        self.assemble(revision, adapters, upstreams)
    }

    /// Assembles the table set after a delta. Adapters and upstreams that the delta does not touch
    /// are copied from `base` instead of being parsed again.
    pub(super) fn patched(&self, base: &TableSet, delta: &TableDelta) -> Result<TableSet, Error> {
        let mut adapters: ChildRows<AdapterRule> = base
            .routes
            .routes
            .iter()
            .filter(|route| !route.adapters.is_empty())
            .map(|route| (Some(route.name.clone()), route.adapters.clone()))
            .collect();
        let changed_keys = || delta.rows.keys().chain(&delta.removed);
        let groups: BTreeSet<&str> = changed_keys()
            .filter_map(|key| adapter_group(key))
            .collect();
        for group in groups {
            adapters.retain(|route, _| {
                let route = route.as_deref().unwrap_or_default();
                group.strip_prefix("adapter.") != Some(&format!("{}.", escaped(route)))
            });
            adapters.extend(self.adapters(group)?);
        }
        let upstreams = if changed_keys().any(|key| key.starts_with("upstream.")) {
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
        mut adapters: ChildRows<AdapterRule>,
        mut upstreams: ChildRows<UpstreamRow>,
    ) -> Result<TableSet, Error> {
        let metadata = self.rows.get(SET_KEY).ok_or_else(|| {
            Error::new(
                ErrorKind::Protocol,
                "the tables have no row with their author",
            )
        })?;
        let metadata: EditMetadata = from_json(SET_KEY, metadata)?;
        let mut routes: Vec<RouteRow> = self.root_rows("route.")?;
        for route in &mut routes {
            let rules = adapters.remove(&Some(route.name.clone()));
            route.adapters = rules.unwrap_or_default();
        }
        let mut pools: Vec<PoolRow> = self.root_rows("pool.")?;
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
        let stores: Vec<StoreRow> = self.root_rows("store.")?;
        Ok(TableSet {
            revision,
            operation: metadata.operation,
            author: metadata.author,
            edited_at_ms: metadata.edited_at_ms,
            recent_operations: Vec::new(),
            routes: RouteTable { routes },
            pools: PoolTable { stores, pools },
        })
    }

    /// Parses the adapters whose keys start with `prefix`, grouped by route.
    fn adapters(&self, prefix: &str) -> Result<ChildRows<AdapterRule>, Error> {
        let mut rows = Vec::new();
        for (key, chained) in self.parse_rows::<String>(prefix)? {
            let route = chained.parent.as_deref().unwrap_or_default();
            // The escaped route name contains no dot, so the rule starts after the next one.
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
        restore_order(rows)
    }

    fn upstreams(&self) -> Result<ChildRows<UpstreamRow>, Error> {
        restore_order(self.named_rows("upstream.")?)
    }

    /// Parses the rows without a parent.
    fn root_rows<T: DeserializeOwned>(&self, prefix: &str) -> Result<Vec<T>, Error> {
        Ok(restore_order(self.named_rows(prefix)?)?
            .remove(&None)
            .unwrap_or_default())
    }

    /// Parses the rows whose keys start with `prefix`; their name is the remainder of the key.
    fn named_rows<T: DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<(String, ChainedRow<T>)>, Error> {
        let mut rows = self.parse_rows(prefix)?;
        for (key, _) in &mut rows {
            key.drain(..prefix.len());
        }
        Ok(rows)
    }

    /// Parses the rows whose keys start with `prefix` and returns them with their full keys.
    fn parse_rows<T: DeserializeOwned>(
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

/// Returns the prefix `adapter.<route>.` of the key of an adapter, which all adapters of the route
/// share, or `None` for other keys.
fn adapter_group(key: &str) -> Option<&str> {
    let rest = key.strip_prefix("adapter.")?;
    let route = rest.find('.').unwrap_or(rest.len());
    key.get(.."adapter.".len() + route + 1)
}

fn from_json<T: DeserializeOwned>(key: &str, json: &str) -> Result<T, Error> {
    serde_json::from_str(json)
        .map_err(|error| Error::new(ErrorKind::Protocol, format!("row {key:?}: {error}")))
}

/// Percent-encodes dots, so that the first dot after a route name in a key ends the name.
pub(super) fn escaped(name: &str) -> String {
    name.replace('%', "%25").replace('.', "%2E")
}
