use crate::id::{AdapterRef, UpstreamId};

/// A permit that the holder grants to a bid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderGrant {
    /// The name of the weight store to load from.
    pub store: String,
    /// The number by which the permit is released; unique across holders and their resets.
    pub permit: u64,
    /// The upstream that may load.
    pub upstream: UpstreamId,
    /// The adapter to load.
    pub adapter: AdapterRef,
}
