use std::collections::BTreeMap;
use std::time::Duration;

use super::residency_ledger::{
    EvictingAdapter, FIRST_COLD_TIME, PendingLoad, REPORT_LAG, Resident, WARM_SPEEDUP,
};
use super::waiting_load::WaitingLoad;
use super::{EngineReport, LoadWaiter, OrderKind, OrderOutcome, ResidencyLedger};
use crate::forward::ModelRef;

/// Interval between checks of a load that is overdue; an eviction is checked every fourth interval.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after the expected end of a load at which it is checked. A check repeats the order, and the
/// engine answers whether the load is done.
const CHECK_MARGIN: Duration = Duration::from_millis(10);

/// Factor applied to the expected load time after a load that finished within it, so that loads are
/// checked sooner again once the weight store is no longer overloaded.
const COLD_TIME_DECAY: f64 = 0.9;

/// Pause after an order without an answer. An engine that is down refuses connections at once, so
/// that retries without a pause would form a busy loop.
const LOST_ORDER_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a report that the engine is executing an order; it refuses all others meanwhile.
const BUSY_PAUSE: Duration = Duration::from_millis(150);

/// Maximum number of adapters that the ledger assumes an engine keeps in host memory.
const MAX_WARM_ADAPTERS: usize = 100;

/// Handles the engine's answers and reports.
impl ResidencyLedger {
    /// Handles the engine's answer to an order.
    pub fn order_answered(
        &mut self,
        kind: OrderKind,
        model: &ModelRef,
        version: u64,
        outcome: OrderOutcome,
        now: Duration,
    ) {
        if !model.has_adapter() {
            self.is_loading_model = outcome == OrderOutcome::Accepted;
            if outcome == OrderOutcome::Holds {
                self.kept_versions.insert(model.model.clone(), version);
            }
            self.invalidate(now);
            return;
        }
        match (kind, outcome) {
            (OrderKind::Load, OrderOutcome::Accepted) if self.is_check(kind, model) => {
                // The load is still in progress; the engine does not count a repeated order.
                self.delay_check(model, now);
            }
            (OrderKind::Load, OrderOutcome::Accepted) => {
                self.increment_sequence();
                self.load_accepted(model, version, now);
            }
            (OrderKind::Load, OrderOutcome::Holds) => self.load_done(model, version, now),
            (OrderKind::Unload, OrderOutcome::Accepted) => {
                self.increment_sequence();
                self.evicting = Some(EvictingAdapter {
                    model: model.clone(),
                    check_at: now + CHECK_INTERVAL * 4,
                });
            }
            (OrderKind::Unload, OrderOutcome::Holds) => {
                self.increment_sequence();
                self.evicted(model, now);
            }
            (_, OrderOutcome::Conflict | OrderOutcome::Refused | OrderOutcome::Misdirected) => {
                self.invalidate(now);
            }
        }
    }

    /// Handles an order without an answer; it may have taken effect or may still do so later.
    ///
    /// The next order carries the same sequence number. If the engine accepts it, the lost order
    /// can no longer take effect; otherwise the conflict leads to a report.
    pub fn order_lost(&mut self, kind: OrderKind, model: &ModelRef, now: Duration) {
        if self.is_check(kind, model) {
            self.delay_check(model, now);
        }
        self.pause_until = now + LOST_ORDER_PAUSE;
    }

    /// Replaces the recorded state of the engine with a report.
    ///
    /// Use counts of adapters that stay resident are kept. Requests that wait for a load which the
    /// report does not list are queued again, and those for adapters that it lists as resident are
    /// answered.
    pub fn report_read(&mut self, report: &EngineReport, now: Duration) {
        self.sequence = Some(report.sequence);
        self.models.clone_from(&report.models);
        self.evicting = None;
        if report.is_busy {
            self.pause_until = now + BUSY_PAUSE;
            if self.is_loading_model {
                self.invalidate(now);
            }
        } else {
            self.is_loading_model = false;
        }
        let residents = std::mem::take(&mut self.residents);
        for (model, version) in &report.adapters {
            let known = residents.get(model);
            self.residents.insert(
                model.clone(),
                Resident {
                    version: *version,
                    uses: known.map_or(0.0, |known| known.uses),
                    used_at: known.map_or(Duration::ZERO, |known| known.used_at),
                },
            );
            self.mark_warm(model, now);
        }
        let mut pending = std::mem::take(&mut self.pending);
        for (model, version) in &report.pending {
            let known = pending.remove(model);
            self.pending.insert(
                model.clone(),
                PendingLoad {
                    version: *version,
                    ordered_at: known.as_ref().map_or(now, |known| known.ordered_at),
                    check_at: known
                        .as_ref()
                        .map_or(now, |known| known.check_at)
                        .max(now + CHECK_INTERVAL),
                    is_fetch: known.as_ref().is_none_or(|known| known.is_fetch),
                    waiters: known.map(|known| known.waiters).unwrap_or_default(),
                },
            );
        }
        for (model, lost) in pending {
            for waiter in lost.waiters {
                self.request_load(&model, lost.version, waiter, now);
            }
        }
        let is_resident = |model: &ModelRef, waiting: &mut WaitingLoad| {
            let resident = self.residents.get(model);
            resident.is_some_and(|resident| resident.version >= waiting.min_version)
        };
        let loaded: BTreeMap<_, _> = self.waiting.extract_if(.., is_resident).collect();
        for (model, waiting) in loaded {
            for waiter in waiting.waiters {
                self.request_load(&model, waiting.min_version, waiter, now);
            }
        }
    }

