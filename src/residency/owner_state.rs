use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::fetch_permits::FetchPermits;
use super::{AckQuorum, DomainLease, FetchPool, ResidencyLedger};
use crate::forward::{ModelRef, UpstreamEntry};
use crate::id::{DomainId, InstanceId, UpstreamId};

/// The state of a [`LoadOwner`](super::LoadOwner), guarded by one lock.
#[derive(Debug, Default)]
pub(super) struct OwnerState {
    pub(super) leases: BTreeMap<DomainId, DomainLease>,
    /// All other registered instances.
    pub(super) others: BTreeSet<InstanceId>,
    pub(super) quorum: AckQuorum,
    /// The latest acknowledgement of each other instance, by failure domain.
    pub(super) acks: BTreeMap<DomainId, BTreeMap<InstanceId, Duration>>,
    /// The linked process of each other instance.
    pub(super) links: BTreeMap<InstanceId, ProcessLink>,
    pub(super) loaders: BTreeMap<UpstreamId, UpstreamLoader>,
    /// The times of recent orders to load a base model.
    pub(super) model_loads: Vec<Duration>,
    pub(super) permits: FetchPermits,
    /// The number of unanswered orders that start a load from the weight store.
    pub(super) unanswered_fetches: usize,
    pub(super) pool: FetchPool,
    /// The last known holder of each domain, which may be this instance.
    pub(super) holders: BTreeMap<DomainId, KnownHolder>,
    /// The adapters with requests in flight at each instance, as last reported.
    pub(super) running: BTreeMap<InstanceId, RunningAdapters>,
}

/// The adapters for which one instance has requests in flight.
#[derive(Debug)]
pub(super) struct RunningAdapters {
    pub(super) reported_at: Duration,
    pub(super) running: BTreeMap<UpstreamId, BTreeSet<ModelRef>>,
}

/// A process of another instance to which there is a link.
#[derive(Debug)]
pub(super) struct ProcessLink {
    pub(super) incarnation: u64,
    /// The time at which the process was first seen, which is after its start.
    pub(super) linked_at: Duration,
}

/// The instance that last claimed a domain.
#[derive(Debug)]
pub(super) struct KnownHolder {
    pub(super) instance: InstanceId,
    pub(super) seen_at: Duration,
}

/// The loader of one upstream in an owned domain.
#[derive(Debug)]
pub(super) struct UpstreamLoader {
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) ledger: ResidencyLedger,
    /// Wakes the loader task; also identifies it, so that a replaced task ends.
    pub(super) wake: Arc<Notify>,
}

/// Age of an instance's report after which it is ignored, because the instance has failed.
const RUNNING_EXPIRY: Duration = Duration::from_secs(2);

/// Age of the last claim after which its sender no longer counts as the holder.
const HOLDER_EXPIRY: Duration = Duration::from_millis(1500);

impl OwnerState {
    /// Returns the adapters with requests in flight at an upstream.
    pub(super) fn running_at(&self, upstream: &UpstreamId, now: Duration) -> BTreeSet<ModelRef> {
        self.running
            .values()
            .filter(|report| now.saturating_sub(report.reported_at) < RUNNING_EXPIRY)
            .filter_map(|report| report.running.get(upstream))
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns the least recent of the other instances' latest acknowledgements of the claim to a
    /// domain, or `None` if one of them is missing.
    pub(super) fn acked_at(&self, domain: &DomainId) -> Option<Duration> {
        let lease = self.leases.get(domain)?;
        self.quorum.acked_at(lease, self.acks.get(domain)?)
    }

    /// Derives the instances whose acknowledgements a lease needs. Linked instances count too, since a
    /// list that lags does not name those that registered last.
    pub(super) fn update_quorum(&mut self, now: Duration) {
        let others = self.others.iter().chain(self.links.keys());
        self.quorum.set_required(others.cloned().collect(), now);
    }

    /// Returns the instance whose pool grants permits: among the live holders, the one whose domain
    /// name sorts first.
    pub(super) fn pool_holder(&self, now: Duration) -> Option<InstanceId> {
        self.holders
            .values()
            .find(|holder| now.saturating_sub(holder.seen_at) < HOLDER_EXPIRY)
            .map(|holder| holder.instance.clone())
    }
}
