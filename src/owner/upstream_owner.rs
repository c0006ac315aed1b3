use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use xxhash_rust::xxh3::Xxh3;

use super::call_outcome::CallOutcome;
use super::call_runner;
use super::owned_call::OwnedCall;
use super::owner_state::OwnerState;
use super::upstream_client::UpstreamClient;
use super::{OwnerCall, OwnerContext, OwnerPhase};
use crate::audit::AuditKind;
use crate::error::{Error, ErrorKind, RunState};
use crate::id::{AdapterRef, EngineName, OwnerEpoch, RequestId, UpstreamId};
use crate::peer::{CallChunk, CallOpen, ResidencyItem};
use crate::permit::LoadPermit;
use crate::policy::{
    PermitConfig, ScheduleAction, SchedulerConfig, SuspectVerdict, UpstreamScheduler, WorkItem,
};
use crate::table::{PoolKind, PoolRow, StoreRow, UpstreamRow, UpstreamState};
use crate::telemetry::{LogEvent, LogName, MetricName};
use crate::upstream::{EngineClient, EngineStatus, PlainClient};

/// Time allowed for an order or a status question to an engine; loads have their own limit.
const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before an eviction without an answer is ordered again.
const ORDER_PAUSE: Duration = Duration::from_millis(500);
/// Longest call of a plain service; the deadline of a call ends most of them sooner.
const CALL_TIMEOUT: Duration = Duration::from_mins(10);
/// Tokens assumed for a request that states no limit.
const DEFAULT_TOKENS: u32 = 64;

/// Drives the scheduler of one owned upstream; clones share the state.
#[derive(Debug, Clone)]
pub struct UpstreamOwner {
    inner: Arc<OwnerInner>,
}

#[derive(Debug)]
pub(super) struct OwnerInner {
    pub context: Arc<OwnerContext>,
    pub row: UpstreamRow,
    pub pool: PoolRow,
    pub client: UpstreamClient,
    state: Mutex<OwnerState>,
}

impl UpstreamOwner {
    /// Creates an owner that queues calls until [`UpstreamOwner::activate`].
    #[must_use]
    pub fn new(
        context: &Arc<OwnerContext>,
        pool: &PoolRow,
        store: Option<&StoreRow>,
        row: &UpstreamRow,
        epoch: OwnerEpoch,
    ) -> Self {
        let client = match pool.kind {
            PoolKind::Model => UpstreamClient::Engine {
                orders: EngineClient::new(row.address, ORDER_TIMEOUT),
                loads: EngineClient::new(row.address, longest_load(store)),
            },
            PoolKind::Plain => UpstreamClient::Plain(PlainClient::new(row.address, CALL_TIMEOUT)),
        };
        let now = context.timer.clock().now();
        let state = OwnerState {
            phase: OwnerPhase::Acquiring,
            epoch,
            scheduler: UpstreamScheduler::new(SchedulerConfig::from_rows(pool, store), now),
            calls: BTreeMap::new(),
            names: BTreeMap::new(),
            permits: BTreeMap::new(),
            asking: BTreeSet::new(),
            orders: 0,
            strays: BTreeSet::new(),
            held: BTreeSet::new(),
            incarnation: None,
            is_healthy: false,
            is_active: row.state == UpstreamState::Active,
        };
        Self {
            inner: Arc::new(OwnerInner {
                context: Arc::clone(context),
                row: row.clone(),
                pool: pool.clone(),
                client,
                state: Mutex::new(state),
            }),
        }
    }

    /// Borrows the name of the upstream.
    #[must_use]
    pub fn upstream(&self) -> &UpstreamId {
        &self.inner.row.name
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.inner.row.address
    }

    /// Borrows the row of the pool as it was when the ownership began.
    #[must_use]
    pub fn pool(&self) -> &PoolRow {
        &self.inner.pool
    }

    /// Returns the epoch.
    #[must_use]
    pub fn epoch(&self) -> OwnerEpoch {
        self.state().epoch
    }

    /// Returns the phase.
    #[must_use]
    pub fn phase(&self) -> OwnerPhase {
        self.state().phase
    }

