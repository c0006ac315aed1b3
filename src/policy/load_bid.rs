use crate::id::{AdapterRef, RequestRank};

/// Width of the range of values that belongs to one rank.
const RANK_BAND_WIDTH: f64 = 1e6;

/// A request for a permit to load an adapter, with the value of the work that the load unblocks.
///
/// The value also encodes the rank of the most urgent waiting request, so that one number suffices
/// on the wire: each rank has its own range of values, and a bid never leaves the range of its
/// rank.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadBid {
    /// The adapter to load.
    pub adapter: AdapterRef,
    /// Priority of the bid; the bid with the highest value is granted first.
    pub value: f64,
}

impl LoadBid {
    /// Creates a bid from the rank of the most urgent waiting request and a score within that rank.
    ///
    /// The score is clamped to the range of the rank; NaN counts as zero.
    #[must_use]
    pub fn new(adapter: AdapterRef, rank: RequestRank, score: f64) -> Self {
        let base = match rank {
            RequestRank::Urgent => 2.0 * RANK_BAND_WIDTH,
            RequestRank::Standard => RANK_BAND_WIDTH,
            RequestRank::Batch => 0.0,
        };
        let score = if score.is_nan() { 0.0 } else { score };
        let value = base + score.clamp(0.0, RANK_BAND_WIDTH - 1.0);
        Self { adapter, value }
    }

    /// Returns the rank that is encoded in a value.
    #[must_use]
    pub fn rank_of(value: f64) -> RequestRank {
        if value >= 2.0 * RANK_BAND_WIDTH {
            RequestRank::Urgent
        } else if value >= RANK_BAND_WIDTH {
            RequestRank::Standard
        } else {
            RequestRank::Batch
        }
    }
}
