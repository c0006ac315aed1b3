use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{sleep, timeout};

use super::domain_lease::oldest_ack;
use super::fetch_permits::{FetchPermits, PermitStep};
use super::{
    DomainLease, EngineOrder, FetchPool, LedgerAction, LedgerLimits, LoadRefusal, LoadWaiter,
    LoadWorth, OrderKind, OrderPort, ResidencyLedger,
};
use crate::forward::{FleetState, ModelRef, UpstreamEntry};
use crate::id::{DomainId, InstanceId, UpstreamId};
use crate::peer::{
    OwnedDomain, OwnedItem, PeerAsk, PeerMesh, PermitBid, PermitDone, PermitGrant, UseItem, ask,
    reply,
};
use crate::telemetry::{LogEvent, LogName};
use crate::time::ClockSource;

/// Orders loads and evictions at the upstreams of the failure domains that this instance holds.
#[derive(Debug)]
pub struct LoadOwner {
    instance: InstanceId,
    clock: ClockSource,
    fleet: Arc<FleetState>,
    port: OrderPort,
    mesh: OnceLock<PeerMesh>,
    state: Mutex<OwnerState>,
}

#[derive(Debug, Default)]
struct OwnerState {
    leases: BTreeMap<DomainId, DomainLease>,
    others: BTreeSet<InstanceId>,
    /// The newest acknowledgement of each other instance, by failure domain.
    acks: BTreeMap<DomainId, BTreeMap<InstanceId, Duration>>,
    loaders: BTreeMap<UpstreamId, UpstreamLoader>,
    model_loads: Vec<Duration>,
    permits: FetchPermits,
    /// Loads from the weight store whose orders are unanswered.
    ordering: usize,
    pool: FetchPool,
    holders: BTreeMap<DomainId, HeardHolder>,
    /// The adapters in use by each instance.
    running: BTreeMap<InstanceId, RunningAdapters>,
}

/// The adapters that one instance has requests in flight for.
#[derive(Debug)]
struct RunningAdapters {
    told_at: Duration,
    running: BTreeMap<UpstreamId, BTreeSet<ModelRef>>,
}

/// The owner of a domain, as it told itself.
#[derive(Debug)]
struct HeardHolder {
    instance: InstanceId,
    heard_at: Duration,
}

#[derive(Debug)]
struct UpstreamLoader {
    entry: Arc<UpstreamEntry>,
    ledger: ResidencyLedger,
    wake: Arc<Notify>,
}

/// Engines of a failure domain for which loads may be on their way from the weight store at a time,
/// in hundredths. Beyond the store's own limit all loads slow down; the deployments known so far
/// allow between 0.53 and 1.07 loads for each engine.
const FETCHES_PER_100_ENGINES: usize = 67;

/// Time after which an order or report counts as lost. Engines answer within a few milliseconds; the
/// next order names the same count, so that giving up early does no harm.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Stands for a permit of the domain's own share, which is used when no pool is in reach.
const OWN_SHARE: u64 = u64::MAX;

/// Replied to a bid that lapsed at the pool.
const LAPSED_BID: u64 = 0;

/// Time that an answer to a bid is waited for; bids lapse at the pool before that.
const PERMIT_PATIENCE: Duration = Duration::from_secs(4);

/// Age after which an owner's news no longer shows that it is there.
const HOLDER_EXPIRY: Duration = Duration::from_millis(1500);

/// Age after which an instance's adapters in use no longer count; it has failed.
const RUNNING_EXPIRY: Duration = Duration::from_secs(2);

/// Pause before an upstream's loader looks again for permission to order.
const LEASE_PAUSE: Duration = Duration::from_millis(100);

/// Window in which base-model loads are counted against the store's rate.
const MODEL_LOAD_WINDOW: Duration = Duration::from_secs(5);

impl LoadOwner {
    /// Creates an owner that holds nothing yet.
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

