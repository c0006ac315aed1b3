use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use super::connection_body::InFlightGuard;
use super::forward_head::{millis_value, strip_hop_headers};
use super::upstream_pool::PooledConnection;
use super::{
    AttemptFailure, BodyFraming, ConnectionBody, HeaderNames, InFlightLoad, InFlightTracker,
    ModelRef, StatedLoad, UpstreamEntry, UpstreamNotice, UpstreamPool, UpstreamResponse,
};
use crate::error::ErrorKind;

/// The parts of a request that are the same for each attempt.
#[derive(Debug, Clone)]
pub(super) struct RequestParts {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) attempt: String,
    pub(super) model: Option<ModelRef>,
    pub(super) load: InFlightLoad,
}

/// The parts of a request that differ between attempts.
#[derive(Debug, Clone)]
pub(super) struct AttemptPlan {
    pub(super) entry: Arc<UpstreamEntry>,
    /// The adapter version to expect; zero accepts any version.
    pub(super) version: u64,
    /// The deadline for the response head.
    pub(super) head_deadline: Instant,
    /// The deadline for the whole response.
    pub(super) deadline: Instant,
    pub(super) max_connections: usize,
    /// Whether the upstream has received an attempt of the same request. A late copy of its response
    /// would carry the same id, so that the connection of that attempt can't be used.
    pub(super) is_repeat: bool,
    /// The last event that the caller has received, or `None` to keep the caller's own header.
    pub(super) last_event: Option<String>,
}

/// The calls of an attempt to the state of its upstream.
pub(super) struct AttemptHooks<'a> {
    /// Returns whether the request may be sent, as of now. It is sent if this is `true`.
    pub(super) admit: &'a (dyn Fn() -> bool + Sync),
    /// Records what the upstream states in a response that certainly is one to this attempt.
    pub(super) record_notice: &'a (dyn Fn(UpstreamNotice) + Sync),
    /// Records the load that the upstream states in such a response, and whether it runs the request.
    pub(super) record_load: &'a (dyn Fn(StatedLoad, bool) + Sync),
}

/// Maximum size in bytes of the rest of a discarded response that is read. To read more costs more
/// than a new connection, and a faulty upstream may never end it.
const MAX_DRAINED_BYTES: usize = 64 * 1024;

/// Time limit for the rest of a discarded response. Upstreams send it with the head; until it is
/// read, its request counts as in flight.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum idle timeout that an upstream is taken to have. A connection is rarely idle for so long, and
/// the clock can't represent any time that an upstream may state.
const MAX_STATED_IDLE: Duration = Duration::from_hours(1);

/// Sends a request to one upstream and waits for the head of the response.
pub(super) async fn send_attempt(
    pool: &Arc<UpstreamPool>,
    tracker: &Arc<InFlightTracker>,
    names: &HeaderNames,
    parts: &RequestParts,
    plan: &AttemptPlan,
    hooks: &AttemptHooks<'_>,
) -> Result<UpstreamResponse, AttemptFailure> {
    let started = Instant::now();
    let guard = InFlightGuard::new(tracker, &plan.entry.id, parts.model.as_ref(), parts.load);
    let mut is_fresh = plan.is_repeat;
    loop {
        let connecting = pool.acquire(
            &plan.entry.id,
            plan.entry.address,
            plan.max_connections,
            is_fresh,
        );
        let mut connection = match timeout_at(plan.head_deadline, connecting).await {
            Err(_) => return Err(AttemptFailure::NotSent("connecting timed out".to_owned())),
            Ok(Err(error)) => {
                let detail = error.detail().to_owned();
                return Err(match error.kind() {
                    ErrorKind::Unavailable => AttemptFailure::Unreachable(detail),
                    _ => AttemptFailure::NotSent(detail),
                });
            }
            Ok(Ok(connection)) => connection,
        };
        let Some(sender) = connection.sender.as_mut() else {
            return Err(AttemptFailure::NotSent("no connection".to_owned()));
        };
        let connect_time = started.elapsed();
        // Opening a connection takes time, in which the upstream may have said that it leaves.
        if !(hooks.admit)() {
            connection.release(None);
            return Err(AttemptFailure::Withheld);
        }
        let sent = sender.try_send_request(build_request(names, parts, plan));
        match timeout_at(plan.head_deadline, sent).await {
            Err(_) => return Err(AttemptFailure::TimedOut),
            Ok(Ok(response)) => {
                if is_of_attempt(&response, names, parts) && !parts.attempt.is_empty() {
                    let (status, headers) = (response.status(), response.headers());
                    let notice = UpstreamNotice::from_response(status, headers, names);
                    (hooks.record_notice)(notice);
                    let load = headers.get(&names.upstream_load);
                    if let Some(load) = load.and_then(StatedLoad::from_header) {
                        (hooks.record_load)(load, !is_refusal(status, headers, names));
                    }
                }
                return validate_response(
                    names,
                    parts,
                    plan,
                    connection,
                    guard,
                    response,
                    connect_time,
                );
            }
            Ok(Err(mut error)) => {
                if error.take_message().is_none() {
                    return Err(AttemptFailure::Broken(error.into_error().to_string()));
                }
                if !connection.is_reused {
                    return Err(AttemptFailure::NotSent(error.into_error().to_string()));
                }
                // The upstream closed the pooled connection before the request was written.
                is_fresh = true;
            }
        }
    }
}

