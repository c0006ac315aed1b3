use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::id::UpstreamId;

/// Judges upstreams by the answers that this instance got.
///
/// A failure costs an upstream a penalty that fades; a connection that cannot be established takes
/// it out of the choice for a short while, so that requests do not queue up behind it.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    marks: Mutex<BTreeMap<UpstreamId, HealthMark>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct HealthMark {
    failures: f64,
    updated_at: Duration,
    avoid_until: Duration,
    outages: u32,
}

/// Time in which half of the failures fade.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// The first pause after an upstream was not reached; it doubles up to the longest.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// The longest pause; an upstream that is back is tried again within this time.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

impl UpstreamHealth {
    /// Creates a record without failures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts an answer that shows the upstream at work.
    pub fn record_success(&self, upstream: &UpstreamId) {
        let mut marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(mark) = marks.get_mut(upstream) {
            mark.outages = 0;
            mark.avoid_until = Duration::ZERO;
            mark.failures *= 0.9;
        }
    }

    /// Counts a failed answer.
    pub fn record_failure(&self, upstream: &UpstreamId, now: Duration) {
        let mut marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        let mark = marks.entry(upstream.clone()).or_default();
        mark.failures = mark.faded(now) + 1.0;
        mark.updated_at = now;
    }

    /// Counts an upstream that was not reached or did not answer.
    pub fn record_unreachable(&self, upstream: &UpstreamId, now: Duration) {
        let mut marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        let mark = marks.entry(upstream.clone()).or_default();
        mark.failures = mark.faded(now) + 1.0;
        mark.updated_at = now;
        let pause = FIRST_PAUSE * 2_u32.pow(mark.outages.min(4));
        mark.outages += 1;
        mark.avoid_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Returns whether the upstream may be chosen.
    #[must_use]
    pub fn is_usable(&self, upstream: &UpstreamId, now: Duration) -> bool {
        let marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        marks
            .get(upstream)
            .is_none_or(|mark| mark.avoid_until <= now)
    }

    /// Returns the recent failures, faded by age.
    #[must_use]
    pub fn failures(&self, upstream: &UpstreamId, now: Duration) -> f64 {
        let marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        marks.get(upstream).map_or(0.0, |mark| mark.faded(now))
    }

    /// Forgets upstreams that `is_listed` does not name.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        let mut marks = self.marks.lock().unwrap_or_else(PoisonError::into_inner);
        marks.retain(|upstream, _| is_listed(upstream));
    }
}

impl HealthMark {
    fn faded(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.failures * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }
}
