use http::StatusCode;

use crate::error::RunState;

/// Why an attempt yielded no response that can be forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request was written, for example because connecting failed.
    NotSent(String),
    /// No connection to the upstream could be opened, as after its end or on a cut link.
    Unreachable(String),
    /// The upstream has meanwhile said that it wants no such request, which was therefore not sent.
    Withheld,
    /// The upstream refused to run the request and responded with this status.
    NotRun(StatusCode),
    /// The upstream refused the request with this status without stating that it did not run.
    Unconfirmed(StatusCode),
    /// The connection failed after the request was sent.
    Broken(String),
    /// The response head did not arrive in time.
    TimedOut,
    /// A newer version of the adapter was announced and the response head did not arrive soon after.
    Outdated,
    /// A part of the prompt was refused before the response head arrived.
    Withdrawn,
    /// The response belongs to another attempt, lacks a signature or attempt id, or has a status that
    /// is none of a final response.
    Mismatch(String),
}

impl AttemptFailure {
    /// Returns whether the request certainly did not run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        self.is_not_sent() || matches!(self, Self::Withheld | Self::NotRun(_))
    }

    /// Returns whether the attempt failed before any byte of the request was written.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Unreachable(_))
    }

    /// Returns the name of the failure in logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::NotSent(_) | Self::Unreachable(_) => "not_sent",
            Self::Withheld => "withheld",
            Self::NotRun(_) => "not_run",
            Self::Unconfirmed(_) => "unconfirmed",
            Self::Broken(_) => "broken",
            Self::TimedOut => "timed_out",
            Self::Outdated => "outdated",
            Self::Withdrawn => "withdrawn",
            Self::Mismatch(_) => "mismatch",
        }
    }
}

impl From<&AttemptFailure> for RunState {
    fn from(failure: &AttemptFailure) -> Self {
        if failure.is_not_run() {
            Self::NotRun
        } else {
            Self::Unknown
        }
    }
}
