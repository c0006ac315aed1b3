use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::forward::ModelRef;
use crate::id::{InstanceId, UpstreamId};
use crate::peer::OwnedItem;

/// Where models and adapters are resident, as the owners tell it.
#[derive(Debug, Default)]
pub struct ResidencyDirectory {
    entries: Mutex<BTreeMap<UpstreamId, DirectoryEntry>>,
}

#[derive(Debug)]
struct DirectoryEntry {
    owner: InstanceId,
    refreshed_at: Duration,
    models: BTreeSet<String>,
    adapters: BTreeMap<ModelRef, u64>,
    backlog: Duration,
}

/// Age after which an owner's news no longer shows that it is there.
const OWNER_EXPIRY: Duration = Duration::from_millis(1500);

impl ResidencyDirectory {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes what an owner says of its upstreams; returns those that it calls unchanged though
    /// nothing is known of them from it.
    pub fn merge(&self, owner: &InstanceId, items: &[OwnedItem], now: Duration) -> Vec<String> {
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
                    models: item.models.iter().cloned().collect(),
                    adapters: adapters.collect(),
                    backlog,
                },
            );
        }
        unknown
    }

    /// Notes an adapter that has just become resident.
    pub fn record_resident(&self, upstream: &UpstreamId, model: &ModelRef, version: u64) {
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.adapters.insert(model.clone(), version);
        }
    }

    /// Notes an adapter that the upstream has refused as absent.
    pub fn record_absent(&self, upstream: &UpstreamId, model: &ModelRef) {
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.adapters.remove(model);
        }
    }

    /// Returns the version of a resident adapter that is at least `min_version`.
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
            return entry.models.contains(&model.model).then_some(0);
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

    /// Returns the owner of an upstream if it has told of it lately.
    #[must_use]
    pub fn owner_of(&self, upstream: &UpstreamId, now: Duration) -> Option<InstanceId> {
        self.lock()
            .get(upstream)
            .filter(|entry| now.saturating_sub(entry.refreshed_at) < OWNER_EXPIRY)
            .map(|entry| entry.owner.clone())
    }

    /// Returns the time that a load would wait at an upstream.
    #[must_use]
    pub fn backlog(&self, upstream: &UpstreamId) -> Duration {
        self.lock()
            .get(upstream)
            .map_or(Duration::ZERO, |entry| entry.backlog)
    }

    /// Returns whether the base model is resident, or nothing is known of the upstream.
    #[must_use]
    pub fn may_have_model(&self, upstream: &UpstreamId, model: &str) -> bool {
        self.lock()
            .get(upstream)
            .is_none_or(|entry| entry.models.contains(model))
    }

    /// Forgets upstreams that `is_listed` does not name.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.lock().retain(|upstream, _| is_listed(upstream));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, DirectoryEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn parse_adapter(text: &str) -> Option<(ModelRef, u64)> {
    let (model, version) = text.rsplit_once('@')?;
    Some((ModelRef::from_text(model), version.parse().ok()?))
}
