use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::unit::DurationText;

/// The limits of a weight store, which hold for all pools that load from it together.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreRow {
    /// The name that pools refer to.
    pub name: String,
    /// Loads that may start per second in the whole fleet.
    pub loads_per_second: f64,
    /// Loads that the store serves side by side at full speed; also the burst of the rate limit.
    pub parallel: u32,
    /// Loads in flight beyond which all of them slow down.
    pub max_in_flight: u32,
    /// Time of one load at full speed.
    #[serde_as(as = "DurationText")]
    pub load_time: Duration,
}
