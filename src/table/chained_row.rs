use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind};

/// A row that names the row before it, so that an insertion changes two rows and no position.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ChainedRow<T> {
    /// The name of the row before; none for the first.
    pub(super) after: Option<String>,
    /// The row that it belongs to, such as the pool of an upstream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) parent: Option<String>,
    /// The content.
    pub(super) row: T,
}

/// Restores the order of rows, given by name with their predecessors.
pub(super) fn in_order<T>(
    rows: Vec<(String, ChainedRow<T>)>,
) -> Result<BTreeMap<Option<String>, Vec<T>>, Error> {
    let broken = |name: &str| {
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
            return Err(broken(&name));
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
        Some((name, _)) => Err(broken(&name)),
        None => Ok(ordered),
    }
}
