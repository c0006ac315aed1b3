use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use super::{AttemptFailure, ReplyBody};

/// A response that this instance sends itself, without a response of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LocalResponse {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub(super) is_closing: bool,
}

/// `Retry-After` of a request that no upstream had capacity for. An adapter load that takes up to
/// this long and is in progress completes before the retry.
pub(super) const RETRY_AFTER_LOAD: Duration = Duration::from_millis(900);

/// `Retry-After` of a request for which this instance has no configuration or no usable upstream.
pub(super) const RETRY_AFTER_START: Duration = Duration::from_millis(400);

/// `Retry-After` of a request that another instance can accept immediately.
pub(super) const RETRY_AFTER_SHUTDOWN: Duration = Duration::from_millis(50);

/// Reason of the refusal of a request because it has crashed too many upstreams.
pub(super) const CRASH_REFUSAL: &str = "crashed upstreams";

/// Reason of the refusal of a request because of a part of its prompt.
pub(super) const PART_REFUSAL: &str = "a part of the prompt crashed upstreams";

/// Returns the response after the last attempt has failed.
///
/// The status is 503 only if certainly no attempt ran, because callers take a 503 to mean that the
/// request did not run.
pub(super) fn final_response(failure: &AttemptFailure, may_have_run: bool) -> LocalResponse {
    if !may_have_run {
        return unavailable("no upstream took the request", RETRY_AFTER_START);
    }
    match failure {
        AttemptFailure::TimedOut => reject(StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        AttemptFailure::Outdated => reject(
            StatusCode::BAD_GATEWAY,
            "the adapter version changed while the request was queued",
        ),
        _ => reject(StatusCode::BAD_GATEWAY, "the upstream failed"),
    }
}

impl LocalResponse {
    /// Returns the response with the end of its connection.
    pub(super) const fn closing(mut self) -> Self {
        self.is_closing = true;
        self
    }

    /// Returns the response for a request that may have run, which must not be told otherwise.
    pub(super) const fn after_run(self, may_have_run: bool) -> Self {
        if may_have_run {
            reject(StatusCode::BAD_GATEWAY, self.reason)
        } else {
            self
        }
    }
}

pub(super) const fn reject(status: StatusCode, reason: &'static str) -> LocalResponse {
    LocalResponse {
        status,
        reason,
        retry_after: None,
        is_closing: false,
    }
}

pub(super) const fn unavailable(reason: &'static str, retry_after: Duration) -> LocalResponse {
    LocalResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        reason,
        retry_after: Some(retry_after),
        is_closing: false,
    }
}

pub(super) fn to_response(local: LocalResponse) -> Response<ReplyBody> {
    let text = Bytes::from_static(local.reason.as_bytes());
    let mut response = Response::new(ReplyBody::Local(Full::new(text)));
    *response.status_mut() = local.status;
    if local.is_closing {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    if let Some(pause) = local.retry_after
        && let Ok(value) = HeaderValue::from_str(&to_seconds(pause))
    {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    if local.status == StatusCode::UNAUTHORIZED {
        let scheme = HeaderValue::from_static("Token");
        response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    }
    response
}

/// Formats a duration as seconds with three decimals, rounded up so that nobody returns too early.
fn to_seconds(pause: Duration) -> String {
    let millis = pause.as_micros().div_ceil(1000);
    format!("{}.{:03}", millis / 1000, millis % 1000)
}
