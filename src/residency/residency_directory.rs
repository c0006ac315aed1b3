use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::forward::ModelRef;
use crate::id::{InstanceId, UpstreamId};
use crate::peer::OwnedUpstream;

/// The owner and the resident models and adapters of each upstream, as reported by the owners.
#[derive(Debug, Default)]
pub struct ResidencyDirectory {
    entries: Mutex<BTreeMap<UpstreamId, DirectoryEntry>>,
}

#[derive(Debug)]
struct DirectoryEntry {
    owner: InstanceId,
    refreshed_at: Duration,
    models: BTreeMap<String, u64>,
    adapters: BTreeMap<ModelRef, u64>,
    backlog: Duration,
}

/// Age of the last report after which its sender no longer counts as the owner.
const OWNER_EXPIRY: Duration = Duration::from_millis(1500);

impl ResidencyDirectory {
    /// Creates an empty directory.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an owner's report about its upstreams; returns the upstreams that are marked as
    /// unchanged although the directory has no entry from this owner.
    pub fn merge(&self, owner: &InstanceId, items: &[OwnedUpstream], now: Duration) -> Vec<String> {
        let mut entries = self.lock();
        let mut unknown = Vec::new();
        for item in items {
            let backlog = Duration::from_millis(u64::from(item.backlog_ms));
            if item.is_unchanged {
                let known = entries
                    .get_mut(&UpstreamId::from_name(&item.upstream))
                    .filter(|entry| entry.owner == *owner);
                match known {
                    Some(entry) => {
                        entry.refreshed_at = now;
                        entry.backlog = backlog;
                    }
                    None => unknown.push(item.upstream.clone()),
                }
                continue;
            }
            let adapters = item.adapters.iter().filter_map(|text| parse_adapter(text));
            entries.insert(
                UpstreamId::from_name(&item.upstream),
                DirectoryEntry {
                    owner: owner.clone(),
                    refreshed_at: now,
                    models: models(item),
                    adapters: adapters.collect(),
                    backlog,
                },
            );
        }
        unknown
    }

    /// Records an adapter or a base model that has just become resident, ahead of the owner's next
    /// report.
    pub fn record_resident(&self, upstream: &UpstreamId, model: &ModelRef, version: u64) {
        if let Some(entry) = self.lock().get_mut(upstream) {
            if model.has_adapter() {
                entry.adapters.insert(model.clone(), version);
            } else {
                entry.models.insert(model.model.clone(), version);
            }
        }
    }

    /// Removes an adapter that the upstream has refused as not resident.
    pub fn record_absent(&self, upstream: &UpstreamId, model: &ModelRef) {
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.adapters.remove(model);
        }
    }

    /// Returns the resident version of an adapter or a base model if it is at least `min_version`.
    #[must_use]
    pub fn resident_version(
        &self,
        upstream: &UpstreamId,
        model: &ModelRef,
        min_version: u64,
    ) -> Option<u64> {
        let entries = self.lock();
        let entry = entries.get(upstream)?;
        if !model.has_adapter() {
            let version = *entry.models.get(&model.model)?;
            return (version >= min_version).then_some(version);
        }
        let version = *entry.adapters.get(model)?;
        (version >= min_version).then_some(version)
    }

    /// Returns whether an upstream holds a version of the adapter below `min_version`.
    #[must_use]
    pub fn is_outdated(&self, upstream: &UpstreamId, model: &ModelRef, min_version: u64) -> bool {
        self.lock()
            .get(upstream)
            .and_then(|entry| entry.adapters.get(model).copied())
            .is_some_and(|version| version < min_version)
    }

    /// Returns the owner of an upstream if its last report is recent enough.
    #[must_use]
    pub fn owner_of(&self, upstream: &UpstreamId, now: Duration) -> Option<InstanceId> {
        self.lock()
            .get(upstream)
            .filter(|entry| now.saturating_sub(entry.refreshed_at) < OWNER_EXPIRY)
            .map(|entry| entry.owner.clone())
    }

    /// Returns the queueing delay of a new load at an upstream, as last reported by the owner.
    #[must_use]
    pub fn backlog(&self, upstream: &UpstreamId) -> Duration {
        self.lock()
            .get(upstream)
            .map_or(Duration::ZERO, |entry| entry.backlog)
    }

    /// Returns whether the base model is resident, or the directory has no entry of the upstream.
    #[must_use]
    pub fn may_have_model(&self, upstream: &UpstreamId, model: &str) -> bool {
        self.lock()
            .get(upstream)
            .is_none_or(|entry| entry.models.contains_key(model))
    }

    /// Removes the upstreams for which `is_listed` is false.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.lock().retain(|upstream, _| is_listed(upstream));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, DirectoryEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the base models of an item with their versions. An instance of an older build states
/// none, which count as zero.
fn models(item: &OwnedUpstream) -> BTreeMap<String, u64> {
    let versions = item.model_versions.iter().copied();
    let versions = versions.chain(std::iter::repeat(0));
    item.models.iter().cloned().zip(versions).collect()
}

fn parse_adapter(text: &str) -> Option<(ModelRef, u64)> {
    let (model, version) = text.rsplit_once('@')?;
    Some((ModelRef::from_text(model), version.parse().ok()?))
}
