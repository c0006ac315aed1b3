use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::owner_state::{KnownHolder, OwnerState, RunningAdapters, UpstreamLoader};
use super::{
    DomainLease, LedgerLimits, LoadPriority, LoadRefusal, LoadWaiter, OrderPort, ResidencyLedger,
};
use crate::forward::{FleetState, ModelRef, UpstreamEntry};
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::peer::{AdapterUsage, OwnedUpstream, PeerMesh};
use crate::time::{ClockSource, spawn_supervised};

/// Orders loads and evictions at the upstreams of the failure domains that this instance owns.
#[derive(Debug)]
pub struct LoadOwner {
    pub(super) instance: InstanceId,
    pub(super) clock: ClockSource,
    pub(super) fleet: Arc<FleetState>,
    pub(super) port: OrderPort,
    pub(super) mesh: OnceLock<PeerMesh>,
    pub(super) state: Mutex<OwnerState>,
}

impl LoadOwner {
    /// Creates an owner without leases; [`set_mesh`](Self::set_mesh) must be called before permits
    /// can be requested from other instances.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        clock: ClockSource,
        fleet: Arc<FleetState>,
        port: OrderPort,
    ) -> Arc<Self> {
        Arc::new(Self {
            instance,
            clock,
            fleet,
            port,
            mesh: OnceLock::new(),
            state: Mutex::default(),
        })
    }

    /// Requests an adapter at an upstream of an owned domain; returns the resident version.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this instance does not own the upstream, cannot confirm its lease, or
    /// the load would finish too late.
    pub async fn request_load(
        &self,
        upstream: &UpstreamId,
        model: &ModelRef,
        min_version: u64,
        priority: LoadPriority,
    ) -> Result<u64, LoadRefusal> {
        let now = self.clock.now();
        let (reply, answer) = oneshot::channel();
        let waiter = LoadWaiter {
            value: priority.value,
            late_at: now + priority.late_after,
            expires_at: now + priority.expires_after,
            reply,
        };
        self.add_waiter(upstream, model, min_version, waiter, now)?;
        answer.await.unwrap_or(Err(LoadRefusal::NotOwner))
    }

    fn add_waiter(
        &self,
        upstream: &UpstreamId,
        model: &ModelRef,
        min_version: u64,
        waiter: LoadWaiter,
        now: Duration,
    ) -> Result<(), LoadRefusal> {
        let mut state = self.lock();
        let loader = state.loaders.get(upstream).ok_or(LoadRefusal::NotOwner)?;
        let domain = &loader.entry.domain;
        let acked_at = self.acked_at(&state, domain);
        let lease = state.leases.get(domain);
        if lease.is_some_and(|lease| lease.is_regain_overdue(now, acked_at)) {
            return Err(LoadRefusal::Unconfirmed);
        }
        let loader = state
            .loaders
            .get_mut(upstream)
            .ok_or(LoadRefusal::NotOwner)?;
        loader.ledger.request_load(model, min_version, waiter, now);
        loader.wake.notify_one();
        Ok(())
    }

    /// Records the adapter uses that an instance reported.
    pub fn record_uses(&self, instance: &InstanceId, uses: &[AdapterUsage]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut running: BTreeMap<UpstreamId, BTreeSet<ModelRef>> = BTreeMap::new();
        for item in uses {
            let upstream = UpstreamId::from_name(&item.upstream);
            let model = ModelRef::from_text(&item.adapter);
            if let Some(loader) = state.loaders.get_mut(&upstream) {
                loader.ledger.record_uses(&model, item.count, now);
            }
            if item.running > 0 {
                running.entry(upstream).or_default().insert(model);
            }
        }
        let reported_at = now;
        let running = RunningAdapters {
            reported_at,
            running,
        };
        state.running.insert(instance.clone(), running);
    }

    /// Lists the owned upstreams with their resident models and adapters, for gossip messages.
    #[must_use]
    pub fn owned_items(&self) -> Vec<OwnedUpstream> {
        let state = self.lock();
        let to_item = |(upstream, loader): (&UpstreamId, &UpstreamLoader)| OwnedUpstream {
            upstream: upstream.as_str().to_owned(),
            incarnation: loader.entry.incarnation,
            models: loader.ledger.models().keys().cloned().collect(),
            model_versions: loader.ledger.models().values().copied().collect(),
            adapters: loader
                .ledger
                .residents()
                .map(|(model, version)| format!("{model}@{version}"))
                .collect(),
            is_unchanged: false,
            backlog_ms: {
                let domain = &loader.entry.domain;
                let time = backlog(&state, domain, self.fetch_limit(Some(domain)));
                u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
            },
        };
        state
            .loaders
            .iter()
            .filter(|(_, loader)| loader.ledger.is_known())
            .map(to_item)
            .collect()
    }

    /// Replaces the set of other instances. A lease stays valid without a renewal in the store only
    /// if all of them acknowledge it.
    pub fn set_others(&self, others: BTreeSet<InstanceId>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.others = others;
        state.update_quorum(now);
    }

    /// Records `holder`, which may be this instance, as the holder of `domains`.
    pub fn record_holders(
        &self,
        holder: &InstanceId,
        domains: impl Iterator<Item = DomainId>,
        now: Duration,
    ) {
        let mut state = self.lock();
        for domain in domains {
            let holder_entry = KnownHolder {
                instance: holder.clone(),
                seen_at: now,
            };
            state.holders.insert(domain, holder_entry);
        }
    }

    /// Sets the links to the peers, over which permits are requested.
    pub fn set_mesh(&self, mesh: PeerMesh) {
        // A second call would pass the same links, so it is ignored.
        let _already_set = self.mesh.set(mesh);
    }

    /// Calls `work` with the lease of a domain while the state is locked; creates the lease if it
    /// does not exist.
    ///
    /// The second argument of `work` is the result of [`acked_at`](Self::acked_at) for the domain.
    pub(super) fn with_lease<T>(
        &self,
        domain: &DomainId,
        rank: u32,
        work: impl FnOnce(&mut DomainLease, Option<Duration>) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let acked_at = self.acked_at(&state, domain);
        let lease = state
            .leases
            .entry(domain.clone())
            .or_insert_with(|| DomainLease::new(domain.clone(), self.instance.clone(), rank, now));
        lease.set_rank(rank);
        work(lease, acked_at)
    }

    /// Starts loaders for the upstreams of held domains and stops all others.
    pub fn sync_loaders(self: &Arc<Self>) {
        let now = self.clock.now();
        let upstreams = self.fleet.upstreams();
        let Some(routes) = self.fleet.routes() else {
            return;
        };
        let mut state = self.lock();
        let held: BTreeSet<DomainId> = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.epoch().is_some())
            .map(|(domain, _)| domain.clone())
            .collect();
        let is_owned = |entry: &UpstreamEntry| {
            held.contains(&entry.domain)
                && routes
                    .service(&entry.service)
                    .is_some_and(|service| service.engine.is_some())
        };
        state.loaders.retain(|upstream, loader| {
            let is_kept = upstreams.get(upstream).is_some_and(|entry| is_owned(entry));
            if !is_kept {
                loader.ledger.refuse_waiters();
                loader.wake.notify_one();
            }
            is_kept
        });
        for (upstream, entry) in upstreams.iter().filter(|(_, entry)| is_owned(entry)) {
            let limits = routes
                .service(&entry.service)
                .and_then(|service| service.engine.as_ref())
                .map_or_else(LedgerLimits::default, |engine| LedgerLimits {
                    adapter_slots: engine.adapter_slots,
                    ..LedgerLimits::default()
                });
            if let Some(loader) = state.loaders.get_mut(upstream) {
                loader.ledger.set_limits(limits);
                if loader.entry.incarnation != entry.incarnation {
                    loader.ledger.restarted(now);
                    loader.wake.notify_one();
                }
                loader.entry = Arc::clone(entry);
                continue;
            }
            let wake = Arc::new(Notify::new());
            let loader = UpstreamLoader {
                entry: Arc::clone(entry),
                ledger: ResidencyLedger::new(limits, now),
                wake: Arc::clone(&wake),
            };
            state.loaders.insert(upstream.clone(), loader);
            let (owner, upstream) = (Arc::clone(self), upstream.clone());
            spawn_supervised("loader", move || {
                Arc::clone(&owner).run_loader(upstream.clone(), Arc::clone(&wake))
            });
        }
    }

    /// Gives up all leases and refuses all waiting requests, because the process is shutting down.
    pub fn release_leases(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        for lease in state.leases.values_mut() {
            lease.release(now);
        }
        for loader in state.loaders.values_mut() {
            loader.ledger.refuse_waiters();
            loader.wake.notify_one();
        }
        state.loaders.clear();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, OwnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Estimates the queueing delay of a load that is requested now at an upstream of a domain.
fn backlog(state: &OwnerState, domain: &DomainId, limit: usize) -> Duration {
    let domain_loaders = state
        .loaders
        .values()
        .filter(|loader| loader.entry.domain == *domain);
    let (mut waiting, mut time) = (0, Duration::ZERO);
    for loader in domain_loaders {
        waiting += loader.ledger.waiting_fetches();
        time = time.max(loader.ledger.cold_time());
    }
    let rounds = waiting / limit;
    time * u32::try_from(rounds).unwrap_or(u32::MAX)
}
