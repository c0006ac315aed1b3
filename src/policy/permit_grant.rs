use crate::id::{AdapterRef, UpstreamId};

/// Permission to start one load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitGrant {
    /// The number by which the permit is returned.
    pub permit: u64,
    /// The upstream that may load.
    pub upstream: UpstreamId,
    /// The adapter.
    pub adapter: AdapterRef,
}
