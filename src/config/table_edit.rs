use crate::table::{PoolTable, RouteTable};

/// An edit of the tables by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct TableEdit {
    /// The routes after the edit.
    pub routes: RouteTable,
    /// The pools after the edit.
    pub pools: PoolTable,
    /// The name of the operator, for the log and the audit records.
    pub author: String,
    /// The id of the edit; an edit whose outcome is unknown is repeated with the same id.
    pub operation: String,
    /// The revision that the edit is based on; the edit conflicts if another revision is accepted.
    /// With `None`, the edit replaces any accepted revision.
    pub base: Option<u64>,
    /// A lower bound: the new revision is greater than this one. Needed after the platform lost
    /// newer tables, because a node adopts a revision only if it is newer than its own.
    pub above: u64,
}

impl TableEdit {
    /// Generates a random id for a new edit.
    #[must_use]
    pub fn new_operation() -> String {
        format!("{:016x}", rand::random::<u64>())
    }
}
