use std::fmt;
use std::pin::Pin;
use std::time::Duration;

use super::{ConnectionBody, StreamEnd};
use crate::error::Result;
use crate::id::UpstreamId;

/// Opens the rest of a stream after the event with the given id, or the whole stream if no event
/// was delivered.
pub type ResumeCall = Box<dyn FnMut(Option<String>) -> ResumeFuture + Send>;

/// Records how the stream of an upstream ended.
pub type RecordEnd = Box<dyn Fn(&StreamEnd<'_>) + Send>;

/// Records the time between two events of a stream from an upstream.
pub type RecordGap = Box<dyn Fn(&UpstreamId, Duration) + Send>;

/// The calls of a relayed stream to the parts that it belongs to.
pub struct StreamHooks {
    /// Resumes the stream; `None` if it can't be resumed.
    pub resume: Option<ResumeCall>,
    /// Is called at the end of the stream of each upstream.
    pub record_end: RecordEnd,
    /// Is called for each event after the first one of an upstream.
    pub record_gap: RecordGap,
}

/// Resolves to the body with the rest of a stream.
pub type ResumeFuture = Pin<Box<dyn Future<Output = Result<ConnectionBody>> + Send>>;

impl fmt::Debug for StreamHooks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamHooks")
            .field("is_resumable", &self.resume.is_some())
            .finish_non_exhaustive()
    }
}
