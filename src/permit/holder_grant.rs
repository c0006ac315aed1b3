use crate::id::{AdapterRef, UpstreamId};

/// A permit that the holder grants to a bid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderGrant {
    /// The weight store.
    pub store: String,
    /// The number by which the permit is returned; unique over holders and their restarts.
    pub permit: u64,
    /// The upstream that may load.
    pub upstream: UpstreamId,
    /// The adapter.
    pub adapter: AdapterRef,
}
