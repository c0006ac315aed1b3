use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::id::{AdapterRef, DomainId, InstanceId, UpstreamId};
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
    heartbeats: Mutex<BTreeMap<InstanceId, HeartbeatSummary>>,
    /// Live peers that have missed heartbeats.
    unresponsive: Mutex<BTreeSet<InstanceId>>,
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
            heartbeats: Mutex::default(),
            unresponsive: Mutex::default(),
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
    pub fn set_own_residency(&self, items: Vec<ResidencyItem>) {
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
        self.residency().apply_heartbeat(&self.own, &body);
    }

    /// Takes the heartbeat of a peer.
    pub fn apply_heartbeat(&self, peer: &InstanceId, body: &HeartbeatBody) {
        self.residency().apply_heartbeat(peer, body);
        let summary = HeartbeatSummary {
            revision: body.revision,
            reachable: body
                .reachable
                .iter()
                .map(|domain| DomainId::from_name(domain))
                .collect(),
        };
        self.heartbeats().insert(peer.clone(), summary);
    }

    /// Returns a live peer with tables newer than `revision`.
    #[must_use]
    pub fn peer_with_newer_tables(
        &self,
        revision: u64,
        is_live: impl Fn(&InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let heartbeats = self.heartbeats();
        let newer = heartbeats
            .iter()
            .filter(|(peer, heartbeat)| heartbeat.revision > revision && is_live(peer));
        newer
            .max_by_key(|(_, heartbeat)| heartbeat.revision)
            .map(|(peer, _)| peer.clone())
    }

    /// Returns for each peer its failure domain and the domains that it says it reaches.
    #[must_use]
    pub fn reachability_reports(&self) -> Vec<(DomainId, BTreeSet<DomainId>)> {
        let members = self.members();
        let heartbeats = self.heartbeats();
        let reports = heartbeats.iter().filter_map(|(peer, heartbeat)| {
            Some((members.domain(peer)?.clone(), heartbeat.reachable.clone()))
        });
        reports.collect()
    }

    /// Sets which live peers have missed heartbeats; new work avoids the upstreams that they own.
    pub fn set_unresponsive_peers(&self, unresponsive: BTreeSet<InstanceId>) {
        *self
            .unresponsive
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = unresponsive;
    }

    /// Forgets what dead peers told.
    pub fn retain(&self, is_live: impl Fn(&InstanceId) -> bool) {
        self.residency()
            .retain_owners(|owner| *owner == self.own || is_live(owner));
        self.heartbeats().retain(|peer, _| is_live(peer));
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
        let unresponsive = self
            .unresponsive
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let candidate = |row: &crate::table::UpstreamRow| {
            let owner = owners.owner(&row.name)?;
            let state = residency.upstream(&row.name);
            Some(PlacementCandidate {
                upstream: row.name.clone(),
                domain: row.domain.clone(),
                is_resident: state
                    .zip(adapter)
                    .is_some_and(|(state, adapter)| state.adapters.contains(adapter)),
                running: state.map_or(0, |state| state.running),
                queued: state.map_or([0; 3], |state| state.queued),
                max_running: pool.max_running,
                is_healthy: state.is_some_and(|state| state.is_healthy)
                    && !unresponsive.contains(owner),
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

    fn heartbeats(&self) -> MutexGuard<'_, BTreeMap<InstanceId, HeartbeatSummary>> {
        self.heartbeats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the last heartbeat of a peer said besides the state of upstreams.
#[derive(Debug)]
struct HeartbeatSummary {
    revision: u64,
    reachable: BTreeSet<DomainId>,
}
