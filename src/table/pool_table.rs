use serde::{Deserialize, Serialize};

use super::{PoolRow, StoreRow, UpstreamRow};
use crate::id::UpstreamId;

/// The pools and the weight stores that they load from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct PoolTable {
    /// The weight stores, one for each `[[store]]` row.
    #[serde(default, rename = "store")]
    pub stores: Vec<StoreRow>,
    /// The pools, one for each `[[pool]]` row.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolRow>,
}

impl PoolTable {
    /// Finds a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolRow> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Finds a weight store by name.
    #[must_use]
    pub fn store(&self, name: &str) -> Option<&StoreRow> {
        self.stores.iter().find(|store| store.name == name)
    }

    /// Finds an upstream by name, together with its pool.
    #[must_use]
    pub fn upstream(&self, name: &UpstreamId) -> Option<(&PoolRow, &UpstreamRow)> {
        self.upstreams()
            .find(|(_, upstream)| upstream.name == *name)
    }

    /// Iterates over the upstreams of all pools, each together with its pool.
    pub fn upstreams(&self) -> impl Iterator<Item = (&PoolRow, &UpstreamRow)> {
        self.pools
            .iter()
            .flat_map(|pool| pool.upstreams.iter().map(move |upstream| (pool, upstream)))
    }
}
