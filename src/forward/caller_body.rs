use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use super::local_response::{LocalResponse, RETRY_AFTER_LOAD, reject, unavailable};
use crate::memory::{MemoryGrant, ShedError};
use crate::policy::has_stopped_sending;

/// The body of a caller's request, whose memory is charged to the connection as it arrives.
#[derive(Debug)]
pub struct CallerBody {
    incoming: Incoming,
    grant: Arc<MemoryGrant>,
    /// Whether the request was sent before the answer to the one before it on its connection.
    pub(super) is_sent_ahead: bool,
}

/// Returns the memory of an unfinished body on every path on which it isn't completed.
struct ArrivingBody<'a> {
    grant: &'a MemoryGrant,
}

impl Drop for ArrivingBody<'_> {
    fn drop(&mut self) {
        self.grant.discard_body();
    }
}

impl CallerBody {
    pub(super) const fn new(
        incoming: Incoming,
        grant: Arc<MemoryGrant>,
        is_sent_ahead: bool,
    ) -> Self {
        Self {
            incoming,
            grant,
            is_sent_ahead,
        }
    }

    /// Reads a body of at most `limit` bytes, or refuses the request, which certainly has not run.
    ///
    /// The frames of the body are not kept: each holds the buffer in which it arrived, so that a body in
    /// chunks of one byte would need many times its length.
    pub(super) async fn read(
        mut self,
        stated: Option<usize>,
        limit: usize,
        deadline: Instant,
    ) -> Result<Bytes, LocalResponse> {
        if stated.is_some_and(|length| length > limit) {
            return Err(too_long());
        }
        // The length of the head doesn't hold for a body in chunks.
        let exact = self.incoming.size_hint().exact();
        let most = exact.map_or(limit, |length| usize::try_from(length).unwrap_or(limit));
        let grant = Arc::clone(&self.grant);
        let _arriving = ArrivingBody { grant: &grant };
        let reading = async {
            tokio::select! {
                biased;
                () = grant.shed() => Err(shed_response(ShedError)),
                body = self.read_frames(most, limit) => body,
            }
        };
        let began_at = Instant::now();
        let read = timeout_at(deadline, reading).await;
        read.unwrap_or_else(|_| Err(late_response(grant.still_time(), began_at.elapsed())))
    }

    async fn read_frames(&mut self, most: usize, limit: usize) -> Result<Bytes, LocalResponse> {
        let mut length = 0;
        while let Some(frame) = self.incoming.frame().await {
            let frame =
                frame.map_err(|_error| reject(StatusCode::BAD_REQUEST, "the body is malformed"))?;
            let Ok(part) = frame.into_data() else {
                continue;
            };
            if part.len() > limit - length {
                return Err(too_long());
            }
            length += part.len();
            self.grant.append_body(&part, most).map_err(shed_response)?;
        }
        self.grant.finish_body().map_err(shed_response)
    }
}

fn late_response(still: Duration, allowed: Duration) -> LocalResponse {
    if has_stopped_sending(still, allowed) {
        reject(StatusCode::REQUEST_TIMEOUT, "the body did not arrive")
    } else {
        unavailable("the body was not read in time", RETRY_AFTER_LOAD).closing()
    }
}

const fn too_long() -> LocalResponse {
    reject(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
}

const fn shed_response(_error: ShedError) -> LocalResponse {
    unavailable("the memory for callers is used up", RETRY_AFTER_LOAD).closing()
}
