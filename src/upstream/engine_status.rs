use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

use super::ResidentAdapter;
use crate::id::OwnerEpoch;

/// The status that an engine reports.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// A number that changes with each start of the engine.
    pub incarnation: u64,
    /// The highest epoch that the engine has received; zero if it ignores fencing tokens.
    #[serde_as(as = "DisplayFromStr")]
    pub fencing: OwnerEpoch,
    /// The number of adapters that the engine can hold at a time.
    pub slots: u32,
    /// The loaded adapters, without those that are being loaded or evicted.
    pub resident: Vec<ResidentAdapter>,
    /// The number of running requests, which may be out of date.
    pub running: u32,
    /// The number of waiting requests, which may be out of date.
    pub waiting: u32,
}
