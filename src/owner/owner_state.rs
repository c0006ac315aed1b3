use std::collections::{BTreeMap, BTreeSet};

use super::owned_call::OwnedCall;
use super::{OwnerCall, OwnerPhase};
use crate::id::{AdapterRef, EngineName, OwnerEpoch, RequestId};
use crate::permit::LoadPermit;
use crate::policy::UpstreamScheduler;

/// What an owner knows about its upstream; guarded by one lock per upstream.
#[derive(Debug)]
pub(super) struct OwnerState {
    pub phase: OwnerPhase,
    pub epoch: OwnerEpoch,
    pub scheduler: UpstreamScheduler,
    pub calls: BTreeMap<RequestId, OwnedCall>,
    /// Adapters that may be used, with the names that the engine knows them by.
    pub names: BTreeMap<AdapterRef, EngineName>,
    /// Load permits in use.
    pub permits: BTreeMap<AdapterRef, LoadPermit>,
    /// Loads that wait for an answer of the permit holder.
    pub asking: BTreeSet<AdapterRef>,
    /// Adapters of the own epoch in the last status that the scheduler does not know.
    pub untracked: BTreeSet<EngineName>,
    /// Second copies of adapters whose eviction has been ordered; they are not used again, as an
    /// order without an answer may still arrive.
    pub evicting: BTreeSet<EngineName>,
    /// Those of them whose order is under way.
    pub dropping: BTreeSet<EngineName>,
    /// Loads and evictions that the engine has not confirmed.
    pub orders: u32,
    /// Adapters of former owners that must not be evicted yet.
    pub held: BTreeSet<AdapterRef>,
    /// The start of the engine process; none before the first status.
    pub incarnation: Option<u64>,
    pub is_healthy: bool,
    /// Whether the pool table lets the upstream take new work.
    pub is_active: bool,
}

impl OwnerState {
    /// Returns whether a call has to wait for a load.
    pub fn is_stalled(&self, call: &OwnerCall) -> bool {
        let adapter = call.adapter.as_ref();
        adapter.is_some_and(|adapter| !self.names.contains_key(adapter))
    }

    /// Returns the number of dispatched calls.
    pub fn running(&self) -> u32 {
        let running = self
            .calls
            .values()
            .filter(|owned| owned.is_dispatched)
            .count();
        u32::try_from(running).unwrap_or(u32::MAX)
    }

    /// Returns the number of queued calls of each rank, the most urgent first.
    pub fn queued(&self) -> Vec<u32> {
        let mut queued = vec![0; 3];
        for owned in self.calls.values().filter(|owned| !owned.is_dispatched) {
            queued[owned.call.rank.index()] += 1;
        }
        queued
    }
}
