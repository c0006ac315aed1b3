use std::time::Duration;

use super::EvictionRule;
use crate::id::RequestRank;
use crate::table::{PoolRow, StoreRow};

/// Configuration of an [`UpstreamScheduler`](super::UpstreamScheduler).
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfig {
    /// Number of adapter slots of the engine.
    pub slots: u32,
    /// Maximum number of requests that run concurrently.
    pub max_running: u32,
    /// Guaranteed share of `max_running` per rank, in the order of [`RequestRank::ALL`].
    pub floors: [f64; 3],
    /// Weight of load stalls and urgent service against batch efficiency, from 0 to 1. The
    /// scheduler does not read it.
    pub stall_weight: f64,
    /// Duration of one load at full speed.
    pub load_time: Duration,
    /// Loads per second available to one upstream when all upstreams of the pool need loads;
    /// infinite without a weight store.
    pub expected_load_rate: f64,
    /// Time after which an unused load permit expires.
    pub permit_expiry: Duration,
    /// Initial estimate of the time per token, used before any request has finished.
    pub token_time: Duration,
    /// Maximum number of queued requests per rank.
    pub queue_limit: usize,
    /// Rule by which the adapter to evict is chosen.
    pub eviction: EvictionRule,
    /// Number of most recently used adapters that [`EvictionRule::Popularity`] does not evict.
    pub recency_slots: u32,
    /// Maximum time that batch requests wait for further requests for their adapter before they bid
    /// for a load; zero disables the wait.
    pub batch_hold: Duration,
    /// Whether bids are made only while a slot is free or can be freed for them. Slots of adapters
    /// for which only less urgent requests wait count as well.
    pub bids_need_slot: bool,
    /// Number of slots that stay unpinned while a less urgent rank below its floor needs a load, so
    /// that the load finds an adapter to evict. Batch requests never pin these slots.
    pub headroom: u32,
    /// Half-life of the popularity of an adapter without requests.
    pub half_life: Duration,
}

impl SchedulerConfig {
    /// Derives the configuration from the rows of a pool and its weight store.
    #[must_use]
    pub fn from_rows(pool: &PoolRow, store: Option<&StoreRow>) -> Self {
        let floor = |rank| pool.floors.get(&rank).copied().unwrap_or(0.0);
        let upstreams = u32::try_from(pool.upstreams.len().max(1)).unwrap_or(u32::MAX);
        Self {
            slots: pool.slots,
            max_running: pool.max_running,
            floors: RequestRank::ALL.map(floor),
            stall_weight: pool.stall_weight,
            load_time: store.map_or(Duration::ZERO, |store| store.load_time),
            expected_load_rate: store.map_or(f64::INFINITY, |store| {
                store.loads_per_second / f64::from(upstreams)
            }),
            permit_expiry: Duration::from_secs(1),
            token_time: Duration::from_millis(10),
            queue_limit: 2048,
            eviction: EvictionRule::Popularity,
            recency_slots: 0,
            batch_hold: Duration::from_mins(15),
            bids_need_slot: true,
            headroom: 1,
            half_life: Duration::from_mins(10),
        }
    }
}
