use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::order_log::{log_lost_report, log_order};
use super::owner_state::OwnerState;
use super::{EngineOrder, LedgerAction, LoadOwner, OrderKind, ResidencyLedger};
use crate::forward::{ModelRef, UpstreamEntry};
use crate::id::{DomainId, UpstreamId};

/// Time after which an order or report counts as lost. Engines answer within a few milliseconds.
/// Giving up early is safe, because the next order carries the same sequence number.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// Pause before a loader checks again whether the lease permits orders.
const LEASE_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Window over which base-model loads are counted against the rate limit of the weight store.
const MODEL_LOAD_WINDOW: Duration = Duration::from_secs(5);

enum LoaderStep {
    /// Wait until this time or a wake-up.
    Wait(Duration),
    Report,
    Order(PermittedOrder),
}

/// An order that the lease permits.
struct PermittedOrder {
    order: EngineOrder,
    decided_at: Duration,
    /// Whether it starts a load from the weight store.
    is_fetch: bool,
}

/// The loader task of one engine, which reads reports and sends orders one at a time.
impl LoadOwner {
    /// Bids for missing permits and returns the ones that are no longer needed.
    pub(super) fn balance_permits(self: &Arc<Self>, now: Duration) {
        let mut state = self.lock();
        let ledgers = || state.loaders.values().map(|loader| &loader.ledger);
        let fetches: usize = ledgers().map(ResidencyLedger::fetches).sum();
        let fetches = fetches + state.unanswered_fetches;
        let waiting = ledgers().map(ResidencyLedger::waiting_fetches).sum();
        let value = ledgers().map(|ledger| ledger.best_value(now)).max();
        let step = state.permits.reconcile(fetches, waiting);
        drop(state);
        self.send_permits(step, f64::from(value.unwrap_or(0)));
    }

    pub(super) async fn run_loader(self: Arc<Self>, upstream: UpstreamId, wake: Arc<Notify>) {
        loop {
            let now = self.clock.now();
            self.balance_permits(now);
            let Some((entry, step)) = self.next_step(&upstream, &wake) else {
                return;
            };
            match step {
                LoaderStep::Wait(until) => {
                    let pause = until.saturating_sub(now);
                    // The next step is computed again after a wake-up as well as after the pause.
                    let _woken = timeout(pause, wake.notified()).await;
                }
                LoaderStep::Report => self.read_report(&upstream, entry).await,
                LoaderStep::Order(permitted) => {
                    let is_fetch = permitted.is_fetch;
                    self.send_order(&upstream, entry, permitted).await;
                    if is_fetch {
                        self.lock().unanswered_fetches -= 1;
                    }
                }
            }
        }
    }

