use std::collections::{BTreeMap, BTreeSet};

use super::tracked_call::TrackedCall;
use super::{OwnerCall, OwnerPhase};
use crate::id::{AdapterRef, EngineName, OwnerEpoch, RequestId};
use crate::permit::LoadPermit;
use crate::policy::UpstreamScheduler;

/// The state of one owned upstream, guarded by one lock.
#[derive(Debug)]
pub(super) struct OwnerState {
    pub phase: OwnerPhase,
    pub epoch: OwnerEpoch,
    pub scheduler: UpstreamScheduler,
    pub calls: BTreeMap<RequestId, TrackedCall>,
    /// The engine name of each adapter that may be used.
    pub engine_names: BTreeMap<AdapterRef, EngineName>,
    /// Permits of the loads in progress.
    pub permits: BTreeMap<AdapterRef, LoadPermit>,
    /// Adapters with a bid at the permit holder that has not been answered.
    pub pending_bids: BTreeSet<AdapterRef>,
    /// Adapters of the owner's epoch in the last status that the scheduler does not track.
    pub untracked: BTreeSet<EngineName>,
    /// Duplicate copies of adapters whose eviction has been ordered. They are not used again, since
    /// an unanswered order may still reach the engine.
    pub evicting: BTreeSet<EngineName>,
    /// Duplicate copies whose eviction order is in progress, also across a restart of the engine.
    pub duplicate_evictions: BTreeSet<EngineName>,
    /// Number of load and eviction orders that have not completed.
    pub pending_orders: u32,
    /// Adapters that must not be evicted yet, since a former owner may have requests running on
    /// them.
    pub pinned: BTreeSet<AdapterRef>,
    /// Identifies the run of the engine process; `None` before the first status.
    pub incarnation: Option<u64>,
    pub is_healthy: bool,
    /// Whether the pool table allows new work on the upstream.
    pub is_accepting: bool,
}

impl OwnerState {
    /// Returns whether a call has to wait for a load.
    pub fn is_stalled(&self, call: &OwnerCall) -> bool {
        let adapter = call.adapter.as_ref();
        adapter.is_some_and(|adapter| !self.engine_names.contains_key(adapter))
    }

    /// Returns the number of dispatched calls.
    pub fn running(&self) -> u32 {
        let running = self
            .calls
            .values()
            .filter(|tracked| tracked.is_dispatched)
            .count();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Returns the number of queued calls of each rank, the most urgent first.
    pub fn queued(&self) -> Vec<u32> {
        let mut queued = vec![0; 3];
        for tracked in self.calls.values().filter(|tracked| !tracked.is_dispatched) {
            queued[tracked.call.rank.index()] += 1;
        }
        queued
    }
}
