use std::collections::BTreeMap;

use super::UpstreamResidency;
use crate::id::{AdapterRef, InstanceId, OwnerEpoch, RequestRank, UpstreamId};
use crate::peer::{HeartbeatBody, ResidencyItem};

/// Maximum number of upstreams that one owner may report; bounds the memory that a faulty peer can
/// use.
const MAX_UPSTREAMS: usize = 4096;

/// Maximum number of resident adapters of one upstream, for the same reason.
const MAX_ADAPTERS: usize = 4096;

/// The state of all upstreams as reported by their owners.
///
/// If two instances report the same upstream, the one with the higher epoch takes precedence. The
/// other report is kept, because it takes effect again if the first instance dies.
#[derive(Debug, Clone, Default)]
pub struct ResidencyView {
    owners: BTreeMap<InstanceId, OwnerReport>,
    /// For each upstream, the owner that reported the highest epoch.
    current: BTreeMap<UpstreamId, InstanceId>,
}

/// The upstreams that one owner has reported.
#[derive(Debug, Clone, Default)]
struct OwnerReport {
    /// Upstreams by the item numbers of the current link.
    numbers: BTreeMap<u32, UpstreamId>,
    upstreams: BTreeMap<UpstreamId, UpstreamResidency>,
}

impl ResidencyView {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the heartbeat of an owner; malformed items are skipped.
    pub fn apply_heartbeat(&mut self, owner: &InstanceId, body: &HeartbeatBody) {
        if body.is_first {
            self.remove_owner(owner);
        }
        for item in &body.residency {
            self.apply_item(owner, item);
        }
    }

    /// Removes the report of an instance whose process has ended or that has been silent for too
    /// long.
    pub fn remove_owner(&mut self, owner: &InstanceId) {
        let Some(report) = self.owners.remove(owner) else {
            return;
        };
        for upstream in report.upstreams.into_keys() {
            self.update_current(&upstream);
        }
    }

    /// Removes the reports of all instances for which `is_live` returns `false`.
    pub fn retain_owners(&mut self, is_live: impl Fn(&InstanceId) -> bool) {
        let dead: Vec<_> = self
            .owners
            .keys()
            .filter(|owner| !is_live(owner))
            .cloned()
            .collect();
        for owner in dead {
            self.remove_owner(&owner);
        }
    }

    /// Returns the state of an upstream, or `None` if no owner reports it.
    #[must_use]
    pub fn upstream(&self, upstream: &UpstreamId) -> Option<&UpstreamResidency> {
        let owner = self.current.get(upstream)?;
        self.owners.get(owner)?.upstreams.get(upstream)
    }

    /// Iterates over the states of all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamId, &UpstreamResidency)> {
        self.current.iter().filter_map(|(upstream, owner)| {
            let state = self.owners.get(owner)?.upstreams.get(upstream)?;
            Some((upstream, state))
        })
    }

    /// Iterates over the upstreams at which an adapter is resident.
    pub fn holders<'a>(
        &'a self,
        adapter: &'a AdapterRef,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a UpstreamResidency)> {
        self.upstreams()
            .filter(move |(_, state)| state.adapters.contains(adapter))
    }

    fn apply_item(&mut self, owner: &InstanceId, item: &ResidencyItem) {
        let report = self.owners.entry(owner.clone()).or_default();
        if item.is_full && !item.upstream.is_empty() {
            let upstream = UpstreamId::from_name(&item.upstream);
            if report.numbers.len().max(report.upstreams.len()) >= MAX_UPSTREAMS
                && !report.upstreams.contains_key(&upstream)
            {
                return;
            }
            report.numbers.retain(|_, known| *known != upstream);
            report.numbers.insert(item.number, upstream.clone());
            let state = UpstreamResidency {
                owner: owner.clone(),
                epoch: OwnerEpoch::from_u64(item.epoch),
                adapters: adapters(&item.added).take(MAX_ADAPTERS).collect(),
                running: item.running,
                queued: queued(item),
                is_healthy: item.is_healthy,
            };
            report.upstreams.insert(upstream.clone(), state);
            self.update_current(&upstream);
            return;
        }
        let Some(upstream) = report.numbers.get(&item.number).cloned() else {
            return;
        };
        if item.is_dropped {
            report.numbers.remove(&item.number);
            report.upstreams.remove(&upstream);
            self.update_current(&upstream);
        } else if let Some(state) = report.upstreams.get_mut(&upstream) {
            for adapter in adapters(&item.removed) {
                state.adapters.remove(&adapter);
            }
            let free = MAX_ADAPTERS.saturating_sub(state.adapters.len());
            state.adapters.extend(adapters(&item.added).take(free));
            state.running = item.running;
            state.queued = queued(item);
            state.is_healthy = item.is_healthy;
        }
    }

    /// Selects the owner with the highest epoch as the current owner of an upstream.
    fn update_current(&mut self, upstream: &UpstreamId) {
        let best = self
            .owners
            .iter()
            .filter_map(|(owner, report)| Some((report.upstreams.get(upstream)?.epoch, owner)))
            .max();
        match best {
            Some((_, owner)) => self.current.insert(upstream.clone(), owner.clone()),
            None => self.current.remove(upstream),
        };
    }
}

fn adapters(texts: &[String]) -> impl Iterator<Item = AdapterRef> {
    texts.iter().filter_map(|text| text.parse().ok())
}

fn queued(item: &ResidencyItem) -> [u32; RequestRank::ALL.len()] {
    std::array::from_fn(|rank| item.queued.get(rank).copied().unwrap_or(0))
}
