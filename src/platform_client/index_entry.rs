use serde::{Deserialize, Serialize};

/// Describes one object in the index line of a list response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IndexEntry {
    /// The key of the object.
    pub key: String,
    /// The version of the object, as in its version header.
    pub version: u64,
    /// The length of the value in bytes.
    pub length: usize,
}
