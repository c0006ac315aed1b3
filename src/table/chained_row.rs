use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// A row that stores its position as the name of the preceding row.
///
/// An insertion then changes only the new row and its successor, whereas numeric positions would
/// change in all following rows.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChainedRow<T> {
    /// The name of the preceding row with the same parent, or `None` for the first row.
    pub(super) after: Option<String>,
    /// The name of the row that contains this one, such as the pool of an upstream; `None` for rows
    /// of the table itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) parent: Option<String>,
    pub(super) row: T,
}

/// Groups named rows by parent and sorts each group by following the links between its rows.
///
/// Fails if the order is ambiguous (two rows name the same preceding row) or incomplete (a row is
/// not reachable from the first one).
pub(super) fn restore_order<T>(
    rows: Vec<(String, ChainedRow<T>)>,
) -> Result<BTreeMap<Option<String>, Vec<T>>, Error> {
    let misplaced = |name: &str| {
        Error::new(
            ErrorKind::Protocol,
            format!("row {name:?} has no place in the order of rows"),
        )
    };
    let mut next = BTreeMap::new();
    let mut parents = BTreeSet::new();
    for (name, chained) in rows {
        parents.insert(chained.parent.clone());
        let link = (chained.parent, chained.after);
        if next.insert(link, (name.clone(), chained.row)).is_some() {
            return Err(misplaced(&name));
        }
    }
    let mut ordered = BTreeMap::new();
    for parent in parents {
        let mut list = Vec::new();
        let mut after = None;
        while let Some((name, row)) = next.remove(&(parent.clone(), after)) {
            list.push(row);
            after = Some(name);
        }
        ordered.insert(parent, list);
    }
    match next.into_values().next() {
        Some((name, _)) => Err(misplaced(&name)),
        None => Ok(ordered),
    }
}
