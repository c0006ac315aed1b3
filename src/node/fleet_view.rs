use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::id::{AdapterRef, InstanceId, UpstreamId};
use crate::member::{MemberView, ResidencyView};
use crate::owner::OwnerMap;
use crate::peer::{HeartbeatBody, ResidencyItem};
use crate::policy::PlacementCandidate;
use crate::table::{TableSet, UpstreamState};

/// What this instance knows about the fleet; each part has its own lock.
#[derive(Debug)]
pub struct FleetView {
    own: InstanceId,
    members: Mutex<MemberView>,
    residency: Mutex<ResidencyView>,
    owners: Mutex<Arc<OwnerMap>>,
    revisions: Mutex<BTreeMap<InstanceId, u64>>,
}

impl FleetView {
    /// Creates the view of an instance that has heard of no other.
    #[must_use]
    pub fn new(own: InstanceId, members: MemberView) -> Self {
        Self {
            own,
            members: Mutex::new(members),
            residency: Mutex::default(),
            owners: Mutex::default(),
            revisions: Mutex::default(),
        }
    }

    /// Locks the membership.
    pub fn members(&self) -> MutexGuard<'_, MemberView> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what owners told about their upstreams.
    pub fn residency(&self) -> MutexGuard<'_, ResidencyView> {
        self.residency
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the present assignment of upstreams.
    pub fn owners(&self) -> Arc<OwnerMap> {
        Arc::clone(&self.owners.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the assignment of upstreams.
    pub fn set_owners(&self, owners: OwnerMap) {
        *self.owners.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(owners);
    }

    /// Takes the state of the upstreams that this instance owns.
    pub fn adopt_own(&self, items: Vec<ResidencyItem>) {
        let residency = items
            .into_iter()
            .zip(0..)
            .map(|(item, number)| ResidencyItem { number, ..item })
            .collect();
        let body = HeartbeatBody {
            is_first: true,
            residency,
            ..HeartbeatBody::default()
        };
        self.residency().adopt(&self.own, &body);
    }

    /// Takes the heartbeat of a peer.
    pub fn adopt_heartbeat(&self, peer: &InstanceId, body: &HeartbeatBody) {
        self.residency().adopt(peer, body);
        self.revisions().insert(peer.clone(), body.revision);
    }

    /// Returns a live peer with tables newer than `revision`.
    #[must_use]
    pub fn newer_peer(
        &self,
        revision: u64,
        is_live: impl Fn(&InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let revisions = self.revisions();
        let newer = revisions
            .iter()
            .filter(|(peer, known)| **known > revision && is_live(peer));
        newer
            .max_by_key(|(_, known)| **known)
            .map(|(peer, _)| peer.clone())
    }

    /// Forgets what dead peers told.
    pub fn retain(&self, is_live: impl Fn(&InstanceId) -> bool) {
        self.residency()
            .retain_owners(|owner| *owner == self.own || is_live(owner));
        self.revisions().retain(|peer, _| is_live(peer));
    }

    /// Lists the upstreams of a pool for placement.
    #[must_use]
    pub fn candidates(
        &self,
        tables: &TableSet,
        pool: &str,
        adapter: Option<&AdapterRef>,
    ) -> Vec<PlacementCandidate> {
        let Some(pool) = tables.pools.pool(pool) else {
            return Vec::new();
        };
        let (owners, residency) = (self.owners(), self.residency());
        let candidate = |row: &crate::table::UpstreamRow| {
            owners.owner(&row.name)?;
            let known = residency.upstream(&row.name);
            Some(PlacementCandidate {
                upstream: row.name.clone(),
                domain: row.domain.clone(),
                is_resident: known
                    .zip(adapter)
                    .is_some_and(|(known, adapter)| known.adapters.contains(adapter)),
                running: known.map_or(0, |known| known.running),
                queued: known.map_or([0; 3], |known| known.queued),
                max_running: pool.max_running,
                is_healthy: known.is_some_and(|known| known.is_healthy),
                is_active: row.state == UpstreamState::Active,
            })
        };
        pool.upstreams.iter().filter_map(candidate).collect()
    }

    /// Returns the owner of an upstream.
    #[must_use]
    pub fn owner(&self, upstream: &UpstreamId) -> Option<InstanceId> {
        self.owners().owner(upstream).cloned()
    }

    fn revisions(&self) -> MutexGuard<'_, BTreeMap<InstanceId, u64>> {
        self.revisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
