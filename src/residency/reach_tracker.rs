use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::id::InstanceId;

/// Tracks since when each listed instance has been unreachable.
#[derive(Debug, Default)]
pub struct ReachTracker {
    unreachable_since: BTreeMap<InstanceId, Duration>,
}

impl ReachTracker {
    /// Time without contact after which an instance counts as dead; longer than most network
    /// partitions and process pauses.
    pub const DEAD_AGE: Duration = Duration::from_secs(8);

    /// Creates a tracker without unreachable instances.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records which of the other `listed` instances are `live`; returns one that counts as dead, whose
    /// time starts again.
    pub fn observe(
        &mut self,
        listed: &BTreeSet<InstanceId>,
        live: &BTreeSet<InstanceId>,
        now: Duration,
    ) -> Option<InstanceId> {
        self.unreachable_since
            .retain(|id, _| listed.contains(id) && !live.contains(id));
        let mut dead = None;
        for id in listed.difference(live) {
            let since = *self.unreachable_since.entry(id.clone()).or_insert(now);
            if now.saturating_sub(since) > Self::DEAD_AGE {
                dead = Some(id.clone());
            }
        }
        if let Some(dead) = &dead {
            self.unreachable_since.remove(dead);
        }
        dead
    }

    /// Restarts the times of all instances, because this process was paused: it could not notice
    /// that an instance was reachable meanwhile, and its links end during a pause.
    pub fn resume_after_pause(&mut self) {
        self.unreachable_since.clear();
    }
}
