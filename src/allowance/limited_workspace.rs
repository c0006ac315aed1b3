use std::time::Duration;

use super::FleetCover;
use crate::policy::AllowanceBucket;
use crate::telemetry::{LogEvent, LogName};
use crate::workspace::AllowanceSpec;

/// The bucket of one workspace, and what operators are told of its refusals.
#[derive(Debug)]
pub(super) struct LimitedWorkspace {
    pub(super) bucket: AllowanceBucket,
    limit: AllowanceSpec,
    refused_since: Option<Duration>,
    refused_at: Duration,
    logged_at: Duration,
    /// Requests and units refused since the last log line.
    refused: (u64, f64),
}

/// Interval of log lines about a limited workspace, and time without a refusal after which it no
/// longer counts as limited.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

impl LimitedWorkspace {
    pub(super) fn new(limit: AllowanceSpec, now: Duration) -> Self {
        Self {
            bucket: AllowanceBucket::new(limit.rate, limit.burst, now),
            limit,
            refused_since: None,
            refused_at: now,
            logged_at: now,
            refused: (0, 0.0),
        }
    }

    pub(super) fn set_limit(&mut self, limit: AllowanceSpec, now: Duration) {
        if self.limit != limit {
            self.bucket.set_limit(limit.rate, limit.burst, now);
            self.limit = limit;
        }
    }

    /// Counts a refused request, and logs the first of a series and then one line in an interval.
    pub(super) fn record_refusal(
        &mut self,
        name: &str,
        cost: f64,
        cover: FleetCover,
        now: Duration,
    ) {
        let is_series = now < self.refused_at + LOG_INTERVAL;
        let known_since = self.refused_since.filter(|_| is_series);
        let since = known_since.unwrap_or(now);
        self.refused_since = Some(since);
        self.refused_at = now;
        self.refused.0 += 1;
        self.refused.1 += cost;
        if known_since.is_some() && now < self.logged_at + LOG_INTERVAL {
            return;
        }
        self.logged_at = now;
        let (requests, units) = std::mem::take(&mut self.refused);
        LogEvent::new(LogName::WorkspaceLimited)
            .with("workspace", name)
            .with("rate", self.limit.rate)
            .with("asked_rate", self.bucket.asked_rate().round())
            .with("level", self.bucket.level().round())
            .with("refused_units", units)
            .with_count("refused_requests", requests)
            .with_count("limited_for_s", now.saturating_sub(since).as_secs())
            .with_count("heard", u64::from(cover.heard))
            .with_count("listed", u64::try_from(cover.listed).unwrap_or(u64::MAX))
            .send();
    }
}