fn build_request(
    names: &HeaderNames,
    parts: &RequestParts,
    plan: &AttemptPlan,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(parts.body.clone()));
    *request.method_mut() = parts.method.clone();
    *request.uri_mut() = parts.uri.clone();
    let mut headers = parts.headers.clone();
    let left = plan.deadline.saturating_duration_since(Instant::now());
    headers.insert(names.deadline_ms.clone(), millis_value(left));
    if let Ok(id) = HeaderValue::from_str(plan.entry.id.as_str()) {
        headers.insert(names.expect_upstream.clone(), id);
    }
    if plan.version > 0 {
        headers.insert(names.expect_version.clone(), plan.version.into());
    }
    if let Some(id) = &plan.last_event
        && let Ok(id) = HeaderValue::from_str(id)
    {
        headers.insert(names.last_event.clone(), id);
    }
    *request.headers_mut() = headers;
    request
}

fn validate_response(
    names: &HeaderNames,
    parts: &RequestParts,
    plan: &AttemptPlan,
    connection: PooledConnection,
    guard: InFlightGuard,
    response: Response<Incoming>,
    connect_time: Duration,
) -> Result<UpstreamResponse, AttemptFailure> {
    if !is_of_attempt(&response, names, parts) {
        return Err(AttemptFailure::Mismatch(
            "the response does not carry the id of this attempt".to_owned(),
        ));
    }
    if !is_final(response.status()) {
        return Err(AttemptFailure::Mismatch(format!(
            "the status {} is none of a final response",
            response.status().as_str()
        )));
    }
    let (head, body) = response.into_parts();
    let mut headers = head.headers;
    let idle = stated_idle(&headers);
    let is_closing = headers
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    let is_signed = headers.contains_key(&names.signature);
    let is_refused = is_refusal(head.status, &headers, names);
    let framing = BodyFraming::from_headers(&headers);
    strip_hop_headers(&mut headers);
    let load_header = headers.remove(&names.upstream_load);
    let load = load_header.as_ref().and_then(StatedLoad::from_header);
    let mut body = ConnectionBody::new(body, framing, connection, idle, guard, plan.deadline);
    if is_closing {
        body.close_after_use();
    }
    if is_refused {
        drain(body);
        return Err(AttemptFailure::NotRun(head.status));
    }
    if is_promise(head.status) {
        drain(body);
        return Err(AttemptFailure::Unconfirmed(head.status));
    }
    if head.status.is_success() && (!is_signed || is_attempt_missing(&headers, names)) {
        return Err(AttemptFailure::Mismatch(
            "the response carries no signature or no attempt id".to_owned(),
        ));
    }
    Ok(UpstreamResponse {
        is_event_stream: head.status.is_success() && may_be_event_stream(&headers),
        status: head.status,
        headers,
        body,
        is_signed,
        connect_time,
        is_load_ignored: load_header.is_some() && load.is_none(),
        load,
    })
}

/// Returns whether a response says that the request did not run.
fn is_refusal(status: StatusCode, headers: &HeaderMap, names: &HeaderNames) -> bool {
    let may_refuse = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::BAD_REQUEST
    );
    status == StatusCode::MISDIRECTED_REQUEST || may_refuse && headers.contains_key(&names.not_run)
}

fn may_be_event_stream(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_TYPE).is_none_or(|value| {
        let media_type = value.as_bytes().split(|byte| *byte == b';').next();
        media_type.is_some_and(|name| name.trim_ascii().eq_ignore_ascii_case(b"text/event-stream"))
    })
}

/// Returns whether a status is one of a final response, which callers can interpret. The parser accepts
/// any three digits from 100 on.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether callers take a status to mean that the request did not run.
const fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns whether a response carries the id of its attempt. Without it, it may be a late copy of one
/// to an earlier request. Requests without an id can't be checked.
fn is_of_attempt(response: &Response<Incoming>, names: &HeaderNames, parts: &RequestParts) -> bool {
    let echoed = response.headers().get(&names.attempt);
    parts.attempt.is_empty() || echoed.map(HeaderValue::as_bytes) == Some(parts.attempt.as_bytes())
}

fn is_attempt_missing(headers: &HeaderMap, names: &HeaderNames) -> bool {
    !headers.contains_key(&names.attempt)
}

/// Reads the rest of a discarded response, so that its connection can be reused. The connection is
/// closed if the rest is longer than [`MAX_DRAINED_BYTES`] or takes longer than [`DRAIN_TIMEOUT`].
pub(super) fn drain(body: ConnectionBody) {
    tokio::spawn(async move {
        if timeout(DRAIN_TIMEOUT, read_rest(body)).await.is_err() {
            log::debug!("the body of a discarded response did not end; its connection is closed");
        }
    });
}

/// Reads a body to its end, unless it fails or is longer than [`MAX_DRAINED_BYTES`].
async fn read_rest(mut body: ConnectionBody) {
    let mut left = MAX_DRAINED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        if length > left {
            return;
        }
        left -= length;
    }
}

/// Returns the idle timeout that a `Keep-Alive` header states, at most [`MAX_STATED_IDLE`].
fn stated_idle(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(HeaderName::from_static("keep-alive"))?;
    let seconds = value
        .to_str()
        .ok()?
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    let stated = seconds.trim().parse().ok().map(Duration::from_secs)?;
    Some(stated.min(MAX_STATED_IDLE))
}
