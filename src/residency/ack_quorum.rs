use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::DomainLease;
use crate::id::InstanceId;

/// The instances whose acknowledgements together replace a renewal of a lease.
#[derive(Debug, Default)]
pub struct AckQuorum {
    required: BTreeSet<InstanceId>,
    /// When an instance was last left out.
    shrunk_at: Duration,
}

impl AckQuorum {
    /// Creates a quorum without instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the instances, which must be all others that are listed or linked.
    pub fn set_required(&mut self, required: BTreeSet<InstanceId>, now: Duration) {
        if !self.required.is_subset(&required) {
            self.shrunk_at = now;
        }
        self.required = required;
    }

    /// Returns the least recent of the instances' latest acknowledgements of a lease; `None` if one is
    /// missing, or if there are no other instances, so that only the store can confirm the holder.
    ///
    /// After an instance has been left out, acknowledgements count only from the next renewal on: that
    /// instance may have taken the domain over, and no other one need know of it.
    #[must_use]
    pub fn acked_at(
        &self,
        lease: &DomainLease,
        acks: &BTreeMap<InstanceId, Duration>,
    ) -> Option<Duration> {
        if lease.renewed_at()? < self.shrunk_at {
            return None;
        }
        let acked = self.required.iter().map(|id| acks.get(id).copied());
        let acked: Option<Vec<Duration>> = acked.collect();
        acked?.into_iter().min()
    }
}
