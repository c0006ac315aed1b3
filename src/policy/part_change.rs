use std::time::Duration;

use super::CrashSighting;

/// What an instance tells its peers about a part of prompts, or a whole request, that may crash upstreams.
///
/// Times are ages, since the clocks of instances differ.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartChange {
    /// The key of the part.
    pub part: u64,
    /// Its place in the prompts, counted from the first part; [`u32::MAX`] for a whole request.
    pub position: u32,
    /// The crashes that the instance observed.
    pub crashes: Vec<CrashSighting>,
    /// Time since an answer on the part was sound.
    pub sound_age: Option<Duration>,
    /// Time since the part was refused.
    pub refused_age: Option<Duration>,
    /// Number of requests that were sent although the part was refused.
    pub trials: u32,
    /// Time since the last of them.
    pub trial_age: Option<Duration>,
}
