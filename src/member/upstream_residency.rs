use std::collections::BTreeSet;

use crate::id::{AdapterRef, InstanceId, OwnerEpoch, RequestRank};

/// What an owner told about one of its upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamResidency {
    /// The owner.
    pub owner: InstanceId,
    /// The epoch of the owner.
    pub epoch: OwnerEpoch,
    /// The resident adapters.
    pub adapters: BTreeSet<AdapterRef>,
    /// Requests running.
    pub running: u32,
    /// Requests queued, by rank.
    pub queued: [u32; RequestRank::ALL.len()],
    /// Whether the upstream answers its owner.
    pub is_healthy: bool,
}
