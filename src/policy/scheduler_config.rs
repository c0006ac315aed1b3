use std::time::Duration;

use super::EvictionRule;
use crate::id::RequestRank;
use crate::table::{PoolRow, StoreRow};

/// The settings of an [`UpstreamScheduler`](super::UpstreamScheduler).
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerConfig {
    /// Adapter slots of the engine.
    pub slots: u32,
    /// Requests that run side by side.
    pub max_running: u32,
    /// Guaranteed share of each rank, in the order of [`RequestRank::ALL`].
    pub floors: [f64; 3],
    /// Weight of load stalls and urgent service against batch efficiency, from 0 to 1.
    pub stall_weight: f64,
    /// Time of one load at full speed.
    pub load_time: Duration,
    /// Loads per second that one upstream may expect when all of them want loads.
    pub expected_load_rate: f64,
    /// Time after which an unused load permit lapses.
    pub permit_expiry: Duration,
    /// Estimated time per token before any request has finished.
    pub token_time: Duration,
    /// Requests that may wait, per rank.
    pub queue_limit: usize,
    /// Which adapter makes room for another.
    pub eviction: EvictionRule,
    /// Slots that turn over by last use under [`EvictionRule::Popularity`].
    pub one_off_slots: u32,
    /// Time that batch work alone waits for other requests for its adapter before it bids for a load.
    pub batch_hold: Duration,
    /// Whether bids are made only while a slot could be made free for them, which includes slots
    /// of adapters that only less urgent requests wait for.
    pub bids_need_slot: bool,
    /// Slots that are not pinned while other ranks need loads, so that these find a victim; batch
    /// work never pins them.
    pub headroom: u32,
    /// Time in which the popularity of an unused adapter halves.
    pub half_life: Duration,
}

impl SchedulerConfig {
    /// Derives the settings from a pool and its weight store.
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
            one_off_slots: 0,
            batch_hold: Duration::from_mins(15),
            bids_need_slot: true,
            headroom: 1,
            half_life: Duration::from_mins(10),
        }
    }
}
