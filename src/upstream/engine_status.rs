use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::ResidentAdapter;
use crate::id::OwnerEpoch;

/// What an engine reports about itself.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// A number that changes with each start of the engine.
    pub incarnation: u64,
    /// The highest epoch that it has seen; zero if it ignores fencing tokens.
    #[serde_as(as = "DisplayFromStr")]
    pub fencing: OwnerEpoch,
    /// The number of adapter slots.
    pub slots: u32,
    /// The adapters that are loaded, and those that are being evicted or loaded are absent.
    pub resident: Vec<ResidentAdapter>,
    /// The number of running requests; lags.
    pub running: u32,
    /// The number of waiting requests; lags.
    pub waiting: u32,
}
