use bytes::Bytes;
use http::{HeaderMap, Method};

use crate::id::AttemptId;

/// A call to dispatch to a plain service.
#[derive(Debug, Clone)]
pub struct PlainCall {
    /// The method of the caller's request.
    pub method: Method,
    /// The path with its query; starts with a slash.
    pub path: String,
    /// The headers to forward; those of the caller's connection are removed on dispatch.
    pub headers: HeaderMap,
    /// The body of the caller's request.
    pub body: Bytes,
    /// The attempt, which is sent in a header.
    pub attempt: AttemptId,
}
