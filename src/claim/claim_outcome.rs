use super::StoredAnswer;

/// What became of an attempt to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The attempt holds the claim and may be dispatched, once.
    Granted,
    /// An earlier attempt has finished with this answer.
    Finished(StoredAnswer),
    /// An earlier attempt is still running.
    InProgress,
    /// An earlier attempt did not report its end; whether it ran is not known.
    Unknown,
    /// The key was used for a request with another body.
    KeyReused,
}
