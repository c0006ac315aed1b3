/// How a request is treated, given the crashes recorded for its fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// No crash is recorded: the request runs like any other.
    Clear,
    /// The request is suspect and runs only while no other request runs on its upstream.
    Exclusive,
    /// The request is refused after too many crashes.
    Refused,
}
