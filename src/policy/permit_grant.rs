use crate::id::{AdapterRef, UpstreamId};

/// Permit to start one load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrant {
    /// Identifier for [`PermitBucket::release`](super::PermitBucket::release).
    pub permit: u64,
    /// The upstream that may load the adapter.
    pub upstream: UpstreamId,
    /// The adapter to load.
    pub adapter: AdapterRef,
}
