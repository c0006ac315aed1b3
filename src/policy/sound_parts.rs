use std::collections::BTreeMap;
use std::time::Duration;

/// Parts of prompts with the time of their last sound answer, as far as they are recent.
///
/// The parts lie in two generations of limited size. A full one replaces the older one, so that no
/// search for the oldest part is needed.
#[derive(Debug)]
pub(super) struct SoundParts {
    recent: BTreeMap<u64, Duration>,
    older: BTreeMap<u64, Duration>,
}

/// Maximum number of parts in a generation.
const GENERATION_SIZE: usize = 4096;

impl SoundParts {
    pub(super) const fn new() -> Self {
        Self {
            recent: BTreeMap::new(),
            older: BTreeMap::new(),
        }
    }

    /// Records a sound answer.
    pub(super) fn record(&mut self, part: u64, now: Duration) {
        self.recent.insert(part, now);
        if self.recent.len() >= GENERATION_SIZE {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Returns the time of the last sound answer, if it is known.
    pub(super) fn last(&self, part: u64) -> Option<Duration> {
        let found = self.recent.get(&part).or_else(|| self.older.get(&part));
        found.copied()
    }
}
