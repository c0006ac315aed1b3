use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::id::UpstreamId;

/// Passive health tracking: rates upstreams by the outcomes of this instance's requests.
///
/// Each failure adds a penalty that decays over time. An upstream that can't be reached is also
/// excluded from the choice for a short backoff, so that requests do not queue up behind it.
#[derive(Debug, Default)]
pub struct UpstreamHealth {
    records: Mutex<BTreeMap<UpstreamId, HealthRecord>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct HealthRecord {
    failures: f64,
    updated_at: Duration,
    avoid_until: Duration,
    consecutive_outages: u32,
}

/// Half-life of recorded failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Backoff after an upstream was first found unreachable; it doubles with each consecutive failure
/// to reach the upstream, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff; an upstream that has recovered is tried again within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

impl UpstreamHealth {
    /// Creates a tracker without recorded failures.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response other than a server error: ends the backoff and reduces the failures.
    pub fn record_success(&self, upstream: &UpstreamId) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(record) = records.get_mut(upstream) {
            record.consecutive_outages = 0;
            record.avoid_until = Duration::ZERO;
            record.failures *= 0.9;
        }
    }

    /// Records a server error, a refusal or an invalid response.
    pub fn record_failure(&self, upstream: &UpstreamId, now: Duration) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let record = records.entry(upstream.clone()).or_default();
        record.failures = record.decayed_failures(now) + 1.0;
        record.updated_at = now;
    }

    /// Records that the upstream could not be reached or did not respond, and starts a backoff.
    pub fn record_unreachable(&self, upstream: &UpstreamId, now: Duration) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        let record = records.entry(upstream.clone()).or_default();
        record.failures = record.decayed_failures(now) + 1.0;
        record.updated_at = now;
        let backoff = INITIAL_BACKOFF * 2_u32.pow(record.consecutive_outages.min(4));
        record.consecutive_outages += 1;
        record.avoid_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Returns whether the upstream may be chosen, that is, has no backoff in progress.
    #[must_use]
    pub fn is_usable(&self, upstream: &UpstreamId, now: Duration) -> bool {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .get(upstream)
            .is_none_or(|record| record.avoid_until <= now)
    }

    /// Returns the number of recent failures, decayed by age.
    #[must_use]
    pub fn failures(&self, upstream: &UpstreamId, now: Duration) -> f64 {
        let records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records
            .get(upstream)
            .map_or(0.0, |record| record.decayed_failures(now))
    }

    /// Removes the records of upstreams for which `is_listed` returns `false`.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner);
        records.retain(|upstream, _| is_listed(upstream));
    }
}

impl HealthRecord {
    fn decayed_failures(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.failures * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }
}
