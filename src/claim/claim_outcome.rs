use super::StoredAnswer;

/// The outcome of an attempt to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The attempt holds the claim and may be dispatched at most once.
    Granted,
    /// An earlier attempt has finished with this answer.
    Finished(StoredAnswer),
    /// An earlier attempt is still running.
    InProgress,
    /// An earlier attempt did not report its outcome; whether it ran is unknown.
    Unknown,
    /// The key was used for a request with another body.
    KeyReused,
}
