use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::waiting_load::WaitingLoad;
use super::{LoadRefusal, LoadWaiter, OrderKind};
use crate::forward::ModelRef;

/// Tracks what one engine holds and decides which order to send next.
///
/// The ledger is a state machine without I/O. Each order carries a sequence number: the number of
/// orders that the engine has accepted. If the answer to an order is lost, either the engine has
/// accepted the order and its number shows that, or the order can no longer take effect once the
/// engine accepts a later one. The ledger therefore never exceeds the capacity of an engine.
#[derive(Debug)]
pub struct ResidencyLedger {
    pub(super) limits: LedgerLimits,
    /// The number of orders that the engine has accepted; `None` until a report is read.
    pub(super) sequence: Option<u64>,
    /// The time from which a report may be read while `sequence` is `None`.
    pub(super) report_at: Duration,
    pub(super) models: BTreeMap<String, u64>,
    /// Whether the engine loads a base model, as far as is known.
    pub(super) is_loading_model: bool,
    /// The newest version of each base model that the engine did not load in place of the one that
    /// it holds, since it regarded the order as done.
    pub(super) kept_versions: BTreeMap<String, u64>,
    pub(super) residents: BTreeMap<ModelRef, Resident>,
    /// Loads that the engine has accepted but not completed.
    pub(super) pending: BTreeMap<ModelRef, PendingLoad>,
    pub(super) evicting: Option<EvictingAdapter>,
    /// Adapters that the engine is assumed to keep in host memory, each with the time at which it
    /// was last reported, loaded or evicted.
    pub(super) warm: BTreeMap<ModelRef, Duration>,
    /// Loads that have not been ordered yet.
    pub(super) waiting: BTreeMap<ModelRef, WaitingLoad>,
    /// The estimated duration of a load from the weight store.
    pub(super) cold_time: Duration,
    /// The time before which no order is sent.
    pub(super) pause_until: Duration,
}

/// The capacity limits of one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerLimits {
    /// Maximum number of adapters, including those that are being loaded.
    pub adapter_slots: usize,
    /// Maximum number of adapters that are being loaded; an engine refuses orders beyond it.
    pub max_pending: usize,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            adapter_slots: 1,
            max_pending: 4,
        }
    }
}

#[derive(Debug)]
pub(super) struct Resident {
    pub(super) version: u64,
    /// The decayed use count as of `used_at`.
    pub(super) uses: f64,
    pub(super) used_at: Duration,
}

#[derive(Debug)]
pub(super) struct PendingLoad {
    pub(super) version: u64,
    pub(super) ordered_at: Duration,
    pub(super) check_at: Duration,
    /// Whether the load comes from the weight store.
    pub(super) is_fetch: bool,
    pub(super) waiters: Vec<LoadWaiter>,
}

#[derive(Debug)]
pub(super) struct EvictingAdapter {
    pub(super) model: ModelRef,
    pub(super) check_at: Duration,
}

/// The next action that the owner has to take for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LedgerAction {
    /// Read a report.
    Report,
    /// Send an order.
    Order {
        /// Whether to load or to evict.
        kind: OrderKind,
        /// The adapter to load or evict.
        model: ModelRef,
        /// The version to load; zero selects the newest.
        version: u64,
        /// The sequence number to send with the order.
        expected: Option<u64>,
        /// Whether the order starts a load from the weight store.
        is_fetch: bool,
    },
    /// Wait until this time, or until a new request arrives.
    Wait(Duration),
}

/// Initial and lowest estimate of the duration of a load from the weight store.
pub(super) const FIRST_COLD_TIME: Duration = Duration::from_millis(250);

/// A load from the engine's host memory is about ten times as fast as one from the weight store.
pub(super) const WARM_SPEEDUP: u32 = 10;

/// Lag of reports; a report that is read sooner after an order may not show its effect.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(280);

/// Time after its last use during which an adapter is not evicted, since requests may be in flight
/// that no instance has reported yet.
const EVICTION_GRACE: Duration = Duration::from_millis(600);

