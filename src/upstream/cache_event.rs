use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::id::EngineName;

/// A change of an engine's prefix cache; events arrive late, and numbers may be missing.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a gap means that events were lost.
    pub number: u64,
    /// The adapter whose cache changed.
    #[serde_as(as = "DisplayFromStr")]
    pub name: EngineName,
    /// The digest of the prompt.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was dropped.
    pub is_stored: bool,
}
