use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::AdapterRef;

/// Idle time, in mean request intervals, beyond which [`PopularityCounter::capped_score`] caps the
/// score.
const MAX_IDLE_INTERVALS: f64 = 2.0;

/// Exponentially decaying count of requests per adapter.
#[derive(Debug, Clone)]
pub struct PopularityCounter {
    half_life: Duration,
    limit: usize,
    counts: BTreeMap<AdapterRef, DecayedCount>,
}

#[derive(Debug, Clone, Copy)]
struct DecayedCount {
    value: f64,
    at: Duration,
}

impl PopularityCounter {
    /// Creates a counter that tracks at most `limit` adapters.
    #[must_use]
    pub const fn new(half_life: Duration, limit: usize) -> Self {
        Self {
            half_life,
            limit,
            counts: BTreeMap::new(),
        }
    }

    /// Records a request for the adapter.
    pub fn record(&mut self, adapter: &AdapterRef, now: Duration) {
        let value = self.score(adapter, now) + 1.0;
        let count = DecayedCount { value, at: now };
        if let Some(slot) = self.counts.get_mut(adapter) {
            *slot = count;
            return;
        }
        if self.counts.len() >= self.limit.max(1) {
            self.prune(now);
        }
        self.counts.insert(adapter.clone(), count);
    }

    /// Returns the decayed number of requests for the adapter.
    #[must_use]
    pub fn score(&self, adapter: &AdapterRef, now: Duration) -> f64 {
        self.counts
            .get(adapter)
            .map_or(0.0, |count| self.decay(*count, now))
    }

    /// Returns the decayed number of requests, capped according to the time since the last request.
    ///
    /// An adapter that is still as popular as its count suggests rarely goes without requests for
    /// several times its mean request interval. Without the cap, a formerly popular adapter would
    /// keep its slot for hours.
    #[must_use]
    pub fn capped_score(&self, adapter: &AdapterRef, now: Duration) -> f64 {
        self.counts.get(adapter).map_or(0.0, |count| {
            let idle_time = now.saturating_sub(count.at).as_secs_f64();
            let window = self.half_life.as_secs_f64() / std::f64::consts::LN_2;
            let bound = MAX_IDLE_INTERVALS * window / idle_time.max(1e-3);
            self.decay(*count, now).min(bound)
        })
    }

    /// Returns the number of tracked adapters.
    #[must_use]
    pub fn len(&self) -> usize {
        self.counts.len()
    }

    /// Returns whether no adapter is tracked.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }

    fn decay(&self, count: DecayedCount, now: Duration) -> f64 {
        let age = now.saturating_sub(count.at).as_secs_f64();
        let half_life = self.half_life.as_secs_f64().max(1e-3);
        count.value * (-age / half_life).exp2()
    }

    /// Drops the less popular half, so that the amortised cost per request stays constant.
    fn prune(&mut self, now: Duration) {
        let mut scores: Vec<f64> = self
            .counts
            .values()
            .map(|count| self.decay(*count, now))
            .collect();
        scores.sort_by(f64::total_cmp);
        let median = scores.get(scores.len() / 2).copied().unwrap_or(0.0);
        let mut excess = scores.len() / 2 + 1;
        let (half_life, limit) = (self.half_life, self.limit);
        let reader = Self::new(half_life, limit);
        self.counts.retain(|_, count| {
            let is_dropped = excess > 0 && reader.decay(*count, now) <= median;
            if is_dropped {
                excess -= 1;
            }
            !is_dropped
        });
    }
}
