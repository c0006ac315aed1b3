use std::time::{Duration, Instant};

/// Decides how often a link carries heartbeats and how long it may be silent.
///
/// In a large fleet most links carry nothing but heartbeats. A link on which no other frame was sent
/// or received recently is idle: both sides send heartbeats less often, by the same factor, and
/// accept a silence that is longer by it.
#[derive(Debug, Clone, Copy)]
pub(super) struct LinkActivity {
    idle_factor: u32,
    /// When a frame other than a heartbeat was last sent or received; the start of the link counts.
    last_active_at: Instant,
    /// When the link last ceased to be idle.
    active_since: Instant,
}

/// Time after the last frame other than a heartbeat from which a link is idle.
const ACTIVE_TIME: Duration = Duration::from_secs(5);

impl LinkActivity {
    /// Creates the state of a link that starts at `now`. A factor of one never makes it idle.
    pub(super) const fn new(idle_factor: u32, now: Instant) -> Self {
        Self {
            idle_factor,
            last_active_at: now,
            active_since: now,
        }
    }

    /// Records a frame other than a heartbeat; returns whether the link was idle before.
    pub(super) fn record(&mut self, now: Instant) -> bool {
        let was_idle = self.is_idle(now);
        if was_idle {
            self.active_since = now;
        }
        self.last_active_at = now;
        was_idle
    }

    /// Returns the number of heartbeat intervals between two heartbeats.
    pub(super) fn heartbeat_factor(&self, now: Instant) -> u32 {
        if self.is_idle(now) {
            self.idle_factor
        } else {
            1
        }
    }

    /// Returns whether the link has been silent for too long since `received_at`, given the limit of
    /// a link that is not idle.
    ///
    /// The peer sends heartbeats at the usual interval again only when it sees the first frame, so
    /// that the silence before does not count.
    pub(super) fn is_overdue(&self, received_at: Instant, limit: Duration, now: Instant) -> bool {
        if self.is_idle(now) {
            now.saturating_duration_since(received_at) >= limit * self.idle_factor
        } else {
            now.saturating_duration_since(received_at.max(self.active_since)) >= limit
        }
    }

    fn is_idle(&self, now: Instant) -> bool {
        self.idle_factor > 1 && now.saturating_duration_since(self.last_active_at) >= ACTIVE_TIME
    }
}
