use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::id::{AdapterRef, DomainId, InstanceId, UpstreamId};
use crate::member::{MemberView, ResidencyView};
use crate::owner::OwnerMap;
use crate::peer::{HeartbeatBody, ResidencyItem};
use crate::policy::PlacementCandidate;
use crate::table::{TableSet, UpstreamState};

/// The local view of the fleet: membership, residency, ownership and the heartbeats of peers.
///
/// Each part has its own lock.
#[derive(Debug)]
pub struct FleetView {
    own: InstanceId,
    members: Mutex<MemberView>,
    residency: Mutex<ResidencyView>,
    owners: Mutex<Arc<OwnerMap>>,
    heartbeats: Mutex<BTreeMap<InstanceId, HeartbeatSummary>>,
    /// Live peers that have missed several heartbeats.
    unresponsive: Mutex<BTreeSet<InstanceId>>,
}

impl FleetView {
    /// Creates a view without residency, owners or peers for the instance `own`.
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

    /// Locks the membership; hold the guard only for short computations.
    pub fn members(&self) -> MutexGuard<'_, MemberView> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the upstream states that their owners reported in heartbeats.
    pub fn residency(&self) -> MutexGuard<'_, ResidencyView> {
        self.residency
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current assignment of upstreams to instances.
    pub fn owners(&self) -> Arc<OwnerMap> {
        Arc::clone(&self.owners.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the assignment of upstreams to instances.
    pub fn set_owners(&self, owners: OwnerMap) {
        *self.owners.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(owners);
    }

    /// Records the state of the upstreams that this instance owns.
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

    /// Records the upstream states, table revision and reachable domains of a peer's heartbeat.
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

    /// Returns the live peer with the newest tables, if they are newer than `revision`.
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

    /// Returns, for each peer, its failure domain and the domains that it reports as reachable.
    #[must_use]
    pub fn reachability_reports(&self) -> Vec<(DomainId, BTreeSet<DomainId>)> {
        let members = self.members();
        let heartbeats = self.heartbeats();
        let reports = heartbeats.iter().filter_map(|(peer, heartbeat)| {
            Some((members.domain(peer)?.clone(), heartbeat.reachable.clone()))
        });
        reports.collect()
    }

    /// Sets the live peers that have missed heartbeats; placement treats the upstreams that they
    /// own as unhealthy.
    pub fn set_unresponsive_peers(&self, unresponsive: BTreeSet<InstanceId>) {
        *self
            .unresponsive
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = unresponsive;
    }

    /// Discards the states and heartbeats of peers that are not live.
    pub fn retain(&self, is_live: impl Fn(&InstanceId) -> bool) {
        self.residency()
            .retain_owners(|owner| *owner == self.own || is_live(owner));
        self.heartbeats().retain(|peer, _| is_live(peer));
    }

    /// Lists the placement candidates of a pool: its upstreams that have an owner.
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

    /// Returns the owner of an upstream, or `None` if no instance is assigned to it.
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

/// The content of a peer's last heartbeat other than the states of its upstreams.
#[derive(Debug)]
struct HeartbeatSummary {
    revision: u64,
    reachable: BTreeSet<DomainId>,
}
