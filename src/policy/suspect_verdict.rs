/// How a request is treated, given the crashes recorded for its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// No crash is recorded: the request runs like any other.
    Clear,
    /// The request runs without any other request on its upstream.
    Exclusive,
    /// The request is refused after too many crashes.
    Refused,
}
