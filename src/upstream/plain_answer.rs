use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// The complete response of a plain service, which is relayed to the caller.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// The status, which may be an error status.
    pub status: StatusCode,
    /// The headers as the service sent them.
    pub headers: HeaderMap,
    /// The complete body, at most 16 MiB.
    pub body: Bytes,
}
