use std::collections::VecDeque;
use std::time::Duration;

use comfreychute::id::EngineName;
use comfreychute::upstream::CacheEvent;
use tokio::time::Instant;

/// Number of events that are kept for readers.
const EVENT_LIMIT: usize = 1_000;
/// Number of prefixes that fit into the cache.
const PREFIX_LIMIT: usize = 256;

/// A prefix cache of limited size and the events about it.
#[derive(Debug, Default)]
pub(super) struct CacheLog {
    count: u64,
    prefixes: VecDeque<(EngineName, u64)>,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheLog {
    /// Stores a prefix and drops the least recently used ones beyond the limit.
    pub(super) fn store(&mut self, name: &EngineName, prefix: u64, gap: u64) {
        let present = self
            .prefixes
            .iter()
            .position(|(known, digest)| known == name && *digest == prefix);
        if let Some(entry) = present.and_then(|index| self.prefixes.remove(index)) {
            self.prefixes.push_back(entry);
            return;
        }
        self.prefixes.push_back((name.clone(), prefix));
        self.push(name.clone(), prefix, true, gap);
        if self.prefixes.len() > PREFIX_LIMIT
            && let Some((name, prefix)) = self.prefixes.pop_front()
        {
            self.push(name, prefix, false, gap);
        }
    }

    /// Drops the prefixes of an evicted adapter.
    pub(super) fn drop_adapter(&mut self, name: &EngineName, gap: u64) {
        let (gone, kept): (Vec<_>, Vec<_>) = self
            .prefixes
            .drain(..)
            .partition(|(known, _)| known == name);
        self.prefixes = kept.into();
        for (name, prefix) in gone {
            self.push(name, prefix, false, gap);
        }
    }

    /// Returns the events with numbers above `after` that are at least `lag` old.
    pub(super) fn read(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(since, event)| event.number > after && since.elapsed() >= lag)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn push(&mut self, name: EngineName, prefix: u64, is_stored: bool, gap: u64) {
        self.count += 1;
        if gap > 0 && self.count.is_multiple_of(gap) {
            return;
        }
        if self.events.len() == EVENT_LIMIT {
            self.events.pop_front();
        }
        let event = CacheEvent {
            number: self.count,
            name,
            prefix,
            is_stored,
        };
        self.events.push_back((Instant::now(), event));
    }
}
