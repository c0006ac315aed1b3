//! Constructors of [`CallChunk`], from content and from an error.

use super::{CallChunk, RefusalBody, chunk};
use crate::error::Error;

impl CallChunk {
    /// Creates a chunk from its content.
    #[must_use]
    pub const fn from_body(body: chunk::Body) -> Self {
        Self { body: Some(body) }
    }

    /// Creates the last chunk of an answer that failed with `error`.
    #[must_use]
    pub fn from_error(error: &Error) -> Self {
        Self::from_body(chunk::Body::Refused(RefusalBody::from_error(error)))
    }
}
