use std::collections::BTreeSet;
use std::time::Duration;

use super::part_record::{PartCrash, SAME_CRASH, count_moments};

/// A part of prompts, or a whole request, with crashes since its last sound answer.
#[derive(Debug, Clone)]
pub(super) struct LiveSuspect {
    pub(super) part: u64,
    /// Whether any answer on the part has been sound.
    pub(super) was_sound: bool,
    pub(super) position: u32,
    pub(super) is_refused: bool,
    /// The crashes, from the oldest on.
    pub(super) crashes: Vec<PartCrash>,
}

/// Number of early crashes, at different moments and of more than one upstream, at which a part without
/// any sound answer is refused.
const REFUSAL_MOMENTS: usize = 3;

/// Number of crashes at which a part is refused [`PATIENCE`] after the first. They count even if they
/// were not early, or came at one moment or at one upstream, unless an answer on the part was sound
/// before: an outage of many upstreams breaks answers on every common part.
const REFUSAL_CRASHES: usize = 5;

/// Time for sound answers to clear a part before it is refused for crashes that may have another cause.
const PATIENCE: Duration = Duration::from_millis(1500);

/// Number of crashes of a part without any sound answer that explain those of a part that was sound.
const EXPLAINING_CRASHES: usize = 2;

/// Number of crashes at different moments at which a whole request is refused. Other requests at a
/// crashed upstream rarely meet a second crash without a whole answer in between.
pub(super) const REQUEST_CRASHES: usize = 3;

/// Shortest time from the crash of an upstream by a request to that of the next one, to which the
/// request is repeated.
const REPEAT_TIME: Duration = Duration::from_millis(20);

/// Position of a whole request, which comes after all parts of its prompt.
pub(super) const REQUEST_POSITION: u32 = u32::MAX;

impl LiveSuspect {
    /// Returns whether the crashes that no other suspect explains are enough to refuse the part.
    pub(super) fn suffices(&self, suspects: &[Self], now: Duration) -> bool {
        if self.crashes.len() < REFUSAL_MOMENTS {
            return false;
        }
        let explaining: Vec<&Self> = suspects
            .iter()
            .filter(|other| other.explains(self))
            .collect();
        let is_explained = |crash: &&PartCrash| {
            let has_crash = |other: &&Self| other.crashes.iter().any(|it| it.is_same(crash));
            explaining.iter().any(has_crash)
        };
        let crashes = self.crashes.iter().filter(|crash| !is_explained(crash));
        let crashes: Vec<PartCrash> = crashes.copied().collect();
        let Some(first) = crashes.first() else {
            return false;
        };
        if self.position == REQUEST_POSITION {
            return count_moments(&crashes, REPEAT_TIME) >= REQUEST_CRASHES;
        }
        let early = crashes.iter().filter(|crash| crash.is_early);
        let early: Vec<PartCrash> = early.copied().collect();
        let upstreams: BTreeSet<u64> = early.iter().map(|crash| crash.upstream).collect();
        let moments = if upstreams.len() > 1 {
            count_moments(&early, SAME_CRASH)
        } else {
            0
        };
        let is_patient = now.saturating_sub(first.at) >= PATIENCE;
        if self.was_sound {
            return moments >= REFUSAL_CRASHES && is_patient;
        }
        moments >= REFUSAL_MOMENTS || crashes.len() >= REFUSAL_CRASHES && is_patient
    }

    /// Returns whether a crash that both parts have rather comes from this one.
    fn explains(&self, other: &Self) -> bool {
        if self.part == other.part {
            return false;
        }
        let (count, other_count) = (self.crashes.len(), other.crashes.len());
        match (self.was_sound, other.was_sound) {
            (false, true) => count >= EXPLAINING_CRASHES,
            (true, false) => false,
            _ => count > other_count || self.is_refused && count == other_count,
        }
    }
}
