use super::TableDifference;
use crate::table::TableSet;

/// What became of an edit.
#[derive(Debug, Clone, PartialEq)]
pub enum EditOutcome {
    /// The edit was accepted.
    Applied {
        /// The revision of the tables with the edit.
        revision: u64,
        /// What the edit changed; empty if it was accepted by an earlier run.
        difference: TableDifference,
    },
    /// The accepted tables already are as the edit wants them.
    Unchanged {
        /// Their revision.
        revision: u64,
    },
    /// Another edit was accepted first; this one changed nothing.
    Conflict {
        /// The accepted tables.
        accepted: Box<TableSet>,
        /// What this edit would change in them.
        difference: TableDifference,
    },
}
