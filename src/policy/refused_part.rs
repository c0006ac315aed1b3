use std::time::Duration;

/// A refused part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedPart {
    /// The key of the part.
    pub part: u64,
    /// Time until a request with it may be tried again.
    pub retry_after: Duration,
}
