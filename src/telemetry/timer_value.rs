use std::time::Duration;

use serde::Serialize;

/// A summary of durations: count, sum, maximum and counts per power of two of a microsecond.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct TimerValue {
    /// The number of recorded durations.
    pub count: u64,
    /// The sum of the durations, in microseconds.
    pub sum_us: u64,
    /// The longest duration, in microseconds.
    pub max_us: u64,
    /// Counts of durations below 1, 2, 4, ... microseconds; each excludes those of the previous
    /// bucket.
    #[serde(skip)]
    buckets: [u64; 40],
}

impl Default for TimerValue {
    fn default() -> Self {
        Self {
            count: 0,
            sum_us: 0,
            max_us: 0,
            buckets: [0; 40],
        }
    }
}

impl TimerValue {
    /// Adds a duration; its part below a microsecond is truncated.
    pub fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.count += 1;
        self.sum_us = self.sum_us.saturating_add(micros);
        self.max_us = self.max_us.max(micros);
        let bucket = (u64::BITS - micros.leading_zeros()) as usize;
        self.buckets[bucket.min(self.buckets.len() - 1)] += 1;
    }

    /// Returns an upper bound, within a factor of two, of a percentile from 0 to 100.
    #[must_use]
    pub fn percentile_us(&self, percent: u64) -> u64 {
        let target = (self.count.saturating_mul(percent)).div_ceil(100).max(1);
        let mut seen = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            seen += count;
            if seen >= target {
                return self.max_us.min((1 << bucket) - 1);
            }
        }
        self.max_us
    }
}
