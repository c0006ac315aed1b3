use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::id::AttemptId;

/// A call to dispatch to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The attempt.
    pub attempt: AttemptId,
}
