use super::BodyFraming;
use crate::error::{Error, ErrorKind};
use crate::id::UpstreamId;

/// The end of a stream from one upstream.
#[derive(Debug, Clone, Copy)]
pub struct StreamEnd<'a> {
    /// The upstream that sent the stream.
    pub upstream: &'a UpstreamId,
    /// How the upstream marks the end of the stream.
    pub framing: BodyFraming,
    /// Why the stream ended early; `None` if it is complete.
    pub fault: Option<&'a Error>,
    /// The number of bytes after the last complete event.
    pub partial_bytes: usize,
    /// The id of the last complete event.
    pub last_event: Option<&'a str>,
}

impl StreamEnd<'_> {
    /// Returns the outcome of the stream as a label of metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self.fault.map(Error::kind) {
            None => "complete",
            Some(ErrorKind::DeadlineExceeded) => "deadline",
            Some(_) => "broken",
        }
    }
}
