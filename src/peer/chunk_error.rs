//! Errors as parts of an answer.

use super::{CallChunk, RefusalBody, chunk};
use crate::error::Error;

impl CallChunk {
    /// Wraps the content of a part of an answer.
    #[must_use]
    pub const fn from_body(body: chunk::Body) -> Self {
        Self { body: Some(body) }
    }

    /// Writes an error as the last part of an answer.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        Self::from_body(chunk::Body::Refused(RefusalBody::from_error(error)))
    }
}
