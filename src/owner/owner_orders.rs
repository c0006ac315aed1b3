//! Execution of scheduler actions: permits, loads and evictions.

use std::time::Duration;

use super::upstream_client::UpstreamClient;
use super::upstream_owner::send_error;
use super::{OwnerPhase, UpstreamOwner};
use crate::audit::AuditKind;
use crate::error::{Error, ErrorKind, RunState};
use crate::id::{AdapterRef, EngineName, RequestId};
use crate::permit::LoadPermit;
use crate::policy::ScheduleAction;
use crate::telemetry::{LogName, MetricName};

/// Delay before an unanswered eviction order is repeated.
const EVICT_RETRY_INTERVAL: Duration = Duration::from_millis(500);

impl UpstreamOwner {
    /// Withdraws abandoned calls, ticks the scheduler and bids for a load permit.
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
                .filter(|tracked| !tracked.is_dispatched && tracked.call.sink.is_closed())
                .map(|tracked| tracked.call.request)
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
            self.request_permit(&bid.adapter, bid.value);
        }
    }

    fn request_permit(&self, adapter: &AdapterRef, value: f64) {
        let Some(store) = self.inner().pool.store.clone() else {
            return;
        };
        if !self.state().pending_bids.insert(adapter.clone()) {
            return;
        }
        let (owner, adapter) = (self.clone(), adapter.clone());
        tokio::spawn(async move {
            let permits = &owner.inner().context.permits;
            let acquired = permits
                .acquire(&store, owner.upstream(), &adapter, value)
                .await;
            let Ok(Some(permit)) = acquired else {
                owner.state().pending_bids.remove(&adapter);
                return;
            };
            match owner.accept_permit(&adapter, permit) {
                Ok(actions) => owner.perform(actions),
                Err(unused) => permits.release(unused, false).await,
            }
        });
    }

    /// Passes a permit to the scheduler.
    ///
    /// # Errors
    ///
    /// Returns the permit if no load will use it.
    fn accept_permit(
        &self,
        adapter: &AdapterRef,
        permit: LoadPermit,
    ) -> std::result::Result<Vec<ScheduleAction>, LoadPermit> {
        let mut state = self.state();
        state.pending_bids.remove(adapter);
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

    /// Executes the scheduler's actions.
    pub(super) fn perform(&self, actions: Vec<ScheduleAction>) {
        for action in actions {
            match action {
                ScheduleAction::Dispatch(request) => self.dispatch(request),
                ScheduleAction::Evict(adapter) => self.spawn_evict(adapter),
                ScheduleAction::Load(adapter) => self.spawn_load(adapter),
                ScheduleAction::Preempt(request) => {
                    if let Some(tracked) = self.state().calls.get(&request) {
                        tracked.preempted.notify_one();
                    }
                }
                ScheduleAction::Refuse {
                    request,
                    kind,
                    retry_after,
                } => {
                    let Some(tracked) = self.state().calls.remove(&request) else {
                        continue;
                    };
                    let error = Error::new(kind, format!("upstream {}", self.upstream()))
                        .with_retry_after(retry_after);
                    self.inner().context.metrics.add(
                        MetricName::Refusals,
                        &self.inner().pool.name,
                        kind.as_str(),
                        1,
                    );
                    send_error(&tracked.call, &error);
                }
            }
        }
    }

    /// Counts a new order as pending; returns false if the owner is not active.
    ///
    /// No order may start once the ownership is being released, because the handover must come
    /// after the engine's answer to the last order.
    fn begin_order(&self) -> bool {
        let mut state = self.state();
        let is_active = state.phase == OwnerPhase::Active;
        state.pending_orders += u32::from(is_active);
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
                state.pending_orders -= 1;
                if is_ok {
                    state.engine_names.remove(&adapter);
                }
                state.scheduler.evict_finished(&adapter, is_ok, owner.now())
            };
            owner.perform(actions);
        });
    }

    /// Orders an eviction, repeating it until the engine answers; returns whether the adapter was
    /// evicted.
    ///
    /// An unanswered order may still reach the engine. If the adapter were used again before that,
    /// it would be evicted while it runs a request.
    async fn evict(&self, adapter: &AdapterRef) -> bool {
        let UpstreamClient::Engine { orders, .. } = &self.inner().client else {
            return false;
        };
        let mut is_outcome_unknown = false;
        loop {
            let (name, epoch) = {
                let state = self.state();
                (state.engine_names.get(adapter).cloned(), state.epoch)
            };
            // The engine has restarted and lost the adapter.
            let Some(name) = name else { return true };
            if self.inner().context.lease.is_valid() {
                if !is_outcome_unknown {
                    self.record_order(LogName::EvictOrdered, MetricName::Evictions, &name);
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
                if is_answered || (!is_outcome_unknown && error.run_state() == RunState::NotRun) {
                    return false;
                }
                is_outcome_unknown = true;
            } else if !is_outcome_unknown {
                return false;
            }
            tokio::time::sleep(EVICT_RETRY_INTERVAL).await;
        }
    }

    /// Orders the eviction of a duplicate copy of an adapter.
    ///
    /// If it fails, the next status lists the copy again; its slot counts as blocked until then.
    pub(super) fn spawn_duplicate_eviction(&self, name: EngineName) {
        let owner = self.clone();
        tokio::spawn(async move {
            if owner.begin_order() {
                owner.evict_duplicate(&name).await;
                owner.state().pending_orders -= 1;
            }
            owner.state().duplicate_evictions.remove(&name);
        });
    }

    async fn evict_duplicate(&self, name: &EngineName) {
        let UpstreamClient::Engine { orders, .. } = &self.inner().client else {
            return;
        };
        if !self.inner().context.lease.is_valid() {
            return;
        }
        self.record_order(LogName::EvictOrdered, MetricName::Evictions, name);
        let reason = "the engine holds the adapter twice";
        self.audit(AuditKind::EvictionOrder, name, reason);
        if let Err(error) = orders.evict(name, self.epoch()).await {
            let log = self.log(LogName::EvictFailed).with("adapter", name);
            log.with("reason", &error).send();
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
                state.pending_orders -= 1;
                if let Some(name) = loaded {
                    state.engine_names.insert(adapter.clone(), name);
                }
                let permit = state.permits.remove(&adapter);
                (
                    state.scheduler.load_finished(&adapter, is_ok, owner.now()),
                    permit,
                )
            };
            owner.perform(actions);
            if let Some(permit) = permit {
                owner.inner().context.permits.release(permit, true).await;
            }
        });
    }

    async fn load(&self, adapter: &AdapterRef) -> Option<EngineName> {
        let UpstreamClient::Engine { loads, .. } = &self.inner().client else {
            return None;
        };
        if !self.inner().context.lease.is_valid() {
            return None;
        }
        let epoch = self.epoch();
        let name = EngineName::new(adapter.clone(), epoch);
        self.record_order(LogName::LoadOrdered, MetricName::Loads, &name);
        self.audit(AuditKind::LoadOrder, &name, "requests wait for the adapter");
        match loads.load(&name, epoch).await {
            Ok(()) => Some(name),
            Err(error) if error.kind() == ErrorKind::Fenced => {
                self.log(LogName::OwnershipFenced)
                    .with("adapter", &name)
                    .send();
                None
            }
            Err(error) => {
                self.log(LogName::LoadFailed)
                    .with("adapter", &name)
                    .with("reason", &error)
                    .send();
                None
            }
        }
    }

    fn record_order(&self, event: LogName, metric: MetricName, name: &EngineName) {
        self.inner()
            .context
            .metrics
            .add(metric, &self.inner().pool.name, "", 1);
        self.log(event).with("adapter", name).send();
    }

    fn audit(&self, kind: AuditKind, name: &EngineName, reason: &str) {
        let (subject, adapter) = (self.upstream().as_str(), name.to_string());
        let audit = &self.inner().context.audit;
        audit.record(kind, subject, ("", &adapter), reason, 0);
    }
}
