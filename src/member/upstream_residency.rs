use std::collections::BTreeSet;

use crate::id::{AdapterRef, InstanceId, OwnerEpoch, RequestRank};

/// The state of an upstream as reported by its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamResidency {
    /// The instance that reported the state.
    pub owner: InstanceId,
    /// Epoch of the ownership under which the state was reported.
    pub epoch: OwnerEpoch,
    /// Adapters that are resident at the upstream.
    pub adapters: BTreeSet<AdapterRef>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests, by rank.
    pub queued: [u32; RequestRank::ALL.len()],
    /// Whether the upstream responds to its owner.
    pub is_healthy: bool,
}
