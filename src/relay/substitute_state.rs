use std::time::Duration;

use crate::id::InstanceId;

/// The peer that takes the place of the watcher for some seconds, if any, and the search for one.
///
/// All times are readings of the same clock.
#[derive(Debug, Default)]
pub(super) struct SubstituteState {
    peer: Option<InstanceId>,
    used_until: Duration,
    /// When peers may be searched again.
    next_search_at: Duration,
}

/// Time for which a substitute is used before the watcher and the store are tried again.
const SUBSTITUTE_PERIOD: Duration = Duration::from_secs(3);

/// Minimum time between two searches for a substitute. In an outage of the store for all, every instance
/// searches in vain.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

impl SubstituteState {
    /// Returns the substitute that is in use.
    pub(super) fn peer(&self, now: Duration) -> Option<&InstanceId> {
        self.peer.as_ref().filter(|_| now < self.used_until)
    }

    /// Uses a peer as the substitute from now on.
    pub(super) fn use_peer(&mut self, peer: InstanceId, now: Duration) {
        self.peer = Some(peer);
        self.used_until = now + SUBSTITUTE_PERIOD;
    }

    /// Stops using the substitute.
    pub(super) fn clear(&mut self) {
        self.peer = None;
    }

    /// Returns whether peers may be searched now, and if so, counts this as a search.
    pub(super) fn begin_search(&mut self, now: Duration) -> bool {
        let may_search = now >= self.next_search_at;
        if may_search {
            self.next_search_at = now + SEARCH_INTERVAL;
        }
        may_search
    }
}
