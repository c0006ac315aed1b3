use clap::ValueEnum;
use serde::{Deserialize, Serialize};

/// What the load generator sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallKind {
    /// Completions, answered by a stream of events.
    Completion,
    /// Calls of a plain service, answered by an echo.
    Plain,
}
