use crate::id::{AdapterRef, RequestRank};

/// The width of the value band of one rank.
const BAND: f64 = 1e6;

/// A wish to load an adapter, with the value of the work that the load unlocks.
///
/// The value carries the rank of the most urgent request that waits, so that one number suffices
/// on the wire: each rank has a band of its own, and a bid never leaves its band.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadBid {
    /// The adapter.
    pub adapter: AdapterRef,
    /// The value; the largest is granted first.
    pub value: f64,
}

impl LoadBid {
    /// Creates a bid from the rank of the most urgent waiting request and the worth within it.
    #[must_use]
    pub fn new(adapter: AdapterRef, rank: RequestRank, worth: f64) -> Self {
        let base = match rank {
            RequestRank::Urgent => 2.0 * BAND,
            RequestRank::Standard => BAND,
            RequestRank::Batch => 0.0,
        };
        let worth = if worth.is_nan() { 0.0 } else { worth };
        let value = base + worth.clamp(0.0, BAND - 1.0);
        Self { adapter, value }
    }

    /// Returns the rank that a value stands for.
    #[must_use]
    pub fn rank_of(value: f64) -> RequestRank {
        if value >= 2.0 * BAND {
            RequestRank::Urgent
        } else if value >= BAND {
            RequestRank::Standard
        } else {
            RequestRank::Batch
        }
    }
}
