use std::collections::BTreeMap;
use std::time::Duration;

use super::{EvictionRule, PopularityCounter, SchedulerConfig, SlotState};
use crate::id::AdapterRef;

/// Maximum number of adapters tracked by the popularity counter of one upstream.
const POPULARITY_LIMIT: usize = 16_384;

/// Time before an adapter whose eviction failed may be chosen again.
const EVICTION_RETRY_DELAY: Duration = Duration::from_secs(1);

/// State of the adapter slots of an engine, and the choice of the adapter to evict.
#[derive(Debug, Clone)]
pub struct ResidencyPolicy {
    slots: u32,
    rule: EvictionRule,
    recency_slots: usize,
    entries: BTreeMap<AdapterRef, SlotEntry>,
    pins: BTreeMap<AdapterRef, u32>,
    popularity: PopularityCounter,
}

#[derive(Debug, Clone)]
struct SlotEntry {
    state: SlotState,
    used_at: Duration,
    /// Time before which the adapter is not chosen for eviction.
    keep_until: Duration,
}

impl ResidencyPolicy {
    /// Creates the state of an engine on which no adapter is resident.
    #[must_use]
    pub fn new(config: &SchedulerConfig) -> Self {
        Self {
            slots: config.slots,
            rule: config.eviction,
            recency_slots: config.recency_slots as usize,
            entries: BTreeMap::new(),
            pins: BTreeMap::new(),
            popularity: PopularityCounter::new(config.half_life, POPULARITY_LIMIT),
        }
    }

    /// Sets the number of usable slots; it may be less than the number of resident adapters.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the state of the slot of an adapter, or `None` if it has no slot.
    #[must_use]
    pub fn state(&self, adapter: &AdapterRef) -> Option<SlotState> {
        self.entries.get(adapter).map(|entry| entry.state)
    }

    /// Returns whether requests for the adapter may be dispatched.
    #[must_use]
    pub fn is_resident(&self, adapter: &AdapterRef) -> bool {
        self.state(adapter) == Some(SlotState::Resident)
    }

    /// Iterates over the resident adapters.
    pub fn residents(&self) -> impl Iterator<Item = &AdapterRef> {
        self.adapters()
            .filter(|(_, state)| *state == SlotState::Resident)
            .map(|(adapter, _)| adapter)
    }

    /// Iterates over the adapters that have a slot.
    pub fn adapters(&self) -> impl Iterator<Item = (&AdapterRef, SlotState)> {
        self.entries
            .iter()
            .map(|(adapter, entry)| (adapter, entry.state))
    }

