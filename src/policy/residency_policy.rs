use std::collections::BTreeMap;
use std::time::Duration;

use super::{EvictionRule, PopularityCounter, SchedulerConfig, SlotState};
use crate::id::AdapterRef;

/// Adapters remembered by the popularity count of one upstream.
const POPULARITY_LIMIT: usize = 16_384;

/// Time before an adapter whose eviction failed is chosen again.
const EVICT_HOLD_OFF: Duration = Duration::from_secs(1);

/// The adapter slots of an engine and the choice of which adapter leaves.
#[derive(Debug, Clone)]
pub struct ResidencyPolicy {
    slots: u32,
    rule: EvictionRule,
    one_off_slots: usize,
    entries: BTreeMap<AdapterRef, SlotEntry>,
    pins: BTreeMap<AdapterRef, u32>,
    popularity: PopularityCounter,
}

#[derive(Debug, Clone)]
struct SlotEntry {
    state: SlotState,
    used_at: Duration,
    keep_until: Duration,
}

impl ResidencyPolicy {
    /// Creates the state of an engine without adapters.
    #[must_use]
    pub fn new(config: &SchedulerConfig) -> Self {
        Self {
            slots: config.slots,
            rule: config.eviction,
            one_off_slots: config.one_off_slots as usize,
            entries: BTreeMap::new(),
            pins: BTreeMap::new(),
            popularity: PopularityCounter::new(config.half_life, POPULARITY_LIMIT),
        }
    }

    /// Sets the number of slots.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the state of an adapter's slot.
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

    /// Returns the number of slots that hold nothing.
    #[must_use]
    pub fn free_slots(&self) -> usize {
        (self.slots as usize).saturating_sub(self.entries.len())
    }

    /// Returns the number of evictions that have been ordered and have not ended.
    #[must_use]
    pub fn evicting(&self) -> usize {
        self.entries
            .values()
            .filter(|entry| entry.state == SlotState::Evicting)
            .count()
    }

    /// Counts a request for the adapter, served or not.
    pub fn requested(&mut self, adapter: &AdapterRef, now: Duration) {
        self.popularity.record(adapter, now);
    }

    /// Returns the decayed number of requests for the adapter.
    #[must_use]
    pub fn popularity(&self, adapter: &AdapterRef, now: Duration) -> f64 {
        self.popularity.score(adapter, now)
    }

    /// Protects the adapter of a dispatched request.
    pub fn pin(&mut self, adapter: &AdapterRef, now: Duration) {
        *self.pins.entry(adapter.clone()).or_insert(0) += 1;
        self.touch(adapter, now);
    }

    /// Ends the protection of one dispatched request.
    pub fn unpin(&mut self, adapter: &AdapterRef, now: Duration) {
        if let Some(pins) = self.pins.get_mut(adapter) {
            *pins -= 1;
            if *pins == 0 {
                self.pins.remove(adapter);
            }
        }
        self.touch(adapter, now);
    }

    /// Returns whether a dispatched request uses the adapter.
    #[must_use]
    pub fn is_pinned(&self, adapter: &AdapterRef) -> bool {
        self.pins.contains_key(adapter)
    }

    /// Returns the number of slots whose adapters dispatched requests use.
    #[must_use]
    pub fn pinned_slots(&self) -> usize {
        self.residents()
            .filter(|adapter| self.is_pinned(adapter))
            .count()
    }

    /// Takes a free slot for a load; returns whether there was one.
    pub fn begin_load(&mut self, adapter: &AdapterRef, now: Duration) -> bool {
        let is_free = self.has_free_slot() && !self.entries.contains_key(adapter);
        if is_free {
            self.insert(adapter, SlotState::Loading, now);
        }
        is_free
    }

    /// Notes the end of a load; returns whether one was in progress.
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

    /// Notes an adapter that the engine already holds; returns whether there was a slot for it.
    pub fn adopt(&mut self, adapter: &AdapterRef, now: Duration) -> bool {
        let is_new = self.has_free_slot() && !self.entries.contains_key(adapter);
        if is_new {
            self.insert(adapter, SlotState::Resident, now);
        }
        is_new
    }

    /// Marks an adapter as leaving.
    pub fn begin_evict(&mut self, adapter: &AdapterRef) {
        if let Some(entry) = self.entries.get_mut(adapter) {
            entry.state = SlotState::Evicting;
        }
    }

    /// Notes the end of an eviction; an adapter that could not be evicted stays for a while.
    pub fn end_evict(&mut self, adapter: &AdapterRef, is_ok: bool, now: Duration) {
        if self.state(adapter) != Some(SlotState::Evicting) {
            return;
        }
        if is_ok {
            self.entries.remove(adapter);
        } else if let Some(entry) = self.entries.get_mut(adapter) {
            entry.state = SlotState::Resident;
            entry.keep_until = now + EVICT_HOLD_OFF;
        }
    }

    /// Forgets all slots after a restart of the engine; pins stay until their requests end.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Chooses an unpinned resident adapter that makes room for `wanted`.
    ///
    /// `is_waited` tells whether requests wait for an adapter; such adapters stay.
    pub fn victim(
        &self,
        is_waited: impl Fn(&AdapterRef) -> bool,
        now: Duration,
    ) -> Option<AdapterRef> {
        let mut idle: Vec<(&AdapterRef, Duration)> = self.idle(is_waited, now).collect();
        idle.sort_by_key(|(_, used_at)| *used_at);
        let oldest = idle.first().map(|(adapter, _)| (*adapter).clone());
        match self.rule {
            EvictionRule::LeastRecentlyUsed => oldest,
            EvictionRule::Popularity => {
                // The most recent ones belong to the one-off slots and stay until the next load.
                let kept = idle.len().saturating_sub(self.one_off_slots).max(1);
                idle.iter()
                    .take(kept)
                    .min_by(|left, right| {
                        let standing = |adapter| self.popularity.standing(adapter, now);
                        standing(left.0).total_cmp(&standing(right.0))
                    })
                    .map(|(adapter, _)| (*adapter).clone())
            }
        }
    }

    /// Counts the adapters that [`ResidencyPolicy::victim`] could choose.
    #[must_use]
    pub fn evictable(&self, is_waited: impl Fn(&AdapterRef) -> bool, now: Duration) -> usize {
        self.idle(is_waited, now).count()
    }

    fn idle(
        &self,
        is_waited: impl Fn(&AdapterRef) -> bool,
        now: Duration,
    ) -> impl Iterator<Item = (&AdapterRef, Duration)> {
        self.entries
            .iter()
            .filter(move |(adapter, entry)| {
                entry.state == SlotState::Resident
                    && entry.keep_until <= now
                    && !self.is_pinned(adapter)
                    && !is_waited(adapter)
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
