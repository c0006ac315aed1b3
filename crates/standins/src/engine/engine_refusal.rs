use http::StatusCode;

/// The reason why an engine refuses an order or a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EngineRefusal {
    /// The epoch is older than one that was seen.
    Fenced,
    /// No slot is free.
    Full,
    /// The load failed.
    LoadFailed,
    /// The adapter is not loaded.
    NotResident,
    /// The attempt is not known, or no longer.
    UnknownAttempt,
    /// The attempt is known already.
    RepeatedAttempt,
    /// The request or order can't be read.
    Malformed,
    /// The engine restarted, which cuts the connection.
    Restarted,
}

impl EngineRefusal {
    /// Returns the stable code.
    pub(super) const fn code(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::Full => "full",
            Self::LoadFailed => "load_failed",
            Self::NotResident => "not_resident",
            Self::UnknownAttempt => "unknown_attempt",
            Self::RepeatedAttempt => "repeated_attempt",
            Self::Malformed => "malformed",
            Self::Restarted => "restarted",
        }
    }

    /// Returns the status.
    pub(super) const fn status(self) -> StatusCode {
        match self {
            Self::Fenced | Self::Full | Self::RepeatedAttempt => StatusCode::CONFLICT,
            Self::LoadFailed | Self::Restarted => StatusCode::INTERNAL_SERVER_ERROR,
            Self::NotResident | Self::UnknownAttempt => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns what to do about it.
    pub(super) const fn message(self) -> &'static str {
        match self {
            Self::Fenced => "the epoch is old; leave the engine to its present owner",
            Self::Full => "no slot is free; evict an adapter first",
            Self::LoadFailed => "the load failed; order it again",
            Self::NotResident => "the adapter is not loaded; load it first",
            Self::UnknownAttempt => "the attempt is not known; send the request again",
            Self::RepeatedAttempt => "the attempt is known; use a new attempt id",
            Self::Malformed => "the request can't be read; correct its headers and JSON",
            Self::Restarted => "the engine restarted; load the adapter again",
        }
    }
}
