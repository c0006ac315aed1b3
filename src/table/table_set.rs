use serde::{Deserialize, Serialize};

use super::table_check::TableCheck;
use super::{PoolTable, RouteTable, RowPlaces};
use crate::error::InputFault;

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
    /// The ids of the edits before, the latest first; an editor whose reply was lost finds its edit
    /// here if another one was accepted in the meantime.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent_operations: Vec<String>,
    /// The routes.
    pub routes: RouteTable,
    /// The pools.
    pub pools: PoolTable,
}

impl TableSet {
    /// Checks each row and the joins between the tables, and returns all faults.
    #[must_use]
    pub fn check(&self, lines: &RowPlaces) -> Vec<InputFault> {
        TableCheck::new(self, lines).run()
    }
}
