use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use super::UpstreamEntry;
use crate::id::UpstreamId;
use crate::policy::{StandingEnd, StandingVerdict, UpstreamStanding};

/// What this instance knows about upstreams from the outcomes of its own requests and from what they
/// state in their responses.
///
/// Each failure adds a penalty that decays over time. An upstream that can't be reached is also
/// excluded from the choice for a short backoff, so that requests do not queue up behind it. One that
/// says that it leaves or that it wants no requests for a time is not sent any.
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
    standing: UpstreamStanding,
}

/// The upstreams of a service that may receive a request.
#[derive(Debug, Clone, PartialEq)]
pub struct ScreenedUpstreams<'a> {
    /// The upstreams to choose from.
    pub usable: Vec<&'a Arc<UpstreamEntry>>,
    /// If there are none: the shortest time for which an upstream wants no requests.
    pub shortest_pause: Option<Duration>,
}

/// Half-life of recorded failures.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Backoff after an upstream was first found unreachable; it doubles with each consecutive failure
/// to reach the upstream, up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Maximum backoff; an upstream that has recovered is tried again within this time.
const MAX_BACKOFF: Duration = Duration::from_millis(1200);

/// Maximum time by which an instance prolongs a pause, so that instances don't all return at once.
const MAX_RETURN_SPREAD: Duration = Duration::from_secs(1);

/// Time for which the records of an upstream are kept after it was last listed or used. An entry that
/// is missing during an outage of the store returns sooner.
const RECORD_EXPIRY: Duration = Duration::from_mins(15);

impl UpstreamHealth {
    /// Creates a tracker without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a response other than a server error: ends the backoff and reduces the failures.
    ///
    /// Returns what has ended if the upstream was avoided because of its own statement until now.
    pub fn record_success(&self, entry: &UpstreamEntry, now: Duration) -> Option<StandingEnd> {
        let mut records = self.lock();
        let record = records.get_mut(&entry.id)?;
        record.consecutive_outages = 0;
        record.avoid_until = Duration::ZERO;
        record.failures *= 0.9;
        record.standing.record_success(entry.incarnation, now)
    }

    /// Records a server error, a refusal or an invalid response.
    pub fn record_failure(&self, upstream: &UpstreamId, now: Duration) {
        let mut records = self.lock();
        let record = records.entry(upstream.clone()).or_default();
        record.decay(now);
        record.failures += 1.0;
    }

    /// Records that the upstream could not be reached or did not respond, and starts a backoff.
    pub fn record_unreachable(&self, upstream: &UpstreamId, now: Duration) {
        let mut records = self.lock();
        let record = records.entry(upstream.clone()).or_default();
        record.decay(now);
        record.failures += 1.0;
        let backoff = INITIAL_BACKOFF * 2_u32.pow(record.consecutive_outages.min(4));
        record.consecutive_outages += 1;
        record.avoid_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records that an upstream says that it leaves; returns whether this was not known.
    pub fn record_leaving(&self, entry: &UpstreamEntry, now: Duration) -> bool {
        let mut records = self.lock();
        let record = records.entry(entry.id.clone()).or_default();
        record.decay(now);
        record.standing.record_leaving(entry.incarnation, now)
    }

    /// Records that an upstream wants no requests for the time `pause`; returns whether a pause began.
    ///
    /// `return_point`, a number from 0 to 1, prolongs the pause by up to half, at most by a second, so
    /// that the instances of a fleet return one after another.
    pub fn record_pause(
        &self,
        entry: &UpstreamEntry,
        pause: Duration,
        return_point: f64,
        now: Duration,
    ) -> bool {
        let spread = (pause / 2).min(MAX_RETURN_SPREAD).mul_f64(return_point);
        let mut records = self.lock();
        let record = records.entry(entry.id.clone()).or_default();
        record.decay(now);
        let until = now + pause + spread;
        record.standing.record_pause(entry.incarnation, until, now)
    }

    /// Selects the upstreams that may receive a request that arrived at `arrived`.
    ///
    /// If all are in backoff, all remain, since trying one is better than rejecting the request. One
    /// that leaves remains only if there is no other, and only for requests that arrived within
    /// `drain_limit` of its statement.
    #[must_use]
    pub fn screen<'a>(
        &self,
        entries: &[&'a Arc<UpstreamEntry>],
        arrived: Duration,
        drain_limit: Duration,
        now: Duration,
    ) -> ScreenedUpstreams<'a> {
        let records = self.lock();
        let mut reachable = Vec::with_capacity(entries.len());
        let (mut avoided, mut leaving) = (Vec::new(), Vec::new());
        let mut shortest_pause: Option<Duration> = None;
        for entry in entries {
            let Some(record) = records.get(&entry.id) else {
                reachable.push(*entry);
                continue;
            };
            match record.standing.verdict(entry.incarnation, now) {
                StandingVerdict::Open | StandingVerdict::Trial if record.avoid_until <= now => {
                    reachable.push(*entry);
                }
                StandingVerdict::Open | StandingVerdict::Trial => avoided.push(*entry),
                StandingVerdict::Paused(left) => {
                    shortest_pause = Some(shortest_pause.map_or(left, |pause| pause.min(left)));
                }
                StandingVerdict::Leaving(since) => {
                    if arrived <= since + drain_limit {
                        leaving.push(*entry);
                    }
                }
            }
        }
        let mut choices = [reachable, avoided, leaving].into_iter();
        ScreenedUpstreams {
            usable: choices
                .find(|choice| !choice.is_empty())
                .unwrap_or_default(),
            shortest_pause,
        }
    }

    /// Returns whether the upstream may receive the request that is about to be sent, as far as its
    /// statements go, and records the request if it is the one that is sent after a pause.
    pub fn begin_attempt(&self, entry: &UpstreamEntry, now: Duration) -> StandingVerdict {
        let mut records = self.lock();
        let Some(record) = records.get_mut(&entry.id) else {
            return StandingVerdict::Open;
        };
        let verdict = record.standing.verdict(entry.incarnation, now);
        if verdict == StandingVerdict::Trial {
            record.standing.begin_trial(now);
        }
        verdict
    }

    /// Records a request that is sent to an upstream that leaves. If the upstream has asked for a pause,
    /// which has ended, the next request waits for the outcome of this one.
    pub fn begin_trial(&self, upstream: &UpstreamId, now: Duration) {
        if let Some(record) = self.lock().get_mut(upstream) {
            record.standing.begin_trial(now);
        }
    }

    /// Returns the number of recent failures, decayed by age.
    #[must_use]
    pub fn failures(&self, upstream: &UpstreamId, now: Duration) -> f64 {
        self.lock()
            .get(upstream)
            .map_or(0.0, |record| record.decayed_failures(now))
    }

    /// Removes the records of upstreams for which `is_listed` returns `false` and which have not
    /// changed for fifteen minutes.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool, now: Duration) {
        self.lock().retain(|upstream, record| {
            is_listed(upstream) || now.saturating_sub(record.updated_at) < RECORD_EXPIRY
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, HealthRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl HealthRecord {
    fn decay(&mut self, now: Duration) {
        self.failures = self.decayed_failures(now);
        self.updated_at = now;
    }

    fn decayed_failures(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.failures * (-age / FAILURE_HALF_LIFE.as_secs_f64()).exp2()
    }
}
