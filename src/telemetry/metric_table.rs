use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use super::{MetricName, MetricRow, TimerValue};

/// The metrics of this process in memory, for the admin port.
///
/// Each metric name has its own lock, and looking up a known pool does not allocate.
#[derive(Debug)]
pub struct MetricTable {
    shards: [Mutex<PoolValues>; MetricName::ALL.len()],
}

type PoolValues = BTreeMap<String, BTreeMap<&'static str, MetricValue>>;

#[derive(Debug, Default)]
struct MetricValue {
    number: u64,
    timer: Option<Box<TimerValue>>,
}

impl MetricTable {
    /// Maximum number of pools per metric; further pools share the row `other`, so that memory is
    /// bounded.
    const MAX_POOLS: usize = 1_024;

    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::default()),
        }
    }

    /// Adds `count` to a counter; the counter saturates at its maximum.
    pub fn add(&self, name: MetricName, pool: &str, tag: &'static str, count: u64) {
        self.update(name, pool, tag, |value| {
            value.number = value.number.saturating_add(count);
        });
    }

    /// Sets a gauge to `number`.
    pub fn set(&self, name: MetricName, pool: &str, tag: &'static str, number: u64) {
        self.update(name, pool, tag, |value| value.number = number);
    }

    /// Adds a duration to a timer.
    pub fn record(&self, name: MetricName, pool: &str, tag: &'static str, duration: Duration) {
        self.update(name, pool, tag, |value| {
            let timer = value.timer.get_or_insert_default();
            timer.record(duration);
            value.number = timer.count;
        });
    }

    /// Copies all metrics, ordered by name, pool and tag.
    #[must_use]
    pub fn snapshot(&self) -> Vec<MetricRow> {
        let mut rows = Vec::new();
        for (name, shard) in MetricName::ALL.iter().zip(&self.shards) {
            let pools = shard.lock().unwrap_or_else(PoisonError::into_inner);
            for (pool, tags) in pools.iter() {
                for (tag, value) in tags {
                    rows.push(MetricRow {
                        name: name.as_str(),
                        pool: pool.clone(),
                        tag,
                        value: value.number,
                        timer: value.timer.as_deref().cloned(),
                    });
                }
            }
        }
        rows
    }

    fn update(
        &self,
        name: MetricName,
        pool: &str,
        tag: &'static str,
        change: impl FnOnce(&mut MetricValue),
    ) {
        let mut pools = self.shards[name.index()]
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let pool = if pools.len() < Self::MAX_POOLS || pools.contains_key(pool) {
            pool
        } else {
            "other"
        };
        if let Some(tags) = pools.get_mut(pool) {
            change(tags.entry(tag).or_default());
        } else {
            let tags = pools.entry(pool.to_owned()).or_default();
            change(tags.entry(tag).or_default());
        }
    }
}

impl Default for MetricTable {
    fn default() -> Self {
        Self::new()
    }
}
