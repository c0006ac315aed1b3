use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use super::domain_lease::oldest_ack;
use super::fetch_permits::FetchPermits;
use super::{DomainLease, FetchPool, ResidencyLedger};
use crate::forward::{ModelRef, UpstreamEntry};
use crate::id::{DomainId, InstanceId, UpstreamId};

/// What an owner knows, under one lock.
#[derive(Debug, Default)]
pub(super) struct OwnerState {
    pub(super) leases: BTreeMap<DomainId, DomainLease>,
    pub(super) others: BTreeSet<InstanceId>,
    /// The newest acknowledgement of each other instance, by failure domain.
    pub(super) acks: BTreeMap<DomainId, BTreeMap<InstanceId, Duration>>,
    pub(super) loaders: BTreeMap<UpstreamId, UpstreamLoader>,
    pub(super) model_loads: Vec<Duration>,
    pub(super) permits: FetchPermits,
    /// Loads from the weight store whose orders are unanswered.
    pub(super) unanswered_fetches: usize,
    pub(super) pool: FetchPool,
    pub(super) holders: BTreeMap<DomainId, KnownHolder>,
    /// The adapters in use by each instance.
    pub(super) running: BTreeMap<InstanceId, RunningAdapters>,
}

/// The adapters that one instance has requests in flight for.
#[derive(Debug)]
pub(super) struct RunningAdapters {
    pub(super) reported_at: Duration,
    pub(super) running: BTreeMap<UpstreamId, BTreeSet<ModelRef>>,
}

/// The owner of a domain, as it told itself.
#[derive(Debug)]
pub(super) struct KnownHolder {
    pub(super) instance: InstanceId,
    pub(super) seen_at: Duration,
}

#[derive(Debug)]
pub(super) struct UpstreamLoader {
    pub(super) entry: Arc<UpstreamEntry>,
    pub(super) ledger: ResidencyLedger,
    pub(super) wake: Arc<Notify>,
}

/// Age after which an instance's adapters in use no longer count; it has failed.
const RUNNING_EXPIRY: Duration = Duration::from_secs(2);

/// Age after which an owner's news no longer shows that it is there.
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

    /// Returns the oldest of the newest acknowledgements of all other instances.
    pub(super) fn acked_at(&self, domain: &DomainId) -> Option<Duration> {
        oldest_ack(&self.others, self.acks.get(domain)?)
    }

    /// Chooses the instance whose pool grants permits: the owner of the first domain by name.
    pub(super) fn pool_holder(&self, now: Duration) -> Option<InstanceId> {
        self.holders
            .values()
            .find(|holder| now.saturating_sub(holder.seen_at) < HOLDER_EXPIRY)
            .map(|holder| holder.instance.clone())
    }
}
