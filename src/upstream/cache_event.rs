use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::id::EngineName;

/// A change of an engine's prefix cache; events may be delayed or lost.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a gap means that events were lost.
    pub number: u64,
    /// The adapter that the prefix was cached for.
    #[serde_as(as = "DisplayFromStr")]
    pub name: EngineName,
    /// The digest of the cached prompt.
    pub prefix: u64,
    /// Whether the prefix was stored in the cache; otherwise it was evicted.
    pub is_stored: bool,
}