    /// Returns the number of dispatched calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.state().running()
    }

    /// Returns whether the engine has confirmed all loads and evictions.
    #[must_use]
    pub fn has_settled(&self) -> bool {
        self.state().orders == 0
    }

    /// Returns the state as it is told to other instances.
    #[must_use]
    pub fn residency(&self) -> ResidencyItem {
        let state = self.state();
        ResidencyItem {
            upstream: self.upstream().as_str().to_owned(),
            epoch: state.epoch.to_u64(),
            running: state.running(),
            queued: state.queued(),
            added: state.names.keys().map(ToString::to_string).collect(),
            removed: Vec::new(),
            is_full: true,
            is_healthy: state.is_healthy && state.phase != OwnerPhase::Releasing,
            number: 0,
            is_dropped: false,
        }
    }

    /// Sets the epoch and starts to order and dispatch.
    pub fn activate(&self, epoch: OwnerEpoch) {
        {
            let mut state = self.state();
            state.epoch = epoch;
            state.phase = OwnerPhase::Active;
            if matches!(self.inner.client, UpstreamClient::Plain(_)) {
                state.is_healthy = true;
            }
        }
        self.tick();
    }

    /// Follows a change of the row that does not end the ownership.
    pub fn set_active(&self, is_active: bool) {
        self.state().is_active = is_active;
    }

    /// Queues a call, or refuses it as not run.
    pub fn submit(&self, call: OwnerCall) {
        let call = Arc::new(call);
        match self.try_submit(&call) {
            Ok(actions) => self.perform(actions),
            Err(error) => send_refusal(&call, &error),
        }
    }

    fn try_submit(&self, call: &Arc<OwnerCall>) -> Result<Vec<ScheduleAction>, Error> {
        let context = &self.inner.context;
        let now = context.timer.clock().now();
        let fingerprint = fingerprint(&call.open);
        let mut state = self.state();
        if state.phase == OwnerPhase::Releasing {
            return Err(self.unavailable("its owner is changing"));
        }
        let is_reattached = state
            .calls
            .get(&call.request)
            .is_some_and(|owned| owned.is_dispatched);
        if is_reattached && call.open.is_repeatable {
            // The link to the entry was lost in mid-stream and the entry has come back.
            let is_stalled = state.is_stalled(call);
            let owned = OwnedCall::new(call, fingerprint, is_stalled, now);
            if let Some(former) = state.calls.insert(
                call.request,
                OwnedCall {
                    is_dispatched: true,
                    ..owned
                },
            ) {
                former.preempted.notify_one();
            }
            drop(state);
            self.spawn_runner(call.request);
            return Ok(Vec::new());
        }
        if state.calls.contains_key(&call.request) {
            return Err(self.unavailable("the same request is already queued"));
        }
        if !state.is_active {
            return Err(self.unavailable("it is draining"));
        }
        let verdict = self.judge(call)?;
        let item = WorkItem {
            request: call.request,
            adapter: call.adapter.clone(),
            caller: call.caller.clone(),
            rank: call.rank,
            deadline: call.deadline,
            tokens: DEFAULT_TOKENS,
            is_preemptible: false,
            is_alone: verdict == SuspectVerdict::Alone,
        };
        let is_stalled = state.is_stalled(call);
        let owned = OwnedCall::new(call, fingerprint, is_stalled, now);
        state.calls.insert(call.request, owned);
        Ok(state.scheduler.offer(item, now))
    }

    /// Judges a call by the crashes that its content is charged with.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Quarantined`] if the call must not run any more.
    pub(super) fn judge(&self, call: &OwnerCall) -> Result<SuspectVerdict, Error> {
        let verdict = self
            .inner
            .context
            .suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .judge(fingerprint(&call.open), self.now());
        if verdict == SuspectVerdict::Refused {
            return Err(Error::new(
                ErrorKind::Quarantined,
                format!("request {} was in flight at repeated crashes", call.request),
            ));
        }
        Ok(verdict)
    }

    fn unavailable(&self, reason: &str) -> Error {
        Error::new(
            ErrorKind::Unavailable,
            format!("upstream {}: {reason}", self.upstream()),
        )
        .with_retry_after(Duration::from_millis(200))
    }

    /// Lets the scheduler act on the passing of time and asks for load permits.
    pub fn tick(&self) {
        let now = self.now();
        let (actions, bids) = {
            let mut state = self.state();
            if state.phase != OwnerPhase::Active {
                return;
            }
            let abandoned: Vec<RequestId> = state
                .calls
                .values()
                .filter(|owned| !owned.is_dispatched && owned.call.sink.is_closed())
                .map(|owned| owned.call.request)
                .collect();
            let mut actions = Vec::new();
            for request in abandoned {
                state.calls.remove(&request);
                actions.extend(state.scheduler.withdrawn(request, now));
            }
            actions.extend(state.scheduler.tick(now));
            let bids: Vec<_> = state.scheduler.bids(now).into_iter().take(1).collect();
            (actions, bids)
        };
        self.perform(actions);
        for bid in bids {
            self.ask_permit(&bid.adapter, bid.value);
        }
    }

    fn ask_permit(&self, adapter: &AdapterRef, value: f64) {
        let Some(store) = self.inner.pool.store.clone() else {
            return;
        };
        if !self.state().asking.insert(adapter.clone()) {
            return;
        }
        let (owner, adapter) = (self.clone(), adapter.clone());
        tokio::spawn(async move {
            let permits = &owner.inner.context.permits;
            let acquired = permits
                .acquire(&store, owner.upstream(), &adapter, value)
                .await;
            let Ok(Some(permit)) = acquired else {
                owner.state().asking.remove(&adapter);
                return;
            };
            match owner.take_permit(&adapter, permit) {
                Ok(actions) => owner.perform(actions),
                Err(unused) => permits.finish(unused, false).await,
            }
        });
    }

    /// Hands a permit to the scheduler, or gives it back if no load will use it.
    fn take_permit(
        &self,
        adapter: &AdapterRef,
        permit: LoadPermit,
    ) -> std::result::Result<Vec<ScheduleAction>, LoadPermit> {
        let mut state = self.state();
        state.asking.remove(adapter);
        if state.phase != OwnerPhase::Active {
            return Err(permit);
        }
        let actions = state.scheduler.permit_granted(adapter, self.now());
        if actions.is_empty() {
            return Err(permit);
        }
        state.permits.insert(adapter.clone(), permit);
        Ok(actions)
    }

    /// Carries out what the scheduler decided.
    fn perform(&self, actions: Vec<ScheduleAction>) {
        for action in actions {
            match action {
                ScheduleAction::Dispatch(request) => self.dispatch(request),
                ScheduleAction::Evict(adapter) => self.spawn_evict(adapter),
                ScheduleAction::Load(adapter) => self.spawn_load(adapter),
                ScheduleAction::Preempt(request) => {
                    if let Some(owned) = self.state().calls.get(&request) {
                        owned.preempted.notify_one();
                    }
                }
                ScheduleAction::Refuse {
                    request,
                    kind,
                    retry_after,
                } => {
                    let Some(owned) = self.state().calls.remove(&request) else {
                        continue;
                    };
                    let error = Error::new(kind, format!("upstream {}", self.upstream()))
                        .with_retry_after(retry_after);
                    self.inner.context.metrics.add(
                        MetricName::Refusals,
                        &self.inner.pool.name,
                        kind.as_str(),
                        1,
                    );
                    send_refusal(&owned.call, &error);
                }
            }
        }
    }

    fn dispatch(&self, request: RequestId) {
        let now = self.now();
        {
            let mut state = self.state();
            let Some(owned) = state.calls.get_mut(&request) else {
                return;
            };
            owned.is_dispatched = true;
            let (metrics, pool) = (&self.inner.context.metrics, &self.inner.pool.name);
            let (rank, waited) = (
                owned.call.rank.as_str(),
                now.saturating_sub(owned.offered_at),
            );
            metrics.record(MetricName::QueueWait, pool, rank, waited);
            if owned.is_stalled {
                metrics.add(MetricName::LoadStalls, pool, rank, 1);
            }
        }
        self.spawn_runner(request);
    }

    fn spawn_runner(&self, request: RequestId) {
        let owner = self.clone();
        tokio::spawn(async move {
            let Some((call, preempted)) = owner.running_call(request) else {
                return;
            };
            let outcome = call_runner::run_call(&owner, &call, &preempted).await;
            owner.finish(&call, outcome);
        });
    }

    fn running_call(&self, request: RequestId) -> Option<(Arc<OwnerCall>, Arc<Notify>)> {
        let state = self.state();
        state
            .calls
            .get(&request)
            .map(|owned| (Arc::clone(&owned.call), Arc::clone(&owned.preempted)))
    }

    /// Ends a run: frees the scheduler's slot and tells the entry about a failure.
    fn finish(&self, call: &Arc<OwnerCall>, outcome: CallOutcome) {
        let now = self.now();
        let actions = {
            let mut state = self.state();
            let is_current = state
                .calls
                .get(&call.request)
                .is_some_and(|owned| Arc::ptr_eq(&owned.call, call));
            if !is_current {
                // The entry has come back over another link; the slot belongs to the new run.
                return;
            }
            state.calls.remove(&call.request);
            state.scheduler.finished(call.request, now)
        };
        match outcome {
            CallOutcome::Finished | CallOutcome::Abandoned => {}
            CallOutcome::Preempted => {
                let error = Error::new(
                    ErrorKind::Upstream,
                    "the request was cancelled to admit urgent work",
                );
                send_refusal(call, &error.with_run_state(RunState::Unknown));
            }
            CallOutcome::Failed(error) => send_refusal(call, &error),
        }
        self.perform(actions);
    }

    /// Counts an order that starts, unless the ownership is ending: a handover must follow the
    /// engine's answer to the last order.
    fn begin_order(&self) -> bool {
        let mut state = self.state();
        let is_active = state.phase == OwnerPhase::Active;
        state.orders += u32::from(is_active);
        is_active
    }

    fn spawn_evict(&self, adapter: AdapterRef) {
        if !self.begin_order() {
            return;
        }
        let owner = self.clone();
        tokio::spawn(async move {
            let is_ok = owner.evict(&adapter).await;
            let actions = {
                let mut state = owner.state();
                state.orders -= 1;
                if is_ok {
                    state.names.remove(&adapter);
                }
                state.scheduler.evict_finished(&adapter, is_ok, owner.now())
            };
            owner.perform(actions);
        });
    }

    /// Orders an eviction and repeats it until the engine has answered.
    ///
    /// An order without an answer may still arrive; if the adapter were used again meanwhile, it
    /// would be evicted under a request. Returns whether the adapter is gone.
    async fn evict(&self, adapter: &AdapterRef) -> bool {
        let UpstreamClient::Engine { orders, .. } = &self.inner.client else {
            return false;
        };
        let mut is_open = false;
        loop {
            let (name, epoch) = {
                let state = self.state();
                (state.names.get(adapter).cloned(), state.epoch)
            };
            // A restart of the engine has removed the adapter.
            let Some(name) = name else { return true };
            if self.inner.context.lease.is_valid() {
                if !is_open {
                    self.note(LogName::EvictOrdered, MetricName::Evictions, &name);
                    let reason = "a slot is needed for another adapter";
                    self.audit(AuditKind::EvictionOrder, &name, reason);
                }
                let Err(error) = orders.evict(&name, epoch).await else {
                    return true;
                };
                let log = self.log(LogName::EvictFailed).with("adapter", &name);
                log.with("reason", &error).send();
                let is_answered = !matches!(
                    error.kind(),
                    ErrorKind::Unavailable | ErrorKind::Truncated | ErrorKind::Upstream
                );
                if is_answered || (!is_open && error.run_state() == RunState::NotRun) {
                    return false;
                }
                is_open = true;
            } else if !is_open {
                return false;
            }
            tokio::time::sleep(ORDER_PAUSE).await;
        }
    }

    fn spawn_load(&self, adapter: AdapterRef) {
        if !self.begin_order() {
            return;
        }
        let owner = self.clone();
        tokio::spawn(async move {
            let loaded = owner.load(&adapter).await;
            let is_ok = loaded.is_some();
            let (actions, permit) = {
                let mut state = owner.state();
                state.orders -= 1;
                if let Some(name) = loaded {
                    state.names.insert(adapter.clone(), name);
                }
                let permit = state.permits.remove(&adapter);
                (
                    state.scheduler.load_finished(&adapter, is_ok, owner.now()),
                    permit,
                )
            };
            owner.perform(actions);
            if let Some(permit) = permit {
                owner.inner.context.permits.finish(permit, true).await;
            }
        });
    }

    async fn load(&self, adapter: &AdapterRef) -> Option<EngineName> {
        let UpstreamClient::Engine { loads, .. } = &self.inner.client else {
            return None;
        };
        if !self.inner.context.lease.is_valid() {
            return None;
        }
        let epoch = self.epoch();
        let name = EngineName::new(adapter.clone(), epoch);
        self.note(LogName::LoadOrdered, MetricName::Loads, &name);
        self.audit(AuditKind::LoadOrder, &name, "requests wait for the adapter");
        match loads.load(&name, epoch).await {
            Ok(()) => Some(name),
            Err(error) => {
                self.log(LogName::LoadFailed)
                    .with("adapter", &name)
                    .with("reason", &error)
                    .send();
                None
            }
        }
    }

    /// Compares the engine's status with the state: restarts, adapters of former owners, health.
    pub fn observe_status(&self, status: &Result<EngineStatus, Error>) {
        let mut has_restarted = false;
        let actions = {
            let mut state = self.state();
            match status {
                Err(error) => {
                    if std::mem::take(&mut state.is_healthy) {
                        let event = LogEvent::new(LogName::UpstreamUnreachable);
                        event
                            .with("upstream", self.upstream())
                            .with("reason", error)
                            .send();
                    }
                    Vec::new()
                }
                Ok(status) => {
                    state.is_healthy = true;
                    let mut actions = Vec::new();
                    let former = state.incarnation.replace(status.incarnation);
                    has_restarted = former.is_some_and(|former| former != status.incarnation);
                    if has_restarted {
                        actions.extend(self.charge_restart(&mut state));
                    }
                    actions.extend(self.adopt_residents(&mut state, status));
                    actions.extend(state.scheduler.tick(self.now()));
                    actions
                }
            }
        };
        if has_restarted {
            // A resend may reach another owner before the next regular heartbeat.
            (self.inner.context.spread_suspects)();
        }
        self.perform(actions);
    }

    /// Forgets the residency after a restart and charges the requests that were in flight.
    fn charge_restart(&self, state: &mut OwnerState) -> Vec<ScheduleAction> {
        LogEvent::new(LogName::UpstreamRestarted)
            .with("upstream", self.upstream())
            .send();
        state.names.clear();
        for adapter in std::mem::take(&mut state.held) {
            state.scheduler.unhold(&adapter, self.now());
        }
        let mut suspects = self
            .inner
            .context
            .suspects
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        // One crash charges equal requests once; otherwise three copies of a harmless request would
        // be refused after a single crash.
        let mut charged = BTreeSet::new();
        for owned in state.calls.values_mut().filter(|owned| owned.is_dispatched) {
            owned.has_crashed = true;
            if charged.insert(owned.fingerprint) {
                suspects.charge(owned.fingerprint, self.inner.context.timer.clock().now());
            }
        }
        drop(suspects);
        state.scheduler.restarted(self.now())
    }

    /// Takes over the adapters of former owners and leaves out the slots that they still block.
    fn adopt_residents(
        &self,
        state: &mut OwnerState,
        status: &EngineStatus,
    ) -> Vec<ScheduleAction> {
        let (mut actions, now) = (Vec::new(), self.now());
        let limit = self.inner.pool.frozen_owner_limit;
        let (mut blocked, mut strays) = (0, BTreeSet::new());
        for resident in &status.resident {
            let (name, adapter) = (&resident.name, resident.name.adapter());
            if name.epoch() == state.epoch {
                strays.extend(state.is_stray(name).then(|| name.clone()));
                continue;
            }
            let standing = (self.inner.context.standing)(self.upstream(), name.epoch());
            let is_duplicate = state.names.get(adapter).is_some_and(|known| known != name);
            if is_duplicate || !standing.is_usable(limit) {
                blocked += 1;
                continue;
            }
            let is_evictable = standing.is_evictable(limit, resident.running);
            if state.names.insert(adapter.clone(), name.clone()).is_none() {
                actions.extend(state.scheduler.adopted(adapter, now));
            }
            if is_evictable && state.held.remove(adapter) {
                actions.extend(state.scheduler.unhold(adapter, now));
            } else if !is_evictable && state.held.insert(adapter.clone()) {
                state.scheduler.hold(adapter, now);
            }
        }
        // A load whose order got no answer may have ended later. A status may be older than the
        // last eviction, so that one status alone does not count.
        let former = std::mem::replace(&mut state.strays, strays.clone());
        for name in strays.intersection(&former) {
            state.names.insert(name.adapter().clone(), name.clone());
            actions.extend(state.scheduler.adopted(name.adapter(), now));
        }
        let slots = self.inner.pool.slots.saturating_sub(blocked);
        state.scheduler.set_slots(slots);
        actions
    }

    /// Asks the engine for its status.
    ///
    /// # Errors
    ///
    /// Returns the client's error if the engine does not answer.
    pub async fn status(&self) -> Result<Option<EngineStatus>, Error> {
        match &self.inner.client {
            UpstreamClient::Engine { orders, .. } => orders.status().await.map(Some),
            UpstreamClient::Plain(_) => Ok(None),
        }
    }

    /// Returns whether the engine restarted while it ran the call.
    pub(super) async fn has_crashed(&self, call: &OwnerCall) -> bool {
        if let Ok(Some(status)) = self.status().await {
            self.observe_status(&Ok(status));
        }
        self.state()
            .calls
            .get(&call.request)
            .is_some_and(|owned| owned.has_crashed)
    }

    /// Stops taking and dispatching calls; queued calls are refused as not run.
    pub fn release(&self) {
        let queued: Vec<OwnedCall> = {
            let mut state = self.state();
            state.phase = OwnerPhase::Releasing;
            let requests: Vec<RequestId> = state
                .calls
                .iter()
                .filter(|(_, owned)| !owned.is_dispatched)
                .map(|(request, _)| *request)
                .collect();
            requests
                .iter()
                .filter_map(|request| state.calls.remove(request))
                .collect()
        };
        for owned in queued {
            send_refusal(&owned.call, &self.unavailable("its owner is changing"));
        }
    }

    fn note(&self, event: LogName, metric: MetricName, name: &EngineName) {
        self.inner
            .context
            .metrics
            .add(metric, &self.inner.pool.name, "", 1);
        self.log(event).with("adapter", name).send();
    }

    fn audit(&self, kind: AuditKind, name: &EngineName, reason: &str) {
        let (subject, adapter) = (self.upstream().as_str(), name.to_string());
        let audit = &self.inner.context.audit;
        audit.record(kind, subject, ("", &adapter), reason, 0);
    }

    pub(super) fn log(&self, event: LogName) -> LogEvent {
        LogEvent::new(event)
            .with("upstream", self.upstream())
            .with("epoch", self.epoch())
    }

    pub(super) fn engine_name(&self, call: &OwnerCall) -> Option<EngineName> {
        let adapter = call.adapter.as_ref()?;
        self.state().names.get(adapter).cloned()
    }

    pub(super) fn inner(&self) -> &OwnerInner {
        &self.inner
    }

    pub(super) fn now(&self) -> Duration {
        self.inner.context.timer.clock().now()
    }

    fn state(&self) -> MutexGuard<'_, OwnerState> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time after which the permit holder counts a load as ended.
fn longest_load(store: Option<&StoreRow>) -> Duration {
    store.map_or(ORDER_TIMEOUT, |store| {
        PermitConfig::from_row(store).longest_load
    })
}

/// Digests what identifies a request across resends: route, adapter and body.
fn fingerprint(open: &CallOpen) -> u64 {
    let mut digest = Xxh3::new();
    for part in [open.route.as_bytes(), open.adapter.as_bytes(), &open.body] {
        digest.update(&(part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.digest()
}

/// Sends an error to the entry without waiting for its queue.
pub(super) fn send_refusal(call: &Arc<OwnerCall>, error: &Error) {
    let chunk = CallChunk::from_error(error);
    debug_assert!(
        error.run_state() != RunState::Ran || error.kind() != ErrorKind::Overloaded,
        "a refused call never ran"
    );
    let call = Arc::clone(call);
    tokio::spawn(async move {
        // The entry has gone if the queue is closed; nobody is left to tell.
        drop(call.sink.send(chunk).await);
    });
}
