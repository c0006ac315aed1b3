use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of recent dispatches and completions kept; the oldest are dropped beyond it.
const MAX_RECENT_EVENTS: usize = 4096;

/// Estimated load of an upstream: its last report, corrected by the requests that were dispatched
/// or finished since.
///
/// Reports lag. Without the correction, all requests of one reporting period would go to the same
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

    /// Records a report of running and waiting requests that arrived at `now`.
    ///
    /// The report describes the upstream at `now` minus the lag; events since then are added to it.
    pub fn report(&mut self, requests: u32, now: Duration) {
        self.reported = requests;
        self.reported_at = now.saturating_sub(self.lag);
        let since = self.reported_at;
        self.recent.retain(|(at, _)| *at >= since);
    }

    /// Records a request dispatched to the upstream.
    pub fn dispatched(&mut self, now: Duration) {
        self.push(now, 1);
    }

    /// Records the end of a request at the upstream.
    pub fn finished(&mut self, now: Duration) {
        self.push(now, -1);
    }

    /// Returns the estimated number of requests that run or wait at the upstream.
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
        if self.recent.len() == MAX_RECENT_EVENTS {
            self.recent.pop_front();
        }
        self.recent.push_back((now, change));
    }
}
