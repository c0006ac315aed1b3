use bytes::Bytes;
use http::{HeaderMap, StatusCode};

/// The answer of a plain service.
#[derive(Debug, Clone)]
pub struct PlainAnswer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}
