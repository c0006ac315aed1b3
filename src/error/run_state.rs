use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a failed request ran at an upstream, which decides whether a retry is safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No byte of the request was written to an upstream.
    NotRun,
    /// An upstream ran the request.
    Ran,
    /// The request was sent and its outcome is unknown.
    Unknown,
}

impl RunState {
    /// Returns the name used in responses and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
