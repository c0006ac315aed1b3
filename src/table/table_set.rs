use serde::{Deserialize, Serialize};

use super::{PoolTable, RouteTable};

/// Both tables in one accepted version; the value of the object `config/tables`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct TableSet {
    /// Counts accepted edits from 1; zero means that none has been accepted yet.
    pub revision: u64,
    /// The id of the edit; an editor whose reply was lost finds its own edit by it.
    pub operation: String,
    /// Who made the edit.
    pub author: String,
    /// When the edit was made, in milliseconds since the Unix epoch.
    pub edited_at_ms: u64,
    /// The routes.
    pub routes: RouteTable,
    /// The pools.
    pub pools: PoolTable,
}