    /// Handles a read of a report that failed or timed out; schedules the next read.
    pub fn report_lost(&mut self, now: Duration) {
        self.report_at = now + REPORT_LAG;
    }

    pub(super) fn is_check(&self, kind: OrderKind, model: &ModelRef) -> bool {
        match kind {
            OrderKind::Load => self.pending.contains_key(model),
            OrderKind::Unload => self
                .evicting
                .as_ref()
                .is_some_and(|evicting| evicting.model == *model),
        }
    }

    pub(super) fn delay_check(&mut self, model: &ModelRef, now: Duration) {
        if let Some(pending) = self.pending.get_mut(model) {
            pending.check_at = now + CHECK_INTERVAL;
            // The engine dropped a load that takes this long; a report shows what it holds.
            if now.saturating_sub(pending.ordered_at) > self.cold_time * 8 {
                self.invalidate(now);
            }
        } else if let Some(evicting) = &mut self.evicting {
            evicting.check_at = now + CHECK_INTERVAL * 4;
        }
    }

    pub(super) fn increment_sequence(&mut self) {
        if let Some(sequence) = &mut self.sequence {
            *sequence += 1;
        }
    }

    pub(super) fn load_accepted(&mut self, model: &ModelRef, version: u64, now: Duration) {
        let is_fetch = !self.warm.contains_key(model);
        let time = if is_fetch {
            self.cold_time
        } else {
            self.cold_time / WARM_SPEEDUP
        };
        let waiters = self.take_waiters(model, version);
        self.pending.insert(
            model.clone(),
            PendingLoad {
                version,
                ordered_at: now,
                check_at: now + time + CHECK_MARGIN,
                is_fetch,
                waiters,
            },
        );
    }

    pub(super) fn load_done(&mut self, model: &ModelRef, version: u64, now: Duration) {
        let mut waiters = self.take_waiters(model, version);
        if let Some(pending) = self.pending.remove(model) {
            waiters.extend(pending.waiters);
            if pending.is_fetch {
                let time = now.saturating_sub(pending.ordered_at);
                self.cold_time = if time > self.cold_time + CHECK_MARGIN * 2 {
                    (self.cold_time * 3 + time) / 4
                } else {
                    self.cold_time.mul_f64(COLD_TIME_DECAY).max(FIRST_COLD_TIME)
                };
            }
        }
        let mut resident = Resident {
            version,
            uses: 0.0,
            used_at: now,
        };
        resident.record_use(u32::try_from(waiters.len()).unwrap_or(u32::MAX), now);
        self.residents.insert(model.clone(), resident);
        self.mark_warm(model, now);
        for waiter in waiters {
            let _result = waiter.reply.send(Ok(version));
        }
    }

    /// Removes and returns the requests that a load of `version` satisfies. They stay if one of them
    /// needs a newer version, which has then been announced.
    fn take_waiters(&mut self, model: &ModelRef, version: u64) -> Vec<LoadWaiter> {
        let is_satisfied = |waiting: &WaitingLoad| waiting.min_version <= version;
        if !self.waiting.get(model).is_some_and(is_satisfied) {
            return Vec::new();
        }
        self.waiting
            .remove(model)
            .map(|waiting| waiting.waiters)
            .unwrap_or_default()
    }

    pub(super) fn evicted(&mut self, model: &ModelRef, now: Duration) {
        self.residents.remove(model);
        self.evicting = None;
        self.mark_warm(model, now);
    }

    pub(super) fn mark_warm(&mut self, model: &ModelRef, now: Duration) {
        self.warm.insert(model.clone(), now);
        if self.warm.len() > MAX_WARM_ADAPTERS {
            let oldest = self
                .warm
                .iter()
                .filter(|(model, _)| !self.residents.contains_key(model))
                .min_by_key(|(_, marked_at)| **marked_at)
                .map(|(model, _)| model.clone());
            if let Some(oldest) = oldest {
                self.warm.remove(&oldest);
            }
        }
    }
}
