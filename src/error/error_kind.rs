use displaydoc::Display;

/// The kind of an [`Error`](super::Error); its `Display` text states the cause and the remedy.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum ErrorKind {
    /// the request is malformed; correct it and send it again
    BadRequest,
    /// no route or adapter of that name; check the name against the route table
    NotFound,
    /// the body is too large; shorten it or raise `max_body` of the route
    BodyTooLarge,
    /// the wait would exceed the deadline; retry later or with a longer deadline
    Overloaded,
    /// the deadline passed; retry with a longer deadline
    DeadlineExceeded,
    /// no usable upstream; retry later and check the pool table and the upstreams
    Unavailable,
    /// the upstream failed; retry if the request may be repeated
    Upstream,
    /// the upstream restarted and lost the request; retry if the request may be repeated
    Restarted,
    /// the answer was cut off; retry if the request may be repeated
    Truncated,
    /// the request crashed upstreams repeatedly; change it before sending it again
    Quarantined,
    /// the idempotency key belongs to a request that is in progress; ask again later
    InProgress,
    /// the idempotency key was used with another body; use a new key for a new request
    KeyReused,
    /// the platform's object store did not answer; retry later
    Platform,
    /// a peer did not answer; it is redialled automatically
    Peer,
    /// the peer broke the protocol; check that both run compatible versions
    Protocol,
    /// the tables are inconsistent; correct the named row and apply again
    Table,
    /// another edit was accepted first; review the difference and apply again
    Conflict,
    /// the settings are invalid; correct the named keys
    Settings,
    /// the order came from a former owner; the present owner continues
    Fenced,
    /// this instance is shutting down; send the request to another instance
    ShuttingDown,
    /// internal fault; report it with the log lines of this request
    Internal,
}

impl ErrorKind {
    /// Returns the stable code used in responses, logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::NotFound => "not_found",
            Self::BodyTooLarge => "body_too_large",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Unavailable => "unavailable",
            Self::Upstream => "upstream_failed",
            Self::Restarted => "upstream_restarted",
            Self::Truncated => "truncated",
            Self::Quarantined => "quarantined",
            Self::InProgress => "in_progress",
            Self::KeyReused => "key_reused",
            Self::Platform => "platform_unavailable",
            Self::Peer => "peer_unavailable",
            Self::Protocol => "protocol_error",
            Self::Table => "invalid_table",
            Self::Conflict => "conflict",
            Self::Settings => "invalid_settings",
            Self::Fenced => "fenced",
            Self::ShuttingDown => "shutting_down",
            Self::Internal => "internal",
        }
    }

    /// Returns the kind for a code received from a peer; an unknown code gives `Internal`.
    #[must_use]
    pub fn from_code(code: &str) -> Self {
        const ALL: [ErrorKind; 21] = [
            ErrorKind::BadRequest,
            ErrorKind::NotFound,
            ErrorKind::BodyTooLarge,
            ErrorKind::Overloaded,
            ErrorKind::DeadlineExceeded,
            ErrorKind::Unavailable,
            ErrorKind::Upstream,
            ErrorKind::Restarted,
            ErrorKind::Truncated,
            ErrorKind::Quarantined,
            ErrorKind::InProgress,
            ErrorKind::KeyReused,
            ErrorKind::Platform,
            ErrorKind::Peer,
            ErrorKind::Protocol,
            ErrorKind::Table,
            ErrorKind::Conflict,
            ErrorKind::Settings,
            ErrorKind::Fenced,
            ErrorKind::ShuttingDown,
            ErrorKind::Internal,
        ];
        ALL.into_iter()
            .find(|kind| kind.as_str() == code)
            .unwrap_or(Self::Internal)
    }
}
