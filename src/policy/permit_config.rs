use std::time::Duration;

use crate::id::RequestRank;
use crate::table::{PoolRow, StoreRow};

/// The limits that a [`PermitBucket`](super::PermitBucket) keeps for one weight store.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitConfig {
    /// Loads that may start per second.
    pub rate: f64,
    /// Loads that may start at once after a quiet period.
    pub burst: u32,
    /// Loads that may be in flight.
    pub max_in_flight: u32,
    /// Time of one load at full speed.
    pub load_time: Duration,
    /// Time after which a grant counts as ended although nobody reported it.
    pub longest_load: Duration,
    /// Share of grants that each rank keeps while it bids, in the order of the ranks.
    pub floors: [f64; 3],
}

impl PermitConfig {
    /// Derives the limits from a weight store and the pools that load from it.
    ///
    /// Each rank keeps the mean of its floors in these pools, weighed by their upstreams.
    #[must_use]
    pub fn from_rows(store: &StoreRow, pools: &[&PoolRow]) -> Self {
        let weight = |pool: &PoolRow| f64::from(u32::try_from(pool.upstreams.len()).unwrap_or(0));
        let total = pools.iter().map(|pool| weight(pool)).sum::<f64>().max(1.0);
        let floor = |rank| {
            pools
                .iter()
                .map(|pool| weight(pool) * pool.floors.get(&rank).copied().unwrap_or(0.0))
                .sum::<f64>()
                / total
        };
        Self {
            rate: store.loads_per_second,
            burst: store.parallel,
            max_in_flight: store.max_in_flight,
            load_time: store.load_time,
            longest_load: store.load_time * 20,
            floors: RequestRank::ALL.map(floor),
        }
    }
}
