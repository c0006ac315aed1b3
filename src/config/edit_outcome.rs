use super::TableDifference;
use crate::table::TableSet;

/// The result of an edit whose outcome is known.
#[derive(Debug, Clone, PartialEq)]
pub enum EditOutcome {
    /// The edit was accepted.
    Applied {
        /// The revision of the tables with the edit.
        revision: u64,
        /// The changes of the edit; empty if it was accepted by an earlier run.
        difference: TableDifference,
    },
    /// The accepted tables already equal those of the edit, so nothing was written.
    Unchanged {
        /// The revision of the accepted tables.
        revision: u64,
    },
    /// Another edit was accepted first; this one changed nothing.
    Conflict {
        /// The accepted tables, which include the other edit.
        accepted: Box<TableSet>,
        /// The changes that this edit would make to the accepted tables.
        difference: TableDifference,
    },
}