    /// Asks for an adapter at an upstream of an owned domain.
    ///
    /// # Errors
    ///
    /// Returns a refusal if this instance does not own the upstream or the load would be late.
    pub async fn want(
        &self,
        upstream: &UpstreamId,
        model: &ModelRef,
        min_version: u64,
        worth: LoadWorth,
    ) -> Result<u64, LoadRefusal> {
        let now = self.clock.now();
        let (reply, answer) = oneshot::channel();
        let waiter = LoadWaiter {
            value: worth.value,
            late_at: now + worth.on_time_for,
            expires_at: now + worth.useful_for,
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
        let loader = state
            .loaders
            .get_mut(upstream)
            .ok_or(LoadRefusal::NotOwner)?;
        loader.ledger.want(model, min_version, waiter, now);
        loader.wake.notify_one();
        Ok(())
    }

    /// Takes the uses of adapters that an instance has told.
    pub fn note_uses(&self, instance: &InstanceId, uses: &[UseItem]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut running: BTreeMap<UpstreamId, BTreeSet<ModelRef>> = BTreeMap::new();
        for item in uses {
            let upstream = UpstreamId::from_name(&item.upstream);
            let model = ModelRef::from_text(&item.adapter);
            if let Some(loader) = state.loaders.get_mut(&upstream) {
                loader.ledger.note_uses(&model, item.count, now);
            }
            if item.running > 0 {
                running.entry(upstream).or_default().insert(model);
            }
        }
        let told_at = now;
        let running = RunningAdapters { told_at, running };
        state.running.insert(instance.clone(), running);
    }

    /// Lists the owned upstreams for the instances.
    #[must_use]
    pub fn owned_items(&self) -> Vec<OwnedItem> {
        let state = self.lock();
        let to_item = |(upstream, loader): (&UpstreamId, &UpstreamLoader)| OwnedItem {
            upstream: upstream.as_str().to_owned(),
            incarnation: loader.entry.incarnation,
            models: loader.ledger.models().iter().cloned().collect(),
            adapters: loader
                .ledger
                .residents()
                .map(|(model, version)| format!("{model}@{version}"))
                .collect(),
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

    /// Lists the domains that this instance holds.
    #[must_use]
    pub fn owned_domains(&self) -> Vec<OwnedDomain> {
        let state = self.lock();
        let to_claim = |(domain, lease): (&DomainId, &DomainLease)| {
            let epoch = lease.epoch()?;
            let domain = domain.as_str().to_owned();
            Some(OwnedDomain { domain, epoch })
        };
        state.leases.iter().filter_map(to_claim).collect()
    }

    /// Replaces the other instances; a lease is proved without the store only if all acknowledge.
    pub fn set_others(&self, others: BTreeSet<InstanceId>) {
        self.lock().others = others;
    }

    /// Takes the reply to a share that was sent at `sent_at` and claimed `domains`.
    pub fn note_reply(
        &self,
        peer: &InstanceId,
        domains: &[OwnedDomain],
        contested: &[String],
        sent_at: Duration,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        for claim in domains {
            let domain = DomainId::from_name(&claim.domain);
            if contested.contains(&claim.domain) {
                if let Some(lease) = state.leases.get_mut(&domain)
                    && lease.epoch() == Some(claim.epoch)
                {
                    lease.drop_held(now);
                    LogEvent::new(LogName::OwnershipReleased)
                        .with("domain", &domain)
                        .with("reason", "contested")
                        .with("by", peer)
                        .with_count("epoch", claim.epoch)
                        .send();
                }
                continue;
            }
            let acks = state.acks.entry(domain).or_default();
            acks.insert(peer.clone(), sent_at);
        }
    }

    /// Answers the claims of another instance; returns those that are contested.
    pub fn answer_claims(&self, claims: &[OwnedDomain]) -> Vec<String> {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut contested = Vec::new();
        for claim in claims {
            let domain = DomainId::from_name(&claim.domain);
            if let Some(lease) = state.leases.get_mut(&domain)
                && !lease.answer_claim(claim.epoch, now)
            {
                contested.push(claim.domain.clone());
            }
        }
        contested
    }

    /// Takes news that another instance holds domains.
    pub fn hear_holders(
        &self,
        holder: &InstanceId,
        domains: impl Iterator<Item = DomainId>,
        now: Duration,
    ) {
        let mut state = self.lock();
        for domain in domains {
            let heard = HeardHolder {
                instance: holder.clone(),
                heard_at: now,
            };
            state.holders.insert(domain, heard);
        }
    }

    /// Returns whether this instance grants the permits of all domains.
    pub(super) fn keeps_pool(&self, now: Duration) -> bool {
        self.lock().pool_holder(now).as_ref() == Some(&self.instance)
    }

    /// Sets the links through which permits are asked for.
    pub fn connect(&self, mesh: PeerMesh) {
        // A second call would bring the same links.
        let _set_before = self.mesh.set(mesh);
    }

    /// Grants a permit for a load to an instance when one is free.
    pub async fn grant_permit(&self, instance: &InstanceId, value: f64) -> u64 {
        let answer = {
            let mut state = self.lock();
            let now = self.clock.now();
            let answer = state.pool.bid(instance, value, now);
            state.pool.grant(self.fetch_limit(None), now);
            answer
        };
        answer.await.unwrap_or(LAPSED_BID)
    }

    /// Takes a permit back and grants it to the next bid.
    pub fn return_permit(&self, instance: &InstanceId, permit: u64) {
        let limit = self.fetch_limit(None);
        let mut state = self.lock();
        state.pool.give_back(instance, permit);
        state.pool.grant(limit, self.clock.now());
    }

    /// Returns how many loads may be on their way, over all domains or for one of them.
    fn fetch_limit(&self, domain: Option<&DomainId>) -> usize {
        let Some(routes) = self.fleet.routes() else {
            return 1;
        };
        let is_engine = |entry: &&Arc<UpstreamEntry>| {
            domain.is_none_or(|domain| entry.domain == *domain)
                && routes
                    .service(&entry.service)
                    .is_some_and(|service| service.engine.is_some())
        };
        let engines = self.fleet.upstreams().values().filter(is_engine).count();
        (engines * FETCHES_PER_100_ENGINES / 100).max(1)
    }

    /// Sends bids and returned permits to the pool.
    fn send_permits(self: &Arc<Self>, step: PermitStep, value: f64) {
        if step.bids == 0 && step.returns.is_empty() {
            return;
        }
        let now = self.clock.now();
        let holder = self.lock().pool_holder(now);
        for permit in step.returns {
            if permit == OWN_SHARE {
                continue;
            }
            match &holder {
                Some(holder) if *holder != self.instance => {
                    let (this, holder) = (Arc::clone(self), holder.clone());
                    tokio::spawn(async move { this.send_return(&holder, permit).await });
                }
                _ => self.return_permit(&self.instance, permit),
            }
        }
        for _ in 0..step.bids {
            let (this, holder) = (Arc::clone(self), holder.clone());
            tokio::spawn(async move {
                let permit = this.ask_permit(holder, value).await;
                let mut state = this.lock();
                state.permits.bid_answered(permit);
                for loader in state.loaders.values() {
                    loader.wake.notify_one();
                }
            });
        }
    }

    /// Returns whether the shares of the owned domains leave room for one more load.
    fn has_own_share(&self) -> bool {
        let state = self.lock();
        let ledgers = state.loaders.values().map(|loader| &loader.ledger);
        let fetches: usize = ledgers.map(ResidencyLedger::fetches).sum();
        let held = state
            .leases
            .iter()
            .filter(|(_, lease)| lease.epoch().is_some());
        let share: usize = held.map(|(domain, _)| self.fetch_limit(Some(domain))).sum();
        fetches + state.ordering + state.permits.free_count() < share
    }

    async fn send_return(&self, holder: &InstanceId, permit: u64) {
        let done = PermitDone {
            store: String::new(),
            permit,
            is_used: true,
        };
        let Some(mesh) = self.mesh.get() else {
            return;
        };
        let body = Some(ask::Body::Done(done));
        if let Err(error) = mesh.ask(holder, PeerAsk { body }).await {
            log::debug!("a permit was not returned to {holder} and expires there: {error}");
        }
    }

    /// Asks for a permit; without a pool in reach, the domain's own share applies.
    async fn ask_permit(&self, holder: Option<InstanceId>, value: f64) -> Option<u64> {
        let asked = async {
            let holder = holder?;
            if holder == self.instance {
                return Some(self.grant_permit(&holder, value).await);
            }
            let bid = PermitBid {
                store: String::new(),
                upstream: String::new(),
                adapter: String::new(),
                value,
            };
            let body = Some(ask::Body::Bid(bid));
            match self.mesh.get()?.ask(&holder, PeerAsk { body }).await {
                Ok(answer) => match answer.body {
                    Some(reply::Body::Grant(PermitGrant { permit, .. })) => Some(permit),
                    _ => None,
                },
                Err(error) => {
                    log::debug!("no permit from {holder}: {error}");
                    None
                }
            }
        };
        match timeout(PERMIT_PATIENCE, asked).await {
            Ok(Some(permit)) if permit != LAPSED_BID => Some(permit),
            Ok(None) => {
                sleep(LEASE_PAUSE).await;
                self.has_own_share().then_some(OWN_SHARE)
            }
            Ok(Some(_)) | Err(_) => None,
        }
    }

    /// Works on a lease under the lock, with the oldest acknowledgement of the other instances.
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

    /// Starts loaders for the upstreams of held domains and ends those of others.
    pub fn follow_upstreams(self: &Arc<Self>) {
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
                loader.ledger.release();
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
            tokio::spawn(Arc::clone(self).run_loader(upstream.clone(), wake));
        }
    }

    /// Stops ordering at once; the process ends.
    pub fn drop_leases(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        for lease in state.leases.values_mut() {
            lease.drop_held(now);
        }
        for loader in state.loaders.values_mut() {
            loader.ledger.release();
            loader.wake.notify_one();
        }
        state.loaders.clear();
    }

    /// Asks for permits that are missing and returns those that are not needed.
    fn balance_permits(self: &Arc<Self>, now: Duration) {
        let mut state = self.lock();
        let ledgers = || state.loaders.values().map(|loader| &loader.ledger);
        let fetches: usize = ledgers().map(ResidencyLedger::fetches).sum();
        let fetches = fetches + state.ordering;
        let waiting = ledgers().map(ResidencyLedger::waiting_fetches).sum();
        let value = ledgers().map(|ledger| ledger.best_value(now)).max();
        let step = state.permits.reconcile(fetches, waiting);
        drop(state);
        self.send_permits(step, f64::from(value.unwrap_or(0)));
    }

    async fn run_loader(self: Arc<Self>, upstream: UpstreamId, wake: Arc<Notify>) {
        loop {
            let now = self.clock.now();
            self.balance_permits(now);
            let Some((entry, step)) = self.next_step(&upstream, &wake, now) else {
                return;
            };
            match step {
                LoaderStep::Wait(until) => {
                    let pause = until.saturating_sub(now);
                    // A wake-up and the end of the pause mean the same: look again.
                    let _woken = timeout(pause, wake.notified()).await;
                }
                LoaderStep::Report => self.read_report(&upstream, entry).await,
                LoaderStep::Order(order, is_fetch) => {
                    self.send_order(&upstream, entry, order).await;
                    if is_fetch {
                        self.lock().ordering -= 1;
                    }
                }
            }
        }
    }

    fn next_step(
        &self,
        upstream: &UpstreamId,
        wake: &Arc<Notify>,
        now: Duration,
    ) -> Option<(Arc<UpstreamEntry>, LoaderStep)> {
        let mut state = self.lock();
        let entry = Arc::clone(&state.loaders.get(upstream)?.entry);
        let acked_at = state.acked_at(&entry.domain);
        let epoch = state.leases.get(&entry.domain).and_then(|lease| {
            let epoch = lease.epoch()?;
            lease.may_order(now, acked_at).then_some(epoch)
        });
        let missing = self.missing_model(&state, upstream, &entry, now);
        let loader = state.loaders.get_mut(upstream)?;
        if !Arc::ptr_eq(&loader.wake, wake) {
            return None;
        }
        let Some(epoch) = epoch else {
            return Some((entry, LoaderStep::Wait(now + LEASE_PAUSE)));
        };
        let order = |kind, model, version, expected| EngineOrder {
            kind,
            model,
            version,
            expected,
            holder: self.instance.clone(),
            fencing_token: epoch,
        };
        if let Some(model) = missing {
            let expected = loader.ledger.sequence();
            state
                .model_loads
                .retain(|at| now.saturating_sub(*at) < MODEL_LOAD_WINDOW);
            state.model_loads.push(now);
            let order = order(OrderKind::Load, ModelRef::new(&model, ""), 0, expected);
            return Some((entry, LoaderStep::Order(order, false)));
        }
        let is_free = state.permits.is_free();
        let busy = state.running_at(upstream, now);
        let loader = state.loaders.get_mut(upstream)?;
        let step = match loader.ledger.next_action(now, is_free, &busy) {
            LedgerAction::Wait(until) => LoaderStep::Wait(until),
            LedgerAction::Report => LoaderStep::Report,
            LedgerAction::Order {
                kind,
                model,
                version,
                expected,
                is_fetch,
            } => {
                if is_fetch {
                    state.permits.take();
                    state.ordering += 1;
                }
                LoaderStep::Order(order(kind, model, version, expected), is_fetch)
            }
        };
        Some((entry, step))
    }

    /// Names a base model that the upstream lacks and that fits the rate of the weight store.
    fn missing_model(
        &self,
        state: &OwnerState,
        upstream: &UpstreamId,
        entry: &UpstreamEntry,
        now: Duration,
    ) -> Option<String> {
        let loader = state.loaders.get(upstream)?;
        if entry.is_draining {
            return None;
        }
        let routes = self.fleet.routes()?;
        let engine = routes.service(&entry.service)?.engine.as_ref()?;
        let model = engine
            .models
            .iter()
            .find(|model| loader.ledger.lacks_model(&model.name))?;
        let held: f64 = engine
            .models
            .iter()
            .filter(|known| loader.ledger.models().contains(&known.name))
            .map(|known| known.weights_mb)
            .sum();
        if held + model.weights_mb > engine.weights_mb {
            return None;
        }
        let domains = self.domain_count();
        let window = MODEL_LOAD_WINDOW.as_secs_f64();
        let recent = state
            .model_loads
            .iter()
            .filter(|at| now.saturating_sub(**at) < MODEL_LOAD_WINDOW)
            .count();
        let allowed = (engine.loads_per_s * window / f64::from(domains)).max(1.0);
        let is_allowed = f64::from(u32::try_from(recent).unwrap_or(u32::MAX)) < allowed;
        is_allowed.then(|| model.name.clone())
    }

    fn domain_count(&self) -> u32 {
        let upstreams = self.fleet.upstreams();
        let domains: BTreeSet<&DomainId> = upstreams.values().map(|entry| &entry.domain).collect();
        u32::try_from(domains.len()).unwrap_or(u32::MAX).max(1)
    }

    async fn read_report(&self, upstream: &UpstreamId, entry: Arc<UpstreamEntry>) {
        let read = timeout(ORDER_TIMEOUT, (self.port.report)(Arc::clone(&entry))).await;
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(loader) = state.loaders.get_mut(upstream) else {
            return;
        };
        match read {
            Ok(Ok(report)) => loader.ledger.report_read(&report, now),
            Ok(Err(error)) => {
                loader.ledger.report_lost(now);
                log_lost(upstream, "report", error.detail());
            }
            Err(_) => {
                loader.ledger.report_lost(now);
                log_lost(upstream, "report", "no answer in time");
            }
        }
    }

    async fn send_order(
        &self,
        upstream: &UpstreamId,
        entry: Arc<UpstreamEntry>,
        order: EngineOrder,
    ) {
        let (kind, model, version) = (order.kind, order.model.clone(), order.version);
        let expected = order.expected.unwrap_or(0);
        let sent = timeout(ORDER_TIMEOUT, (self.port.order)(entry, order)).await;
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(loader) = state.loaders.get_mut(upstream) else {
            return;
        };
        match sent {
            Ok(Ok(outcome)) => {
                log::debug!(
                    "order {kind:?} {model} version {version} at {upstream} after {expected}: {outcome:?}"
                );
                loader
                    .ledger
                    .order_answered(kind, &model, version, outcome, now);
            }
            Ok(Err(error)) => {
                loader.ledger.order_lost(kind, &model, now);
                log_lost(upstream, "order", error.detail());
            }
            Err(_) => {
                loader.ledger.order_lost(kind, &model, now);
                log_lost(upstream, "order", "no answer in time");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, OwnerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Estimates the time until a load that is asked for now at an upstream of a domain is done.
fn backlog(state: &OwnerState, domain: &DomainId, limit: usize) -> Duration {
    let there = state
        .loaders
        .values()
        .filter(|loader| loader.entry.domain == *domain);
    let (mut waiting, mut time) = (0, Duration::ZERO);
    for loader in there {
        waiting += loader.ledger.waiting_fetches();
        time = time.max(loader.ledger.cold_time());
    }
    let waves = waiting / limit;
    time * u32::try_from(waves).unwrap_or(u32::MAX)
}

impl OwnerState {
    /// Returns the adapters with requests in flight at an upstream.
    fn running_at(&self, upstream: &UpstreamId, now: Duration) -> BTreeSet<ModelRef> {
        self.running
            .values()
            .filter(|told| now.saturating_sub(told.told_at) < RUNNING_EXPIRY)
            .filter_map(|told| told.running.get(upstream))
            .flatten()
            .cloned()
            .collect()
    }

    /// Returns the oldest of the newest acknowledgements of all other instances.
    fn acked_at(&self, domain: &DomainId) -> Option<Duration> {
        oldest_ack(&self.others, self.acks.get(domain)?)
    }

    /// Chooses the instance whose pool grants permits: the owner of the first domain by name.
    fn pool_holder(&self, now: Duration) -> Option<InstanceId> {
        self.holders
            .values()
            .find(|holder| now.saturating_sub(holder.heard_at) < HOLDER_EXPIRY)
            .map(|holder| holder.instance.clone())
    }
}

enum LoaderStep {
    Wait(Duration),
    Report,
    /// An order, and whether it starts a load from the weight store.
    Order(EngineOrder, bool),
}

fn log_lost(upstream: &UpstreamId, call: &str, reason: &str) {
    LogEvent::new(LogName::LoadFailed)
        .with("upstream", upstream)
        .with("call", call)
        .with("reason", reason)
        .send();
}
