use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use comfreychute::id::{DomainId, RequestRank, UpstreamId};
use comfreychute::table::{FencingMode, PoolKind, PoolRow, StoreRow, UpstreamRow, UpstreamState};

/// The size of a deployment and its ordinary traffic.
#[derive(Debug, Clone)]
pub struct SitePlan {
    /// The name.
    pub name: &'static str,
    /// Failure domains.
    pub domains: usize,
    /// One-way latency between failure domains.
    pub hop: Duration,
    /// Model workers.
    pub workers: usize,
    /// Entry instances.
    pub entries: usize,
    /// Adapters in use.
    pub adapters: usize,
    /// Time per token of a running request.
    pub token_time: Duration,
    /// Ordinary traffic in requests per second.
    pub rate: f64,
    /// Settings of the model pool.
    pub pool: PoolRow,
    /// Limits of the weight store.
    pub store: StoreRow,
}

/// Mean tokens of a request, by rank.
pub const MEAN_TOKENS: [u32; 3] = [60, 200, 200];

/// Share of each rank in ordinary traffic.
pub const RANK_SHARES: [f64; 3] = [0.4, 0.35, 0.25];

/// Time allowed for a request, by rank.
pub const DEADLINES: [Duration; 3] = [
    Duration::from_secs(8),
    Duration::from_secs(30),
    Duration::from_hours(1),
];

impl SitePlan {
    /// Returns western Sri Lanka, which weighs urgent service and stalls.
    #[must_use]
    pub fn lanka() -> Self {
        let floors = [0.5, 0.25, 0.1];
        Self {
            name: "lanka",
            domains: 4,
            hop: Duration::from_micros(500),
            workers: 12,
            entries: 8,
            adapters: 3_000,
            token_time: Duration::from_millis(20),
            rate: 6.0,
            pool: pool_row(12, 4, floors, 0.8),
            store: store_row(3.0, 1, 8),
        }
    }

    /// Returns Leinster, which weighs batch efficiency and surges.
    #[must_use]
    pub fn brannock() -> Self {
        let floors = [0.4, 0.2, 0.3];
        Self {
            name: "brannock",
            domains: 3,
            hop: Duration::from_micros(1_500),
            workers: 18,
            entries: 9,
            adapters: 3_000,
            token_time: Duration::from_millis(20),
            rate: 10.0,
            pool: pool_row(18, 3, floors, 0.2),
            store: store_row(4.5, 2, 16),
        }
    }

    /// Returns the number of requests that all workers run side by side.
    #[must_use]
    pub fn places(&self) -> f64 {
        f64::from(self.pool.max_running) * as_f64(self.workers)
    }

    /// Returns the requests per second of the ordinary mix that the engines can run.
    #[must_use]
    pub fn engine_rate(&self) -> f64 {
        let tokens: f64 = MEAN_TOKENS
            .iter()
            .zip(RANK_SHARES)
            .map(|(tokens, share)| f64::from(*tokens) * share)
            .sum();
        self.places() / (tokens * self.token_time.as_secs_f64())
    }

    /// Returns the requests per second of one rank that the engines can run.
    #[must_use]
    pub fn engine_rate_of(&self, rank: RequestRank) -> f64 {
        let tokens = f64::from(MEAN_TOKENS[rank.index()]);
        self.places() / (tokens * self.token_time.as_secs_f64())
    }

    /// Returns the number of adapter slots of all workers.
    #[must_use]
    pub fn slots(&self) -> usize {
        self.workers * self.pool.slots as usize
    }
}

fn pool_row(workers: usize, domains: usize, floors: [f64; 3], stall_weight: f64) -> PoolRow {
    let upstreams = (0..workers)
        .map(|worker| UpstreamRow {
            name: UpstreamId::from_name(&format!("worker-{worker:03}")),
            domain: DomainId::from_name(&format!("domain-{}", worker % domains)),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            state: UpstreamState::Active,
        })
        .collect();
    PoolRow {
        name: "models".to_owned(),
        kind: PoolKind::Model,
        model: Some("base".to_owned()),
        store: Some("weights".to_owned()),
        slots: 8,
        max_running: 16,
        fencing: FencingMode::Ignored,
        floors: RequestRank::ALL
            .into_iter()
            .zip(floors)
            .collect::<BTreeMap<_, _>>(),
        stall_weight,
        frozen_owner_limit: None,
        upstreams,
    }
}

fn store_row(loads_per_second: f64, parallel: u32, max_in_flight: u32) -> StoreRow {
    StoreRow {
        name: "weights".to_owned(),
        loads_per_second,
        parallel,
        max_in_flight,
        load_time: Duration::from_millis(250),
    }
}

/// Converts a count of simulated things, which stays far below 2^32.
pub(crate) fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
