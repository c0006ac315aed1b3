//! Carrying out the decisions of the scheduler: permits, loads and evictions.

use std::time::Duration;

use super::upstream_client::UpstreamClient;
use super::upstream_owner::send_refusal;
use super::{OwnerPhase, UpstreamOwner};
use crate::audit::AuditKind;
use crate::error::{Error, ErrorKind, RunState};
use crate::id::{AdapterRef, EngineName, RequestId};
use crate::permit::LoadPermit;
use crate::policy::ScheduleAction;
use crate::telemetry::{LogName, MetricName};

/// Pause before an eviction without an answer is ordered again.
const ORDER_PAUSE: Duration = Duration::from_millis(500);

impl UpstreamOwner {
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
        let Some(store) = self.inner().pool.store.clone() else {
            return;
        };
        if !self.state().asking.insert(adapter.clone()) {
            return;
        }
        let (owner, adapter) = (self.clone(), adapter.clone());
        tokio::spawn(async move {
            let permits = &owner.inner().context.permits;
            let acquired = permits
                .acquire(&store, owner.upstream(), &adapter, value)
                .await;
            let Ok(Some(permit)) = acquired else {
                owner.state().asking.remove(&adapter);
                return;
            };
            match owner.take_permit(&adapter, permit) {
                Ok(actions) => owner.perform(actions),
                Err(unused) => permits.release(unused, false).await,
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
    pub(super) fn perform(&self, actions: Vec<ScheduleAction>) {
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
                    self.inner().context.metrics.add(
                        MetricName::Refusals,
                        &self.inner().pool.name,
                        kind.as_str(),
                        1,
                    );
                    send_refusal(&owned.call, &error);
                }
            }
        }
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
        let UpstreamClient::Engine { orders, .. } = &self.inner().client else {
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
            if self.inner().context.lease.is_valid() {
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

    /// Orders the eviction of a second copy of an adapter.
    ///
    /// A copy that stays is found again in the next status; its slot counts as blocked until then.
    pub(super) fn spawn_drop(&self, name: EngineName) {
        let owner = self.clone();
        tokio::spawn(async move {
            if owner.begin_order() {
                owner.drop_copy(&name).await;
                owner.state().orders -= 1;
            }
            owner.state().dropping.remove(&name);
        });
    }

    async fn drop_copy(&self, name: &EngineName) {
        let UpstreamClient::Engine { orders, .. } = &self.inner().client else {
            return;
        };
        if !self.inner().context.lease.is_valid() {
            return;
        }
        self.note(LogName::EvictOrdered, MetricName::Evictions, name);
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
        self.note(LogName::LoadOrdered, MetricName::Loads, &name);
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

    fn note(&self, event: LogName, metric: MetricName, name: &EngineName) {
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
