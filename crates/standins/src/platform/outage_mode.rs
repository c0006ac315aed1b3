use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What the platform does with calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OutageMode {
    /// It answers.
    Off,
    /// It answers each call with status 503.
    Refuse,
    /// It accepts calls and does not answer them until the outage ends.
    Hang,
}
