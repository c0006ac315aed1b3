#![expect(
    clippy::derive_partial_eq_without_eq,
    reason = "prost derives PartialEq only"
)]

use std::time::Duration;

use prost::Message;

use crate::policy::{CrashSighting, PartChange};

/// A part of prompts, or a whole request, that may crash upstreams.
#[derive(Clone, PartialEq, Message)]
pub struct SuspectPart {
    /// Key of the part.
    #[prost(fixed64, tag = "1")]
    pub part: u64,
    /// Its place in the prompts, counted from the first part; the highest number for a whole request.
    #[prost(uint32, tag = "2")]
    pub position: u32,
    /// Hashes of the upstreams that the sender saw crash.
    #[prost(fixed64, repeated, tag = "3")]
    pub upstreams: Vec<u64>,
    /// Ages of these crashes, in milliseconds.
    #[prost(uint64, repeated, tag = "4")]
    pub crash_ages_ms: Vec<u64>,
    /// Whether the answers had only just begun at these crashes.
    #[prost(bool, repeated, tag = "9")]
    pub are_early: Vec<bool>,
    /// Time since an answer on the part was sound, in milliseconds.
    #[prost(uint64, optional, tag = "5")]
    pub sound_age_ms: Option<u64>,
    /// Time since the part was refused, in milliseconds.
    #[prost(uint64, optional, tag = "6")]
    pub refused_age_ms: Option<u64>,
    /// Number of requests that were sent although the part was refused.
    #[prost(uint32, tag = "7")]
    pub trials: u32,
    /// Time since the last of them, in milliseconds.
    #[prost(uint64, optional, tag = "8")]
    pub trial_age_ms: Option<u64>,
}

impl SuspectPart {
    /// Returns the message that tells a change.
    #[must_use]
    pub fn from_change(change: &PartChange) -> Self {
        let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        let crashes = change.crashes.iter();
        Self {
            part: change.part,
            position: change.position,
            upstreams: crashes.clone().map(|crash| crash.upstream).collect(),
            crash_ages_ms: crashes.clone().map(|crash| millis(crash.age)).collect(),
            are_early: crashes.map(|crash| crash.is_early).collect(),
            sound_age_ms: change.sound_age.map(millis),
            refused_age_ms: change.refused_age.map(millis),
            trials: change.trials,
            trial_age_ms: change.trial_age.map(millis),
        }
    }

    /// Returns the change that the message tells.
    #[must_use]
    pub fn to_change(&self) -> PartChange {
        let ages = self.crash_ages_ms.iter().copied();
        let rest = ages.zip(self.are_early.iter().copied());
        let to_sighting = |(upstream, (age, is_early)): (&u64, _)| CrashSighting {
            upstream: *upstream,
            age: Duration::from_millis(age),
            is_early,
        };
        let crashes = self.upstreams.iter().zip(rest).map(to_sighting);
        PartChange {
            part: self.part,
            position: self.position,
            crashes: crashes.collect(),
            sound_age: self.sound_age_ms.map(Duration::from_millis),
            refused_age: self.refused_age_ms.map(Duration::from_millis),
            trials: self.trials,
            trial_age: self.trial_age_ms.map(Duration::from_millis),
        }
    }
}
