use std::time::Duration;

use super::{CrashSighting, PartChange};

/// A crash of an upstream that had begun an answer on a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PartCrash {
    pub(super) upstream: u64,
    pub(super) at: Duration,
    /// Whether the answer had only just begun, as those of a deadly part have.
    pub(super) is_early: bool,
    pub(super) is_local: bool,
}

/// What is known of one part that may crash upstreams.
#[derive(Debug, Clone, Default)]
pub(super) struct PartRecord {
    pub(super) position: u32,
    /// The crashes, none twice, in the order in which they were learned of.
    pub(super) crashes: Vec<PartCrash>,
    /// The time of the latest known sound answer.
    pub(super) sound_at: Option<Duration>,
    pub(super) refused_at: Option<Duration>,
    pub(super) trials: u32,
    pub(super) trial_at: Option<Duration>,
    /// The number of the latest change that this instance has observed itself; zero if there is none.
    pub(super) changed: u64,
    pub(super) updated_at: Duration,
}

/// Time between two breaks of answers of one upstream within which they are one crash. Instances learn
/// of a crash within milliseconds of each other, and no upstream is back within this time.
pub(super) const SAME_CRASH: Duration = Duration::from_millis(250);

/// Maximum number of crashes that are kept for a part; fewer refuse it.
const MAX_CRASHES: usize = 16;

/// Time after which a crash no longer counts.
pub(super) const CRASH_EXPIRY: Duration = Duration::from_mins(5);

impl PartCrash {
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.upstream == other.upstream && self.at.abs_diff(other.at) < SAME_CRASH
    }
}

impl PartRecord {
    /// Adds a crash, or what is new about a known one; returns whether there was anything new.
    pub(super) fn add_crash(&mut self, crash: PartCrash) -> bool {
        let is_same = |known: &&mut PartCrash| known.is_same(&crash);
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            let is_new = crash.is_early && !known.is_early;
            known.is_early |= crash.is_early;
            known.is_local |= is_new && crash.is_local;
            return is_new;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Returns the crashes since the last sound answer that have not expired, from the oldest on.
    pub(super) fn live_crashes(&self, now: Duration) -> Vec<PartCrash> {
        let is_live = |crash: &&PartCrash| {
            self.sound_at.is_none_or(|sound| crash.at > sound)
                && now.saturating_sub(crash.at) < CRASH_EXPIRY
        };
        let mut live: Vec<PartCrash> = self.crashes.iter().filter(is_live).copied().collect();
        live.sort_by_key(|crash| crash.at);
        live
    }

    /// Records a sound answer, which ends a refusal from before it.
    pub(super) fn record_sound(&mut self, at: Duration) {
        self.sound_at = self.sound_at.max(Some(at));
        if self.refused_at.is_some_and(|refused| refused <= at) {
            self.refused_at = None;
            self.trials = 0;
            self.trial_at = None;
        }
    }

    /// Merges what a peer has told.
    pub(super) fn merge(&mut self, change: &PartChange, now: Duration) {
        let to_time = |age: Duration| now.saturating_sub(age);
        self.position = self.position.max(change.position);
        for sighting in change.crashes.iter().take(MAX_CRASHES) {
            if sighting.age < CRASH_EXPIRY {
                self.add_crash(PartCrash {
                    upstream: sighting.upstream,
                    at: to_time(sighting.age),
                    is_early: sighting.is_early,
                    is_local: false,
                });
            }
        }
        if let Some(age) = change.refused_age {
            let told = to_time(age);
            let is_cleared = self.sound_at.is_some_and(|sound| sound >= told);
            if !is_cleared {
                self.refused_at = Some(self.refused_at.map_or(told, |known| known.min(told)));
                self.trials = self.trials.max(change.trials);
                self.trial_at = self.trial_at.max(change.trial_age.map(to_time));
            }
        }
        if let Some(age) = change.sound_age {
            self.record_sound(to_time(age));
        }
    }

    /// Returns what to tell a peer.
    pub(super) fn to_change(&self, part: u64, now: Duration) -> PartChange {
        let to_age = |at: Duration| now.saturating_sub(at);
        let to_sighting = |crash: &PartCrash| CrashSighting {
            upstream: crash.upstream,
            age: to_age(crash.at),
            is_early: crash.is_early,
        };
        let own = self.crashes.iter().filter(|crash| crash.is_local);
        PartChange {
            part,
            position: self.position,
            crashes: own.map(to_sighting).collect(),
            sound_age: self.sound_at.map(to_age),
            refused_age: self.refused_at.map(to_age),
            trials: self.trials,
            trial_age: self.trial_at.map(to_age),
        }
    }
}

/// Returns the number of crashes that are at least `distance` apart, given all of them from the oldest
/// on. Upstreams that end at one moment have a common cause.
pub(super) fn count_moments(crashes: &[PartCrash], distance: Duration) -> usize {
    let mut count = 0;
    let mut last: Option<Duration> = None;
    for crash in crashes {
        if last.is_none_or(|last| crash.at >= last + distance) {
            count += 1;
            last = Some(crash.at);
        }
    }
    count
}
