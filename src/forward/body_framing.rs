use http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// A `Content-Length` header states the number of bytes.
    Length,
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The body ends with its connection, so that an orderly close by a failing upstream looks like
    /// the end of the body.
    Connection,
}

impl BodyFraming {
    /// Returns the framing that the headers of a response state.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        if headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }

    /// Returns the name of the framing in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }
}