/// Half-life of an adapter's use count, so that the ranking follows changes in popularity.
const USE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Maximum pause while loads wait. The ledger is not notified when an adapter becomes idle and can
/// be evicted, so it has to check.
const WAITING_PAUSE: Duration = Duration::from_millis(50);

/// Maximum pause while no load waits; bounds the delay until a missing base model is noticed.
const IDLE_PAUSE: Duration = Duration::from_millis(500);

impl ResidencyLedger {
    /// Creates a ledger whose first action is to read a report, due at `now`.
    #[must_use]
    pub fn new(limits: LedgerLimits, now: Duration) -> Self {
        Self {
            limits,
            sequence: None,
            report_at: now,
            models: BTreeMap::new(),
            is_loading_model: false,
            kept_versions: BTreeMap::new(),
            residents: BTreeMap::new(),
            pending: BTreeMap::new(),
            evicting: None,
            warm: BTreeMap::new(),
            waiting: BTreeMap::new(),
            cold_time: FIRST_COLD_TIME,
            pause_until: now,
        }
    }

    /// Changes the limits; adapters beyond a lower limit stay until a load needs their slot.
    pub const fn set_limits(&mut self, limits: LedgerLimits) {
        self.limits = limits;
    }

    /// Adds a request for an adapter; answers it at once if the adapter is resident.
    pub fn request_load(
        &mut self,
        model: &ModelRef,
        min_version: u64,
        waiter: LoadWaiter,
        now: Duration,
    ) {
        let is_usable = self.is_usable(model);
        if let Some(resident) = self.residents.get_mut(model)
            && resident.version >= min_version
            && is_usable
        {
            resident.record_use(1, now);
            let _result = waiter.reply.send(Ok(resident.version));
            return;
        }
        if let Some(pending) = self.pending.get_mut(model)
            && pending.version >= min_version
        {
            pending.waiters.push(waiter);
            return;
        }
        let waiting = self
            .waiting
            .entry(model.clone())
            .or_insert_with(|| WaitingLoad {
                min_version,
                waiters: Vec::new(),
                since: now,
            });
        waiting.min_version = waiting.min_version.max(min_version);
        waiting.waiters.push(waiter);
    }

    /// Raises the versions of loads that have not been ordered yet to the announced ones.
    pub fn raise_versions(&mut self, announced: &BTreeMap<ModelRef, u64>) {
        for (model, waiting) in &mut self.waiting {
            if let Some(version) = announced.get(model) {
                waiting.min_version = waiting.min_version.max(*version);
            }
        }
    }

    /// Adds uses to the count of a resident adapter, which decides the order of evictions.
    pub fn record_uses(&mut self, model: &ModelRef, count: u32, now: Duration) {
        if let Some(resident) = self.residents.get_mut(model) {
            resident.record_use(count, now);
        }
    }

