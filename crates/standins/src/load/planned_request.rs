use comfreychute::id::{AdapterRef, RequestRank};

/// One request of a plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The position in the plan, counted from 0.
    pub number: u64,
    /// The adapter.
    pub adapter: AdapterRef,
    /// The rank.
    pub rank: RequestRank,
    /// The prompt, unique within the plan.
    pub prompt: String,
}
