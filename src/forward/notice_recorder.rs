use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use super::forward_run::millis;
use super::{UpstreamEntry, UpstreamHealth, UpstreamNotice};
use crate::id::UpstreamId;
use crate::policy::{StandingCause, StandingEnd};
use crate::telemetry::{LogEvent, LogName, MetricName, MetricSink};
use crate::time::ClockSource;

/// Records what upstreams state in their responses, and logs when one begins or ceases to be avoided.
#[derive(Clone)]
pub struct NoticeRecorder {
    /// The records of the upstreams.
    pub health: Arc<UpstreamHealth>,
    /// The clock of the records.
    pub clock: ClockSource,
    /// Counts the notices by service and cause.
    pub metrics: MetricSink,
    /// Returns the place of this instance, from 0 to 1, in the order in which instances return to an
    /// upstream.
    pub return_point: Arc<dyn Fn(&UpstreamId) -> f64 + Send + Sync>,
}

impl fmt::Debug for NoticeRecorder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("NoticeRecorder")
            .field("health", &self.health)
            .finish_non_exhaustive()
    }
}

impl NoticeRecorder {
    /// Records a notice from a response of the upstream.
    pub fn record(&self, entry: &UpstreamEntry, notice: UpstreamNotice) {
        if notice.is_empty() {
            return;
        }
        let now = self.clock.now();
        let count = |cause| {
            self.metrics
                .add(MetricName::Notices, &entry.service, cause, 1);
        };
        if notice.is_pause_doubtful {
            count("doubtful_pause");
        }
        if notice.is_leaving {
            count(StandingCause::Leaving.as_str());
            if self.health.record_leaving(entry, now) {
                log_avoided(entry, StandingCause::Leaving, Duration::ZERO);
            }
        }
        if let Some(pause) = notice.pause {
            count(StandingCause::Pause.as_str());
            let return_point = (self.return_point)(&entry.id);
            if self.health.record_pause(entry, pause, return_point, now) {
                log_avoided(entry, StandingCause::Pause, pause);
            }
        }
    }

    /// Records a response other than a server error.
    pub(super) fn record_success(&self, entry: &UpstreamEntry) {
        if let Some(end) = self.health.record_success(entry, self.clock.now()) {
            log_readmitted(entry, end);
        }
    }

    /// Removes the records of departed upstreams, for which `is_listed` returns `false`.
    pub(super) fn remove_departed(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.health.retain(is_listed, self.clock.now());
    }
}

fn log_avoided(entry: &UpstreamEntry, cause: StandingCause, pause: Duration) {
    LogEvent::new(LogName::UpstreamAvoided)
        .with("upstream", &entry.id)
        .with("cause", cause.as_str())
        .with_count("incarnation", entry.incarnation)
        .with_count("pause_ms", millis(pause))
        .send();
}

fn log_readmitted(entry: &UpstreamEntry, end: StandingEnd) {
    LogEvent::new(LogName::UpstreamReadmitted)
        .with("upstream", &entry.id)
        .with("cause", end.cause.as_str())
        .with_count("incarnation", entry.incarnation)
        .with_count("age_ms", millis(end.age))
        .send();
}