    /// Returns the next action; `may_fetch` tells whether one more load from the weight store may
    /// start, and `busy` lists the adapters with requests in flight.
    pub fn next_action(
        &mut self,
        now: Duration,
        may_fetch: bool,
        busy: &BTreeSet<ModelRef>,
    ) -> LedgerAction {
        let Some(sequence) = self.sequence else {
            return if self.report_at <= now {
                LedgerAction::Report
            } else {
                LedgerAction::Wait(self.report_at)
            };
        };
        if self.pause_until > now {
            return LedgerAction::Wait(self.pause_until);
        }
        let expected = Some(sequence);
        let due = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.check_at <= now)
            .min_by_key(|(_, pending)| pending.check_at);
        if let Some((model, pending)) = due {
            return LedgerAction::Order {
                kind: OrderKind::Load,
                model: model.clone(),
                version: pending.version,
                expected,
                is_fetch: false,
            };
        }
        if let Some(evicting) = &self.evicting
            && evicting.check_at <= now
        {
            return LedgerAction::Order {
                kind: OrderKind::Unload,
                model: evicting.model.clone(),
                version: 0,
                expected,
                is_fetch: false,
            };
        }
        if let Some(action) = self.next_load(now, may_fetch, busy, expected) {
            return action;
        }
        LedgerAction::Wait(self.next_due(now))
    }

    fn next_load(
        &mut self,
        now: Duration,
        may_fetch: bool,
        busy: &BTreeSet<ModelRef>,
        expected: Option<u64>,
    ) -> Option<LedgerAction> {
        self.expire(now);
        if self.pending.len() >= self.limits.max_pending {
            return None;
        }
        let (warm, residents, cold) = (&self.warm, &self.residents, self.cold_time);
        let pending = &self.pending;
        let best = self
            .waiting
            .iter_mut()
            .filter(|(model, _)| may_fetch || warm.contains_key(model))
            // An older version is loading; a second load of the adapter may need another slot.
            .filter(|(model, _)| !pending.contains_key(model))
            // An engine accepts no other order until the requests of a replaced adapter have ended.
            .filter(|(model, _)| !(residents.contains_key(model) && busy.contains(model)))
            .map(|(model, waiting)| {
                let is_warm = warm.contains_key(model);
                let ready_at = now + if is_warm { cold / WARM_SPEEDUP } else { cold };
                let value = waiting.value(ready_at);
                (
                    is_warm,
                    value,
                    std::cmp::Reverse(waiting.since),
                    model.clone(),
                    waiting.min_version,
                )
            })
            .max()?;
        let (_, _, _, model, version) = best;
        let order = |kind, model, version| LedgerAction::Order {
            kind,
            is_fetch: kind == OrderKind::Load && !self.warm.contains_key(&model),
            model,
            version,
            expected,
        };
        let is_replacement = self.residents.contains_key(&model);
        if is_replacement || self.used_slots() < self.limits.adapter_slots {
            return Some(order(OrderKind::Load, model, version));
        }
        if self.evicting.is_some() {
            return None;
        }
        let victim = self.victim(now, busy)?;
        Some(order(OrderKind::Unload, victim, 0))
    }

    /// Refuses waiting requests that can no longer be served in time.
    fn expire(&mut self, now: Duration) {
        let (cold, warm) = (self.cold_time, &self.warm);
        self.waiting.retain(|model, waiting| {
            let time = if warm.contains_key(model) {
                cold / WARM_SPEEDUP
            } else {
                cold
            };
            waiting.prune(now + time);
            !waiting.waiters.is_empty()
        });
    }

    /// Chooses the least used adapter without requests in flight. Adapters that are being replaced
    /// are not chosen, because the replacement keeps their slot.
    ///
    /// An engine finishes the requests of an evicted adapter first, which blocks its slot for
    /// seconds. If all adapters are in use, waiting is better than evicting one.
    fn victim(&self, now: Duration, busy: &BTreeSet<ModelRef>) -> Option<ModelRef> {
        self.residents
            .iter()
            .filter(|(model, resident)| {
                !busy.contains(*model)
                    && !self.pending.contains_key(*model)
                    && now.saturating_sub(resident.used_at) >= EVICTION_GRACE
            })
            .min_by(|(_, left), (_, right)| {
                left.decayed_uses(now).total_cmp(&right.decayed_uses(now))
            })
            .map(|(model, _)| model.clone())
    }

    /// Returns the time at which the next action has to be chosen at the latest.
    fn next_due(&self, now: Duration) -> Duration {
        let pending = self.pending.values().map(|pending| pending.check_at);
        let evicting = self.evicting.iter().map(|evicting| evicting.check_at);
        let pause = if self.waiting.is_empty() {
            IDLE_PAUSE
        } else {
            WAITING_PAUSE
        };
        pending
            .chain(evicting)
            .min()
            .map_or(now + pause, |due| due.min(now + pause))
    }

    /// Discards the sequence number until the next report, and keeps the waiting requests.
    pub fn invalidate(&mut self, now: Duration) {
        self.sequence = None;
        self.report_at = now + REPORT_LAG;
    }

    /// Handles a restart of the engine, after which it holds nothing. Requests for loads in
    /// progress are queued again.
    pub fn restarted(&mut self, now: Duration) {
        let pending = std::mem::take(&mut self.pending);
        self.residents.clear();
        self.models.clear();
        self.is_loading_model = false;
        self.kept_versions.clear();
        self.warm.clear();
        self.evicting = None;
        self.sequence = None;
        self.report_at = now;
        for (model, lost) in pending {
            for waiter in lost.waiters {
                self.request_load(&model, lost.version, waiter, now);
            }
        }
    }

    /// Refuses all waiting requests, because this instance no longer owns the engine.
    pub fn refuse_waiters(&mut self) {
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let pending = std::mem::take(&mut self.pending).into_values();
        let waiters = waiting
            .flat_map(|waiting| waiting.waiters)
            .chain(pending.flat_map(|pending| pending.waiters));
        for waiter in waiters {
            let _result = waiter.reply.send(Err(LoadRefusal::NotOwner));
        }
    }

    /// Returns whether the engine should load the base model: it is known not to hold it in at least
    /// `min_version`, not known to load one, and has not kept its version when it was ordered to
    /// load this one.
    #[must_use]
    pub fn lacks_model(&self, model: &str, min_version: u64) -> bool {
        let is_held = || {
            let held = self.models.get(model);
            let kept = self.kept_versions.get(model).filter(|_| held.is_some());
            held.max(kept)
                .is_some_and(|version| *version >= min_version)
        };
        self.sequence.is_some() && !self.is_loading_model && !is_held()
    }

    /// Returns whether the engine loads a base model, as far as is known.
    #[must_use]
    pub const fn is_loading_model(&self) -> bool {
        self.is_loading_model
    }

    /// Returns whether the state of the engine is known from a report.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.sequence.is_some()
    }

    /// Returns the number of orders that the engine has accepted, or `None` before a report.
    #[must_use]
    pub const fn sequence(&self) -> Option<u64> {
        self.sequence
    }

    /// Returns the resident base models with their versions, as of the last report.
    #[must_use]
    pub const fn models(&self) -> &BTreeMap<String, u64> {
        &self.models
    }

    /// Iterates over the resident adapters that are not being evicted or replaced, with their
    /// versions.
    pub fn residents(&self) -> impl Iterator<Item = (&ModelRef, u64)> {
        self.residents
            .iter()
            .filter(|(model, _)| self.is_usable(model))
            .map(|(model, resident)| (model, resident.version))
    }

    /// Returns whether an adapter, if resident, is not being evicted or replaced. During both, the
    /// engine refuses new requests for it.
    fn is_usable(&self, model: &ModelRef) -> bool {
        let is_evicting = self
            .evicting
            .as_ref()
            .is_some_and(|evicting| evicting.model == *model);
        !is_evicting && !self.pending.contains_key(model)
    }

    /// Returns the number of loads from the weight store that are in progress.
    #[must_use]
    pub fn fetches(&self) -> usize {
        self.pending
            .values()
            .filter(|pending| pending.is_fetch)
            .count()
    }

    /// Returns the number of waiting loads that need the weight store.
    #[must_use]
    pub fn waiting_fetches(&self) -> usize {
        let is_fetch = |model: &&ModelRef| !self.warm.contains_key(*model);
        self.waiting.keys().filter(is_fetch).count()
    }

    /// Returns the value of the most valuable waiting load.
    #[must_use]
    pub fn best_value(&self, now: Duration) -> u32 {
        self.waiting
            .values()
            .map(|waiting| waiting.value(now + self.cold_time))
            .max()
            .unwrap_or(0)
    }

    /// Returns the current estimate of the duration of a load from the weight store.
    #[must_use]
    pub const fn cold_time(&self) -> Duration {
        self.cold_time
    }

    fn used_slots(&self) -> usize {
        let replacing = self
            .pending
            .keys()
            .filter(|model| self.residents.contains_key(model))
            .count();
        self.residents.len() + self.pending.len() - replacing
    }
}

impl Resident {
    pub(super) fn decayed_uses(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.used_at).as_secs_f64();
        self.uses * (-age / USE_HALF_LIFE.as_secs_f64()).exp2()
    }

    pub(super) fn record_use(&mut self, count: u32, now: Duration) {
        self.uses = self.decayed_uses(now) + f64::from(count);
        self.used_at = now;
    }
}