    fn next_step(
        &self,
        upstream: &UpstreamId,
        wake: &Arc<Notify>,
    ) -> Option<(Arc<UpstreamEntry>, LoaderStep)> {
        let mut state = self.lock();
        // The lock may be held for a while, in which the lease can expire.
        let now = self.clock.now();
        let entry = Arc::clone(&state.loaders.get(upstream)?.entry);
        let acked_at = self.acked_at(&state, &entry.domain);
        let permission = state.leases.get(&entry.domain).and_then(|lease| {
            let deadline = lease.order_deadline(now, acked_at)?;
            Some((lease.epoch()?, deadline))
        });
        let missing = self.missing_model(&state, upstream, &entry, now);
        let loader = state.loaders.get_mut(upstream)?;
        if !Arc::ptr_eq(&loader.wake, wake) {
            return None;
        }
        let Some((epoch, deadline)) = permission else {
            return Some((entry, LoaderStep::Wait(now + LEASE_RETRY_PAUSE)));
        };
        let permit_order = |kind, model, version, expected, is_fetch| {
            LoaderStep::Order(PermittedOrder {
                order: EngineOrder {
                    kind,
                    model,
                    version,
                    expected,
                    holder: self.instance.clone(),
                    fencing_token: epoch,
                    deadline,
                },
                decided_at: now,
                is_fetch,
            })
        };
        if let Some((model, version)) = missing {
            let expected = loader.ledger.sequence();
            state
                .model_loads
                .retain(|at| now.saturating_sub(*at) < MODEL_LOAD_WINDOW);
            state.model_loads.push(now);
            let step = permit_order(OrderKind::Load, model, version, expected, false);
            return Some((entry, step));
        }
        let may_fetch = state.permits.has_free();
        let busy = state.running_at(upstream, now);
        let loader = state.loaders.get_mut(upstream)?;
        loader.ledger.raise_versions(&self.fleet.versions());
        let step = match loader.ledger.next_action(now, may_fetch, &busy) {
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
                    state.permits.consume();
                    state.unanswered_fetches += 1;
                }
                permit_order(kind, model, version, expected, is_fetch)
            }
        };
        Some((entry, step))
    }

    /// Returns a base model that the upstream lacks or holds in an outdated version, that fits into
    /// its memory, and that the rate limit of the weight store allows to load now. The second value
    /// is the version to load, or zero for the newest.
    pub(super) fn missing_model(
        &self,
        state: &OwnerState,
        upstream: &UpstreamId,
        entry: &UpstreamEntry,
        now: Duration,
    ) -> Option<(ModelRef, u64)> {
        let ledger = &state.loaders.get(upstream)?.ledger;
        if entry.is_draining {
            return None;
        }
        let routes = self.fleet.routes()?;
        let engine = routes.service(&entry.service)?.engine.as_ref()?;
        let model = engine.models.iter().find(|model| {
            let version = self.fleet.min_version(&ModelRef::new(&model.name, ""));
            ledger.lacks_model(&model.name, version)
        })?;
        let is_replacement = ledger.models().contains_key(&model.name);
        if is_replacement && !may_replace_model(state, &entry.domain) {
            return None;
        }
        let held: f64 = engine
            .models
            .iter()
            .filter(|known| ledger.models().contains_key(&known.name) && known.name != model.name)
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
        let model = ModelRef::new(&model.name, "");
        let version = if is_replacement {
            self.fleet.min_version(&model)
        } else {
            0
        };
        is_allowed.then_some((model, version))
    }

    pub(super) fn domain_count(&self) -> u32 {
        let upstreams = self.fleet.upstreams();
        let domains: BTreeSet<&DomainId> = upstreams.values().map(|entry| &entry.domain).collect();
        u32::try_from(domains.len()).unwrap_or(u32::MAX).max(1)
    }

    pub(super) async fn read_report(&self, upstream: &UpstreamId, entry: Arc<UpstreamEntry>) {
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
                log_lost_report(upstream, error.detail());
            }
            Err(_) => {
                loader.ledger.report_lost(now);
                log_lost_report(upstream, "timed out");
            }
        }
    }

    async fn send_order(
        &self,
        upstream: &UpstreamId,
        entry: Arc<UpstreamEntry>,
        permitted: PermittedOrder,
    ) {
        let PermittedOrder {
            order, decided_at, ..
        } = permitted;
        let answer = timeout(ORDER_TIMEOUT, (self.port.order)(entry, order.clone())).await;
        let (now, answer) = (self.clock.now(), answer.ok());
        log_order(
            upstream,
            &order,
            now.saturating_sub(decided_at),
            answer.as_ref(),
        );
        let mut state = self.lock();
        let Some(loader) = state.loaders.get_mut(upstream) else {
            return;
        };
        let EngineOrder {
            kind,
            model,
            version,
            ..
        } = order;
        match answer {
            Some(Ok(outcome)) => {
                loader
                    .ledger
                    .order_answered(kind, &model, version, outcome, now);
            }
            Some(Err(_)) | None => loader.ledger.order_lost(kind, &model, now),
        }
    }
}

/// Returns whether an upstream of a domain may replace a base model by a new version now.
///
/// The upstreams of a domain replace a model one after the other, because parallel loads of base
/// models slow each other down.
fn may_replace_model(state: &OwnerState, domain: &DomainId) -> bool {
    let mut loaders = state.loaders.values();
    !loaders.any(|loader| loader.entry.domain == *domain && loader.ledger.is_loading_model())
}
