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

/// Shares of grants where no pool is known; the rest goes to the most valuable bid.
const DEFAULT_FLOORS: [f64; 3] = [0.5, 0.25, 0.1];

impl PermitConfig {
    /// Derives the limits from the row of a weight store, with default floors.
    #[must_use]
    pub fn from_row(store: &StoreRow) -> Self {
        Self {
            rate: store.loads_per_second,
            burst: store.parallel,
            max_in_flight: store.max_in_flight,
            load_time: store.load_time,
            longest_load: store.load_time * 20,
            floors: DEFAULT_FLOORS,
        }
    }

    /// Replaces the floors by those of the pools that load from the store.
    ///
    /// Each rank keeps the mean of its floors, weighed by the upstreams of the pools.
    #[must_use]
    pub fn with_floors(mut self, pools: &[&PoolRow]) -> Self {
        let weight = |pool: &PoolRow| f64::from(u32::try_from(pool.upstreams.len()).unwrap_or(0));
        let total = pools.iter().map(|pool| weight(pool)).sum::<f64>().max(1.0);
        self.floors = RequestRank::ALL.map(|rank| {
            pools
                .iter()
                .map(|pool| weight(pool) * pool.floors.get(&rank).copied().unwrap_or(0.0))
                .sum::<f64>()
                / total
        });
        self
    }
}
