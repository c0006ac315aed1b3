use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use crate::id::{EngineName, OwnerEpoch};

/// The JSON form of an order to load or evict an adapter.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The name under which the engine loads or evicts the adapter.
    #[serde_as(as = "DisplayFromStr")]
    pub name: EngineName,
    /// The epoch of the owner, which is the fencing token.
    #[serde_as(as = "DisplayFromStr")]
    pub epoch: OwnerEpoch,
}
