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
    news: Mutex<BTreeMap<InstanceId, PeerNews>>,
    /// Live peers that have missed heartbeats.
    quiet: Mutex<BTreeSet<InstanceId>>,
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
            news: Mutex::default(),
            quiet: Mutex::default(),
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
        self.residency().apply_heartbeat(&self.own, &body);
    }

    /// Takes the heartbeat of a peer.
    pub fn adopt_heartbeat(&self, peer: &InstanceId, body: &HeartbeatBody) {
        self.residency().apply_heartbeat(peer, body);
        let news = PeerNews {
            revision: body.revision,
            reachable: body
                .reachable
                .iter()
                .map(|domain| DomainId::from_name(domain))
                .collect(),
        };
        self.news().insert(peer.clone(), news);
    }

    /// Returns a live peer with tables newer than `revision`.
    #[must_use]
    pub fn newer_peer(
        &self,
        revision: u64,
        is_live: impl Fn(&InstanceId) -> bool,
    ) -> Option<InstanceId> {
        let news = self.news();
        let newer = news
            .iter()
            .filter(|(peer, news)| news.revision > revision && is_live(peer));
        newer
            .max_by_key(|(_, news)| news.revision)
            .map(|(peer, _)| peer.clone())
    }

    /// Returns for each peer its failure domain and the domains that it says it reaches.
    #[must_use]
    pub fn reach_reports(&self) -> Vec<(DomainId, BTreeSet<DomainId>)> {
        let members = self.members();
        let news = self.news();
        let reports = news.iter().filter_map(|(peer, news)| {
            Some((members.domain(peer)?.clone(), news.reachable.clone()))
        });
        reports.collect()
    }

    /// Sets which live peers have missed heartbeats; new work avoids the upstreams that they own.
    pub fn set_quiet(&self, quiet: BTreeSet<InstanceId>) {
        *self.quiet.lock().unwrap_or_else(PoisonError::into_inner) = quiet;
    }

    /// Forgets what dead peers told.
    pub fn retain(&self, is_live: impl Fn(&InstanceId) -> bool) {
        self.residency()
            .retain_owners(|owner| *owner == self.own || is_live(owner));
        self.news().retain(|peer, _| is_live(peer));
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
        let quiet = self.quiet.lock().unwrap_or_else(PoisonError::into_inner);
        let candidate = |row: &crate::table::UpstreamRow| {
            let owner = owners.owner(&row.name)?;
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
                is_healthy: known.is_some_and(|known| known.is_healthy) && !quiet.contains(owner),
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

    fn news(&self) -> MutexGuard<'_, BTreeMap<InstanceId, PeerNews>> {
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the last heartbeat of a peer said besides the state of upstreams.
#[derive(Debug)]
struct PeerNews {
    revision: u64,
    reachable: BTreeSet<DomainId>,
}
