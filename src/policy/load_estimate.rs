use std::collections::VecDeque;
use std::time::Duration;

/// Reports age this much before they arrive; dispatches of that period are added to them.
const MAX_RECENT: usize = 4096;

/// The load of an upstream: its last report, corrected by the work dispatched since.
///
/// Reports lag, so a plain reading sends every request of one reporting period to the same
/// upstream.
#[derive(Debug, Clone)]
pub struct LoadEstimate {
    lag: Duration,
    reported: u32,
    reported_at: Duration,
    recent: VecDeque<(Duration, i8)>,
}

impl LoadEstimate {
    /// Creates an estimate for reports that are up to `lag` old when they arrive.
    #[must_use]
    pub const fn new(lag: Duration) -> Self {
        Self {
            lag,
            reported: 0,
            reported_at: Duration::ZERO,
            recent: VecDeque::new(),
        }
    }

    /// Takes a report of running and waiting requests that arrived at `now`.
    pub fn report(&mut self, requests: u32, now: Duration) {
        self.reported = requests;
        self.reported_at = now.saturating_sub(self.lag);
        let since = self.reported_at;
        self.recent.retain(|(at, _)| *at >= since);
    }

    /// Counts a dispatch.
    pub fn dispatched(&mut self, now: Duration) {
        self.push(now, 1);
    }

    /// Counts the end of a request.
    pub fn finished(&mut self, now: Duration) {
        self.push(now, -1);
    }

    /// Returns the estimated number of requests at the upstream.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let change = self
            .recent
            .iter()
            .map(|(_, change)| i64::from(*change))
            .sum::<i64>();
        u32::try_from((i64::from(self.reported) + change).max(0)).unwrap_or(u32::MAX)
    }

    fn push(&mut self, now: Duration, change: i8) {
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, change));
    }
}
