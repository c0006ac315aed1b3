use crate::table::{PoolTable, RouteTable};

/// An edit of the tables by an operator.
#[derive(Debug, Clone, PartialEq)]
pub struct TableEdit {
    /// The routes after the edit.
    pub routes: RouteTable,
    /// The pools after the edit.
    pub pools: PoolTable,
    /// Who makes the edit.
    pub author: String,
    /// The id of the edit; an edit whose outcome is unknown is repeated with the same id.
    pub operation: String,
    /// The revision that the edit starts from; the edit conflicts if another one is accepted.
    /// `None` replaces whatever is accepted.
    pub base: Option<u64>,
    /// The new revision is above this one, for a platform that lost later tables.
    pub above: u64,
}

impl TableEdit {
    /// Draws an id for a new edit.
    #[must_use]
    pub fn new_operation() -> String {
        format!("{:016x}", rand::random::<u64>())
    }
}
