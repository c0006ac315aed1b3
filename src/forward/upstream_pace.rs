use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::id::UpstreamId;

/// Estimates how slow each upstream is at the moment, from the pauses in its streams and from what
/// it states itself.
///
/// All streams of an engine share its decoding steps, so that each of them shows a slowdown within
/// a few events, long before a report on the load does.
#[derive(Debug, Default)]
pub struct UpstreamPace {
    state: Mutex<PaceState>,
}

#[derive(Debug, Default)]
struct PaceState {
    upstreams: BTreeMap<UpstreamId, PaceRecord>,
    /// The usual gap between the events of a stream in milliseconds, by service.
    usual_gaps: BTreeMap<String, f64>,
}

/// What was last observed of an upstream.
#[derive(Debug, Clone, Copy, Default)]
struct PaceRecord {
    /// The longest recent gap in milliseconds, which decays with its age.
    gap_ms: f64,
    gap_at: Duration,
    /// The slowdown that the upstream stated, and when; zero if it has stated none.
    stated: f64,
    stated_at: Duration,
}

/// The pauses to expect in the streams of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceEstimate {
    /// The usual gap between events in milliseconds; zero if no stream was seen yet.
    pub usual_gap_ms: f64,
    /// How many times as long as usual work takes at the moment; one if nothing recent is known.
    pub slowdown: f64,
}

/// Half-life of a recorded gap. Upstreams that share their machines are slow for a few tenths of a
/// second at a time.
const GAP_HALF_LIFE: Duration = Duration::from_millis(150);

/// Age up to which a stated slowdown counts; it changes many times a second.
const STATED_EXPIRY: Duration = Duration::from_millis(150);

/// Time since its last statement up to which an upstream counts as one that states its slowdown.
const STATING_EXPIRY: Duration = Duration::from_secs(10);

/// Weight of one gap in the usual gap of a service.
const USUAL_WEIGHT: f64 = 0.01;

/// Longest gap that is recorded, in milliseconds; a longer one is a stall, which the stream itself
/// handles.
const MAX_GAP_MS: f64 = 2000.0;

/// Greatest slowdown that is assumed; an upstream that states more, or whose streams pause for
/// longer, is not avoided any more than this.
const MAX_SLOWDOWN: f64 = 4.0;

impl Default for PaceEstimate {
    fn default() -> Self {
        Self {
            usual_gap_ms: 0.0,
            slowdown: 1.0,
        }
    }
}

impl UpstreamPace {
    /// Records the time between two events of a stream.
    pub fn record_gap(&self, service: &str, upstream: &UpstreamId, gap: Duration, now: Duration) {
        let gap_ms = (gap.as_secs_f64() * 1000.0).min(MAX_GAP_MS);
        let mut state = self.lock();
        match state.usual_gaps.get_mut(service) {
            Some(usual_ms) => *usual_ms += (gap_ms - *usual_ms) * USUAL_WEIGHT,
            None => {
                state.usual_gaps.insert(service.to_owned(), gap_ms);
            }
        }
        let record = record(&mut state, upstream);
        if record.decayed_gap_ms(now) <= gap_ms {
            record.gap_ms = gap_ms;
            record.gap_at = now;
        }
    }

    /// Records how many times as long as usual work takes, as an upstream states it.
    pub fn record_stated(&self, upstream: &UpstreamId, slowdown: f64, now: Duration) {
        let mut state = self.lock();
        let record = record(&mut state, upstream);
        record.stated = slowdown;
        record.stated_at = now;
    }

    /// Returns what to expect of the streams of an upstream, or nothing unusual if it has not stated
    /// its slowdown for long: the streams of a machine that is not shared pause for the prompts that
    /// their engine reads, which its load already shows.
    #[must_use]
    pub fn estimate(&self, service: &str, upstream: &UpstreamId, now: Duration) -> PaceEstimate {
        let state = self.lock();
        let record = state.upstreams.get(upstream).copied().unwrap_or_default();
        let stated_age = now.saturating_sub(record.stated_at);
        if record.stated <= 0.0 || stated_age > STATING_EXPIRY {
            return PaceEstimate::default();
        }
        let usual_gap_ms = state.usual_gaps.get(service).copied().unwrap_or(0.0);
        let slowdown = if stated_age < STATED_EXPIRY {
            record.stated
        } else if usual_gap_ms > 0.0 {
            record.decayed_gap_ms(now) / usual_gap_ms
        } else {
            1.0
        };
        PaceEstimate {
            usual_gap_ms,
            slowdown: slowdown.clamp(1.0, MAX_SLOWDOWN),
        }
    }

    /// Removes the records of upstreams for which `is_listed` is false.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        let mut state = self.lock();
        state.upstreams.retain(|upstream, _| is_listed(upstream));
    }

    fn lock(&self) -> MutexGuard<'_, PaceState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn record<'a>(state: &'a mut PaceState, upstream: &UpstreamId) -> &'a mut PaceRecord {
    state.upstreams.entry(upstream.clone()).or_default()
}

impl PaceRecord {
    fn decayed_gap_ms(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.gap_at).as_secs_f64();
        self.gap_ms * (-age / GAP_HALF_LIFE.as_secs_f64()).exp2()
    }
}
