use std::time::Duration;

/// What became of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestOutcome {
    /// Time to the first token, or to the head of a plain answer.
    pub(super) first_token: Option<Duration>,
    /// Time to the end of a complete answer, or the code of the failure.
    pub(super) end: Result<Duration, String>,
    /// Whether an event named another adapter or version.
    pub(super) is_misattributed: bool,
    /// Whether a complete answer had another text than the adapter gives.
    pub(super) is_altered: bool,
}