    /// Returns whether a load may start.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        self.entries.len() < self.slots as usize
    }

    /// Returns the number of slots that are not occupied by any adapter.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        (self.slots as usize).saturating_sub(self.entries.len())
    }

    /// Returns the number of evictions in progress.
    #[must_use]
    pub fn evicting(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.state == SlotState::Evicting)
            .count()
    }

    /// Records a request for the adapter in the popularity count, whether or not it is admitted.
    pub fn record_request(&mut self, adapter: &AdapterRef, now: Duration) {
        self.popularity.record(adapter, now);
    }

    /// Returns the decayed number of requests for the adapter.
    #[must_use]
    pub fn popularity(&self, adapter: &AdapterRef, now: Duration) -> f64 {
        self.popularity.score(adapter, now)
    }

    /// Pins the adapter of a dispatched request, which protects it from eviction.
    ///
    /// Pins are counted; each needs an [`ResidencyPolicy::unpin`].
    pub fn pin(&mut self, adapter: &AdapterRef, now: Duration) {
        *self.pins.entry(adapter.clone()).or_insert(0) += 1;
        self.touch(adapter, now);
    }

    /// Releases one pin of the adapter.
    pub fn unpin(&mut self, adapter: &AdapterRef, now: Duration) {
        if let Some(pins) = self.pins.get_mut(adapter) {
            *pins -= 1;
            if *pins == 0 {
                self.pins.remove(adapter);
            }
        }
        self.touch(adapter, now);
    }

    /// Returns whether the adapter is pinned.
    #[must_use]
    pub fn is_pinned(&self, adapter: &AdapterRef) -> bool {
        self.pins.contains_key(adapter)
    }

    /// Returns the number of slots whose resident adapters are pinned.
    #[must_use]
    pub fn pinned_slots(&self) -> usize {
        self.residents()
            .filter(|adapter| self.is_pinned(adapter))
            .count()
    }

    /// Reserves a free slot for a load; returns false if no slot is free or the adapter has one.
    pub fn begin_load(&mut self, adapter: &AdapterRef, now: Duration) -> bool {
        let is_free = self.has_free_slot() && !self.entries.contains_key(adapter);
        if is_free {
            self.insert(adapter, SlotState::Loading, now);
        }
        is_free
    }

    /// Records the end of a load; returns whether one was in progress.
    ///
    /// A failed load frees the slot.
    pub fn end_load(&mut self, adapter: &AdapterRef, is_ok: bool, now: Duration) -> bool {
        if self.state(adapter) != Some(SlotState::Loading) {
            return false;
        }
        if is_ok {
            self.insert(adapter, SlotState::Resident, now);
        } else {
            self.entries.remove(adapter);
        }
        true
    }

    /// Records an adapter that is already resident on the engine; returns false if no slot is free
    /// or the adapter has one.
    pub fn adopt(&mut self, adapter: &AdapterRef, now: Duration) -> bool {
        let is_new = self.has_free_slot() && !self.entries.contains_key(adapter);
        if is_new {
            self.insert(adapter, SlotState::Resident, now);
        }
        is_new
    }

    /// Marks the slot of an adapter as being evicted.
    pub fn begin_evict(&mut self, adapter: &AdapterRef) {
        if let Some(entry) = self.entries.get_mut(adapter) {
            entry.state = SlotState::Evicting;
        }
    }

    /// Records the end of an eviction; an adapter whose eviction failed becomes resident again and
    /// is not chosen for one second.
    pub fn end_evict(&mut self, adapter: &AdapterRef, is_ok: bool, now: Duration) {
        if self.state(adapter) != Some(SlotState::Evicting) {
            return;
        }
        if is_ok {
            self.entries.remove(adapter);
        } else if let Some(entry) = self.entries.get_mut(adapter) {
            entry.state = SlotState::Resident;
            entry.keep_until = now + EVICTION_RETRY_DELAY;
        }
    }

    /// Clears all slots after a restart of the engine; pins remain until their requests end.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Chooses an unpinned resident adapter to evict; returns `None` if there is no candidate.
    ///
    /// Adapters for which `has_waiting` returns true are not chosen.
    pub fn victim(
        &self,
        has_waiting: impl Fn(&AdapterRef) -> bool,
        now: Duration,
    ) -> Option<AdapterRef> {
        let mut candidates: Vec<(&AdapterRef, Duration)> =
            self.eviction_candidates(has_waiting, now).collect();
        candidates.sort_by_key(|(_, used_at)| *used_at);
        let oldest = candidates.first().map(|(adapter, _)| (*adapter).clone());
        match self.rule {
            EvictionRule::LeastRecentlyUsed => oldest,
            EvictionRule::Popularity => {
                // The most recently used ones are exempt, so that an unpopular adapter that has
                // just been used stays until the next load.
                let eligible = candidates.len().saturating_sub(self.recency_slots).max(1);
                candidates
                    .iter()
                    .take(eligible)
                    .min_by(|left, right| {
                        let score = |adapter| self.popularity.capped_score(adapter, now);
                        score(left.0).total_cmp(&score(right.0))
                    })
                    .map(|(adapter, _)| (*adapter).clone())
            }
        }
    }

    /// Returns the number of adapters that [`ResidencyPolicy::victim`] could choose.
    #[must_use]
    pub fn evictable_count(
        &self,
        has_waiting: impl Fn(&AdapterRef) -> bool,
        now: Duration,
    ) -> usize {
        self.eviction_candidates(has_waiting, now).count()
    }

    fn eviction_candidates(
        &self,
        has_waiting: impl Fn(&AdapterRef) -> bool,
        now: Duration,
    ) -> impl Iterator<Item = (&AdapterRef, Duration)> {
        self.entries
            .iter()
            .filter(move |(adapter, entry)| {
                entry.state == SlotState::Resident
                    && entry.keep_until <= now
                    && !self.is_pinned(adapter)
                    && !has_waiting(adapter)
            })
            .map(|(adapter, entry)| (adapter, entry.used_at))
    }

    fn insert(&mut self, adapter: &AdapterRef, state: SlotState, now: Duration) {
        let entry = SlotEntry {
            state,
            used_at: now,
            keep_until: Duration::ZERO,
        };
        self.entries.insert(adapter.clone(), entry);
    }

    fn touch(&mut self, adapter: &AdapterRef, now: Duration) {
        if let Some(entry) = self.entries.get_mut(adapter) {
            entry.used_at = now;
        }
    }
}
