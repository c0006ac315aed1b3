use serde::{Deserialize, Serialize};

use super::table_check::TableCheck;
use super::{PoolTable, RouteTable, RowPlaces};
use crate::error::InputFault;

/// One revision of both tables, stored as the value of the object `config/tables`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(deny_unknown_fields)]
pub struct TableSet {
    /// The number of the revision; zero if no edit has been accepted. Each accepted edit increases
    /// it by 1, or by more if the edit states a higher lower bound
    /// ([`TableEdit::above`](crate::config::TableEdit::above)).
    pub revision: u64,
    /// The id of the edit, by which an editor whose reply was lost recognises its own edit.
    pub operation: String,
    /// The author of the edit, as stated by the operator; it is not verified.
    pub author: String,
    /// When the edit was made, in milliseconds since the Unix epoch.
    pub edited_at_ms: u64,
    /// The ids of earlier edits, the latest first, by which an editor whose reply was lost
    /// recognises its edit if another one has been accepted in the meantime.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub recent_operations: Vec<String>,
    /// The table that maps requests to pools.
    pub routes: RouteTable,
    /// The table of pools, upstreams and weight stores.
    pub pools: PoolTable,
}

impl TableSet {
    /// Checks all rows and the references between the tables, and returns all faults.
    #[must_use]
    pub fn check(&self, places: &RowPlaces) -> Vec<InputFault> {
        TableCheck::new(self, places).run()
    }
}
