use std::collections::BTreeMap;

use super::UpstreamResidency;
use crate::id::{AdapterRef, InstanceId, OwnerEpoch, RequestRank, UpstreamId};
use crate::peer::{HeartbeatBody, ResidencyItem};

/// Upstreams that one owner may tell about; bounds the memory that a faulty peer can take.
const MAX_UPSTREAMS: usize = 4096;

/// Adapters that one upstream may hold.
const MAX_ADAPTERS: usize = 4096;

/// What all owners told about their upstreams.
///
/// Where two instances tell about the same upstream, the higher epoch counts. What the other one
/// told is kept, since it counts again if the first one dies.
#[derive(Debug, Clone, Default)]
pub struct ResidencyView {
    owners: BTreeMap<InstanceId, OwnerReport>,
    /// The owner with the highest epoch of each upstream.
    current: BTreeMap<UpstreamId, InstanceId>,
}

/// What one owner told.
#[derive(Debug, Clone, Default)]
struct OwnerReport {
    /// Upstreams by the numbers of the present link.
    numbers: BTreeMap<u32, UpstreamId>,
    upstreams: BTreeMap<UpstreamId, UpstreamResidency>,
}

impl ResidencyView {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the heartbeat of an owner; unreadable items are skipped.
    pub fn apply_heartbeat(&mut self, owner: &InstanceId, body: &HeartbeatBody) {
        if body.is_first {
            self.remove_owner(owner);
        }
        for item in &body.residency {
            self.adopt_item(owner, item);
        }
    }

    /// Forgets what an instance told, because its process has ended or it has been silent for too
    /// long.
    pub fn remove_owner(&mut self, owner: &InstanceId) {
        let Some(report) = self.owners.remove(owner) else {
            return;
        };
        for upstream in report.upstreams.into_keys() {
            self.choose(&upstream);
        }
    }

    /// Forgets what all instances told for which `is_live` is false.
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

    /// Returns the state of an upstream; none if no live owner told about it.
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

    /// Iterates over the upstreams that hold an adapter.
    pub fn holders<'a>(
        &'a self,
        adapter: &'a AdapterRef,
    ) -> impl Iterator<Item = (&'a UpstreamId, &'a UpstreamResidency)> {
        self.upstreams()
            .filter(move |(_, state)| state.adapters.contains(adapter))
    }

    fn adopt_item(&mut self, owner: &InstanceId, item: &ResidencyItem) {
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
            self.choose(&upstream);
            return;
        }
        let Some(upstream) = report.numbers.get(&item.number).cloned() else {
            return;
        };
        if item.is_dropped {
            report.numbers.remove(&item.number);
            report.upstreams.remove(&upstream);
            self.choose(&upstream);
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

    /// Finds the owner with the highest epoch.
    fn choose(&mut self, upstream: &UpstreamId) {
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
