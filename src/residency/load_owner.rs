use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::owner_state::{KnownHolder, OwnerState, ProcessLink, RunningAdapters, UpstreamLoader};
use super::{
    ClaimAnswer, DomainLease, LeaseClaim, LedgerLimits, LoadPriority, LoadRefusal, LoadWaiter,
    OrderPort, ResidencyLedger,
};
use crate::forward::{FleetState, ModelRef, UpstreamEntry};
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::peer::{AdapterUsage, GossipReply, LivePeer, OwnedDomain, OwnedUpstream, PeerMesh};
use crate::telemetry::{LogEvent, LogName};
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
        let acked_at = state.acked_at(domain);
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

    /// Lists the domains that this instance holds, with the epochs of its leases.
    #[must_use]
    pub fn owned_domains(&self) -> Vec<OwnedDomain> {
        let state = self.lock();
        let to_claim = |(domain, lease): (&DomainId, &DomainLease)| {
            let claim = lease.claim()?;
            Some(OwnedDomain {
                domain: domain.as_str().to_owned(),
                epoch: claim.epoch,
                revision: claim.revision,
                vouched_incarnation: 0,
            })
        };
        state.leases.iter().filter_map(to_claim).collect()
    }

    /// Replaces the set of other instances. A lease stays valid without a renewal in the store only
    /// if all of them acknowledge it.
    pub fn set_others(&self, others: BTreeSet<InstanceId>) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.others = others;
        state.update_quorum(now);
    }

    /// Records which processes of the peers are linked. `peers` must have been read just before.
    pub fn observe_links(&self, peers: &[LivePeer]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let to_link = |peer: &LivePeer| {
            let known = state.links.get(&peer.id);
            let known = known.filter(|link| link.incarnation == peer.incarnation);
            let linked_at = known.map_or(now, |link| link.linked_at);
            let incarnation = peer.incarnation;
            let link = ProcessLink {
                incarnation,
                linked_at,
            };
            (peer.id.clone(), link)
        };
        state.links = peers.iter().map(to_link).collect();
        state.update_quorum(now);
    }

    /// Marks the claims to domains that a peer can't have taken over since their epochs began, so
    /// that the peer can acknowledge them after a restart.
    pub fn vouch_claims(&self, peer: &LivePeer, claims: &mut [OwnedDomain]) {
        let state = self.lock();
        let Some(link) = state.links.get(&peer.id) else {
            return;
        };
        for claim in claims {
            let domain = DomainId::from_name(&claim.domain);
            let acked_at = state.acks.get(&domain).and_then(|acks| acks.get(&peer.id));
            let lease = state.leases.get(&domain);
            let is_vouched = lease.is_some_and(|lease| {
                lease.epoch() == Some(claim.epoch)
                    && lease.vouches_for(link.linked_at, acked_at.copied())
            });
            if is_vouched {
                claim.vouched_incarnation = link.incarnation;
            }
        }
    }

    /// Handles the reply to a gossip message that was sent at `sent_at` and claimed `domains`.
    ///
    /// Gives up the leases of the contested domains and records an acknowledgement for those that
    /// the reply acknowledges.
    pub fn handle_gossip_reply(
        &self,
        peer: &InstanceId,
        domains: &[OwnedDomain],
        reply: &GossipReply,
        sent_at: Duration,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        for claim in domains {
            let domain = DomainId::from_name(&claim.domain);
            if reply.contested.contains(&claim.domain) {
                if let Some(lease) = state.leases.get_mut(&domain)
                    && lease.epoch() == Some(claim.epoch)
                {
                    lease.release(now);
                    LogEvent::new(LogName::OwnershipReleased)
                        .with("domain", &domain)
                        .with("reason", "contested")
                        .with("by", peer)
                        .with_count("epoch", claim.epoch)
                        .send();
                }
            } else if reply.acknowledges(&claim.domain) {
                let acks = state.acks.entry(domain).or_default();
                acks.insert(peer.clone(), sent_at);
            }
        }
    }

    /// Answers the claims of a peer; the reply lists the domains that are not acknowledged.
    ///
    /// `incarnation` identifies this process. A claim to a domain without known upstreams is
    /// answered like any other, since an acknowledgement binds this instance when it learns of them.
    pub fn answer_claims(
        &self,
        peer: &InstanceId,
        incarnation: u64,
        claims: &[OwnedDomain],
    ) -> GossipReply {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut reply = GossipReply::default();
        for claim in claims {
            let domain = DomainId::from_name(&claim.domain);
            let lease = state
                .leases
                .entry(domain.clone())
                .or_insert_with(|| DomainLease::new(domain.clone(), self.instance.clone(), 0, now));
            let lease_claim = LeaseClaim {
                epoch: claim.epoch,
                revision: claim.revision,
                is_vouched: claim.vouched_incarnation == incarnation,
            };
            let known_epoch = lease.known_epoch();
            let answer = lease.answer_claim(peer, lease_claim, now);
            let name = match answer {
                ClaimAnswer::Acknowledged if known_epoch == claim.epoch => continue,
                ClaimAnswer::Acknowledged => LogName::OwnershipAcknowledged,
                ClaimAnswer::Contested => {
                    reply.contested.push(claim.domain.clone());
                    LogName::OwnershipContested
                }
                ClaimAnswer::Unverified => {
                    reply.unverified.push(claim.domain.clone());
                    LogName::OwnershipUnverified
                }
            };
            LogEvent::new(name)
                .with("domain", &domain)
                .with("peer", peer)
                .with_count("epoch", claim.epoch)
                .with_count("known_epoch", known_epoch)
                .send();
        }
        reply
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

    /// Forgets what peers have claimed about domains without upstreams. The names come from peers, so
    /// that their number is not limited otherwise.
    pub fn forget_idle_domains(&self, is_known: impl Fn(&DomainId) -> bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .leases
            .retain(|domain, lease| is_known(domain) || !lease.is_idle(now));
        state.holders.retain(|domain, holder| {
            is_known(domain) || now.saturating_sub(holder.seen_at) < DomainLease::TAKEOVER_TIMEOUT
        });
    }

    /// Sets the links to the peers, over which permits are requested.
    pub fn set_mesh(&self, mesh: PeerMesh) {
        // A second call would pass the same links, so it is ignored.
        let _already_set = self.mesh.set(mesh);
    }

    /// Calls `work` with the lease of a domain while the state is locked; creates the lease if it
    /// does not exist.
    ///
    /// The second argument of `work` is the result of [`OwnerState::acked_at`] for the domain.
    pub(super) fn with_lease<T>(
        &self,
        domain: &DomainId,
        rank: u32,
        work: impl FnOnce(&mut DomainLease, Option<Duration>) -> T,
    ) -> T {
        let now = self.clock.now();
        let mut state = self.lock();
        let acked_at = state.acked_at(domain);
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
