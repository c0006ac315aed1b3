use http::StatusCode;

/// What an order makes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallFate {
    /// It is echoed.
    Echo,
    /// It is answered with this status.
    Fail(StatusCode),
    /// Its reply is lost.
    Lose,
    /// It crashes the service.
    Crash,
}
