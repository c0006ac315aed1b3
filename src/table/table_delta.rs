use std::collections::{BTreeMap, BTreeSet};

use super::TableRows;
use crate::peer::ConfigDelta;

/// The rows that differ between two revisions of the tables.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableDelta {
    /// The revision that the delta applies to; zero if `rows` is the complete set.
    pub base: u64,
    /// The revision after the delta has been applied.
    pub revision: u64,
    /// Added and changed rows as JSON, by key.
    pub rows: BTreeMap<String, String>,
    /// Keys of the removed rows.
    pub removed: Vec<String>,
    /// The digest of all rows after the delta has been applied; see [`TableRows::digest`].
    pub digest: u64,
}

impl TableDelta {
    /// Creates a delta that carries all rows.
    #[must_use]
    pub fn complete(rows: &TableRows, revision: u64) -> Self {
        TableRows::default().diff(0, rows, revision)
    }

    /// Returns whether the delta carries all rows and so applies to any revision.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.base == 0
    }

    /// Merges this delta with the one that follows it into a single delta.
    #[must_use]
    pub fn merge(&self, next: &Self) -> Self {
        if next.is_complete() {
            return next.clone();
        }
        let mut rows = self.rows.clone();
        let mut removed: BTreeSet<String> = self.removed.iter().cloned().collect();
        for key in &next.removed {
            rows.remove(key);
            removed.insert(key.clone());
        }
        for (key, value) in &next.rows {
            removed.remove(key);
            rows.insert(key.clone(), value.clone());
        }
        Self {
            base: self.base,
            revision: next.revision,
            rows,
            removed: removed.into_iter().collect(),
            digest: next.digest,
        }
    }

    /// Converts to the message of the peer protocol.
    #[must_use]
    pub fn to_message(&self) -> ConfigDelta {
        ConfigDelta {
            base: self.base,
            revision: self.revision,
            rows: self.rows.clone(),
            removed: self.removed.clone(),
            digest: self.digest,
        }
    }

    /// Converts from the message of the peer protocol.
    #[must_use]
    pub fn from_message(message: ConfigDelta) -> Self {
        Self {
            base: message.base,
            revision: message.revision,
            rows: message.rows,
            removed: message.removed,
            digest: message.digest,
        }
    }
}
