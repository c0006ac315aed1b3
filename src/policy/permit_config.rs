use std::time::Duration;

use crate::id::RequestRank;
use crate::table::{PoolRow, StoreRow};

/// Limits that a [`PermitBucket`](super::PermitBucket) enforces for one weight store.
#[derive(Debug, Clone, PartialEq)]
pub struct PermitConfig {
    /// Maximum number of loads started per second.
    pub rate: f64,
    /// Maximum number of loads started at once after an idle period.
    pub burst: u32,
    /// Maximum number of loads in flight.
    pub max_in_flight: u32,
    /// Duration of one load at full speed.
    pub load_time: Duration,
    /// Longest time that a load can take; after it, a permit counts as ended even if its end was
    /// not reported.
    pub longest_load: Duration,
    /// Guaranteed share of grants per rank while it has bids, in the order of [`RequestRank::ALL`].
    pub floors: [f64; 3],
}

/// Guaranteed shares of grants if no pool is known; the rest goes to the most valuable bid.
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
    /// The floor of a rank is the mean of its floors in the pools, weighted by their number of
    /// upstreams.
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
