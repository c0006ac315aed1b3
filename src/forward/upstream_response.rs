use std::time::Duration;

use http::StatusCode;
use http::header::HeaderMap;

use super::{ConnectionBody, StatedLoad};

/// A response of an upstream that can be forwarded to the caller.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The HTTP status. A response that states that the request did not run is reported as
    /// [`AttemptFailure::NotRun`](super::AttemptFailure::NotRun) instead.
    pub status: StatusCode,
    /// The headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, which holds the connection and keeps the request counted as in flight.
    pub body: ConnectionBody,
    /// Whether the response carries the signature header of an upstream.
    pub is_signed: bool,
    /// Whether the response is a successful event stream. A success without a content type counts as
    /// one.
    pub is_event_stream: bool,
    /// The time from the start of the attempt until it had a connection.
    pub connect_time: Duration,
    /// The load that the upstream states; `None` if it states none or an implausible one.
    pub load: Option<StatedLoad>,
    /// Whether the upstream states a load that is malformed or implausible.
    pub is_load_ignored: bool,
}
