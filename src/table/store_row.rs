use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::unit::DurationText;

/// The limits of a weight store, shared by all pools that load from it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreRow {
    /// The name that pools refer to.
    pub name: String,
    /// Maximum number of loads that start per second in the whole fleet.
    pub loads_per_second: f64,
    /// Number of concurrent loads that the store serves at full speed; also the burst of the rate
    /// limit.
    pub parallel: u32,
    /// Maximum number of loads in flight; the store slows all of them down if there are more.
    pub max_in_flight: u32,
    /// Duration of one load at full speed.
    #[serde_as(as = "DurationText")]
    pub load_time: Duration,
}
