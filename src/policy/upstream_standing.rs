use std::time::Duration;

/// What an upstream has stated about itself: that it leaves, or that it wants no requests for a time.
///
/// Statements belong to one incarnation of the upstream. A newer incarnation starts without any, and
/// an older one, as in a late record of the store, does not take them back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamStanding {
    leaving: Option<LeavingMark>,
    pause: Option<PauseMark>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeavingMark {
    incarnation: u64,
    since: Duration,
    /// Whether a newer incarnation has responded. The mark is kept for late records of this one.
    is_replaced: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PauseMark {
    incarnation: u64,
    since: Duration,
    until: Duration,
    /// When the last request after the end of the pause was admitted.
    trial_at: Option<Duration>,
}

/// Why an upstream gets no requests, as far as its own statements go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingCause {
    /// It leaves.
    Leaving,
    /// It wants no requests for a time.
    Pause,
}

/// The end of a time in which an upstream got no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandingEnd {
    /// Why it got none.
    pub cause: StandingCause,
    /// The time since it began.
    pub age: Duration,
}

/// Whether an upstream may receive a request, as far as its own statements go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandingVerdict {
    /// It may receive requests.
    Open,
    /// It may receive one request, which shows whether the pause has ended.
    Trial,
    /// It wants no requests for this time.
    Paused(Duration),
    /// It has been leaving since this time, and wants no pause.
    Leaving(Duration),
}

/// Time after which another request is admitted if the first one after a pause has shown nothing.
/// Healthy upstreams answer within this time.
const TRIAL_INTERVAL: Duration = Duration::from_secs(1);

impl StandingCause {
    /// Returns the name of the cause in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Pause => "pause",
        }
    }
}

impl UpstreamStanding {
    /// Records that an incarnation of the upstream leaves; returns whether this was not known.
    pub fn record_leaving(&mut self, incarnation: u64, now: Duration) -> bool {
        let is_new = self
            .leaving
            .is_none_or(|mark| incarnation > mark.incarnation);
        if is_new {
            self.leaving = Some(LeavingMark {
                incarnation,
                since: now,
                is_replaced: false,
            });
        }
        is_new
    }

    /// Records that an incarnation of the upstream wants no requests before `until`; returns whether
    /// a pause began, rather than being extended.
    ///
    /// A later statement replaces an earlier one only if it ends later, because responses may arrive
    /// out of order.
    pub fn record_pause(&mut self, incarnation: u64, until: Duration, now: Duration) -> bool {
        let former = self.pause.filter(|mark| mark.incarnation >= incarnation);
        if former.is_some_and(|mark| mark.incarnation > incarnation) {
            return false;
        }
        self.pause = Some(PauseMark {
            incarnation,
            since: former.map_or(now, |mark| mark.since),
            until: former.map_or(until, |mark| mark.until.max(until)),
            trial_at: None,
        });
        former.is_none()
    }

    /// Records a successful response of an incarnation; returns what has ended, if this ends a pause or
    /// is the first one of the successor of an incarnation that left.
    ///
    /// A success during the pause may belong to a request that was sent before it, and ends nothing.
    pub fn record_success(&mut self, incarnation: u64, now: Duration) -> Option<StandingEnd> {
        if let Some(mark) = self.pause.filter(|mark| now >= mark.until) {
            self.pause = None;
            return Some(StandingEnd {
                cause: StandingCause::Pause,
                age: now.saturating_sub(mark.since),
            });
        }
        let mark = self.leaving.as_mut()?;
        if mark.is_replaced || incarnation <= mark.incarnation {
            return None;
        }
        mark.is_replaced = true;
        Some(StandingEnd {
            cause: StandingCause::Leaving,
            age: now.saturating_sub(mark.since),
        })
    }

    /// Returns whether an incarnation of the upstream may receive a request at the time `now`.
    ///
    /// A pause counts before a statement that the upstream leaves, since one that leaves is the last
    /// resort of its service and one that pauses is none.
    #[must_use]
    pub fn verdict(&self, incarnation: u64, now: Duration) -> StandingVerdict {
        let pause = self.pause.filter(|mark| incarnation <= mark.incarnation);
        let next = pause.map(|mark| {
            mark.trial_at.map_or(mark.until, |trial_at| {
                mark.until.max(trial_at + TRIAL_INTERVAL)
            })
        });
        if let Some(left) = next.and_then(|next| next.checked_sub(now))
            && !left.is_zero()
        {
            return StandingVerdict::Paused(left);
        }
        let leaving = self.leaving.filter(|mark| incarnation <= mark.incarnation);
        match (leaving, pause) {
            (Some(mark), _) => StandingVerdict::Leaving(mark.since),
            (None, Some(_)) => StandingVerdict::Trial,
            (None, None) => StandingVerdict::Open,
        }
    }

    /// Records that a request is sent after the end of a pause, if the upstream has asked for one.
    pub fn begin_trial(&mut self, now: Duration) {
        if let Some(mark) = &mut self.pause {
            mark.trial_at = Some(now);
        }
    }

    /// Returns whether the upstream has stated nothing that is still in force.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.leaving.is_none() && self.pause.is_none()
    }
}
