use serde::{Deserialize, Serialize};

/// Describes one object in the first line of a list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The key.
    pub key: String,
    /// The version.
    pub version: u64,
    /// The length of the value in bytes.
    pub length: usize,
}
