use std::collections::BTreeMap;
use std::sync::Arc;

use super::{KeyDigest, WorkspaceEntry};

/// The workspaces of one version of the configuration, found by the digests of their keys.
#[derive(Debug, Default)]
pub struct WorkspaceTable {
    by_key: BTreeMap<KeyDigest, Arc<WorkspaceEntry>>,
    by_name: BTreeMap<String, Arc<WorkspaceEntry>>,
}

impl WorkspaceTable {
    /// Creates a table without workspaces.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            by_key: BTreeMap::new(),
            by_name: BTreeMap::new(),
        }
    }

    /// Adds a workspace with its keys; returns `false`, and adds nothing, if its name or one of the
    /// keys belongs to another workspace.
    pub fn insert(&mut self, entry: WorkspaceEntry, keys: &[KeyDigest]) -> bool {
        let is_known = self.by_name.contains_key(&entry.name)
            || keys.iter().any(|key| self.by_key.contains_key(key));
        if is_known {
            return false;
        }
        let entry = Arc::new(entry);
        for key in keys {
            self.by_key.insert(*key, Arc::clone(&entry));
        }
        self.by_name.insert(entry.name.clone(), entry);
        true
    }

    /// Returns the workspace of a key.
    #[must_use]
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceEntry>> {
        self.by_key.get(key)
    }

    /// Returns the workspaces in the order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.by_name.values()
    }
}
