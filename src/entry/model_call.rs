//! Completion requests: validation, placement, retries and relaying of the response.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;

use super::response_relay::ResponseRelay;
use super::{
    CompletionFormat, CompletionRequest, EntryContext, RequestGuard, RequestHeaders, ResponseBody,
    ResponseEvents, RoutedRequest,
};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::{RequestId, UpstreamId};
use crate::peer::chunk;
use crate::policy::RetryBudget;
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Time during which a request that was not run is placed again; a change of owner after the loss
/// of an instance takes a third of it.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the second placement, so that a change of owner can be received first; it doubles
/// with each further placement.
const INITIAL_PLACEMENT_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two placements.
const MAX_PLACEMENT_DELAY: Duration = Duration::from_millis(800);

/// Sum of failure weights of an upstream within one request at which other upstreams are preferred.
pub(super) const AVOID_THRESHOLD: u32 = 2;

/// A call that its owner has started.
pub(super) struct OpenedCall {
    pub events: ResponseEvents,
    pub upstream: UpstreamId,
    pub engine_name: String,
    pub attempt: u32,
}

/// Handles a completion request.
pub(super) async fn answer(
    context: &Arc<EntryContext>,
    guard: RequestGuard,
    request: RequestId,
    headers: &RequestHeaders,
    body: Bytes,
) -> Result<Response<ResponseBody>> {
    let completion = CompletionRequest::from_body(&body)?;
    let routed = route(context, request, headers, &completion, body)?;
    let format = CompletionFormat::new(request, &completion.base_model, completion.is_chat);
    context
        .metrics
        .add(MetricName::Requests, &routed.pool, routed.rank.as_str(), 1);
    let opened = open(context, &routed, 1).await?;
    let relay = ResponseRelay::new(Arc::clone(context), guard, routed, opened, format);
    if completion.is_streamed {
        Ok(relay.into_stream())
    } else {
        relay.into_full_response().await
    }
}

fn route(
    context: &EntryContext,
    request: RequestId,
    headers: &RequestHeaders,
    completion: &CompletionRequest,
    body: Bytes,
) -> Result<RoutedRequest> {
    let tables = context.config.current();
    let Some(route) = tables.routes.model_route(&completion.base_model) else {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("no route for model {:?}", completion.base_model),
        ));
    };
    let adapter = route.resolve(&completion.adapter)?;
    check_body_size(&body, route.max_body)?;
    Ok(RoutedRequest {
        request,
        route: route.name.clone(),
        pool: route.pool.clone(),
        adapter: Some(adapter),
        caller: headers.caller.clone(),
        rank: headers.rank.unwrap_or(route.rank),
        accepted_at: context.clock.now(),
        deadline: context.clock.now() + headers.deadline.unwrap_or(route.timeout),
        is_repeatable: true,
        revision: tables.revision,
        method: "POST".to_owned(),
        path: String::new(),
        content_type: headers.content_type.clone(),
        tokens: completion.max_tokens.unwrap_or(0),
        body,
    })
}

/// Refuses a body larger than the limit of its route.
pub(super) fn check_body_size(body: &Bytes, limit: u64) -> Result<()> {
    if body.len() as u64 > limit {
        return Err(Error::new(
            ErrorKind::BodyTooLarge,
            format!("the body has {} of at most {limit} bytes", body.len()),
        ));
    }
    Ok(())
}

/// Places a request and waits until its owner starts it.
///
/// A placement that failed before the request ran is repeated with exponential backoff.
pub(super) async fn open(
    context: &EntryContext,
    routed: &RoutedRequest,
    mut attempt: u32,
) -> Result<OpenedCall> {
    let mut failures = BTreeMap::new();
    credit_retry_budget(context);
    let placement_deadline = routed.deadline.min(context.clock.now() + PLACEMENT_TIMEOUT);
    let mut delay = INITIAL_PLACEMENT_DELAY;
    loop {
        let error = match context.router.place(routed, &failures) {
            Ok(upstream) => match start(context, routed, &upstream, attempt).await {
                Ok(opened) => return Ok(opened),
                Err(error) => {
                    record_failure(&error, &upstream, &mut failures);
                    error
                }
            },
            Err(error) => error,
        };
        let is_last = context.clock.now() + delay >= placement_deadline;
        match error.run_state() {
            _ if is_last => return Err(error),
            RunState::NotRun if is_placement_error(error.kind()) => {}
            // The link to the owner was lost before the owner confirmed the start. No call to an
            // upstream is known to have been made, so the retry budget is not charged.
            RunState::Unknown if routed.is_repeatable && error.kind() == ErrorKind::Peer => {
                attempt += 1;
            }
            RunState::NotRun | RunState::Ran | RunState::Unknown => return Err(error),
        }
        LogEvent::new(LogName::RequestRetried)
            .with("request", routed.request)
            .with("reason", &error)
            .send();
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_PLACEMENT_DELAY);
    }
}

async fn start(
    context: &EntryContext,
    routed: &RoutedRequest,
    upstream: &UpstreamId,
    attempt: u32,
) -> Result<OpenedCall> {
    let time_left = routed.deadline.saturating_sub(context.clock.now());
    let mut events = context.router.open(routed, upstream, attempt, 0).await?;
    let first = tokio::time::timeout(time_left, events.next())
        .await
        .map_err(|_elapsed| {
            // The owner refuses a request that it cannot start in time; without its refusal the
            // request may have run.
            Error::new(ErrorKind::DeadlineExceeded, "no answer before the deadline")
                .with_run_state(RunState::Unknown)
        })??;
    match first.body {
        Some(chunk::Body::Started(started)) => Ok(OpenedCall {
            events,
            upstream: upstream.clone(),
            engine_name: started.engine_name,
            attempt,
        }),
        Some(chunk::Body::Refused(refusal)) => Err(refusal.to_error()),
        _ => Err(Error::new(
            ErrorKind::Protocol,
            "the owner sent an answer before its start",
        )
        .with_run_state(RunState::Unknown)),
    }
}

/// Records a failure, so that an upstream is avoided after one clear failure or two other ones.
///
/// A single failure of another kind, such as "unavailable", may be due to a change of owner and
/// does not lead to avoidance.
fn record_failure(error: &Error, upstream: &UpstreamId, failures: &mut BTreeMap<UpstreamId, u32>) {
    let weight = if matches!(
        error.kind(),
        ErrorKind::Upstream | ErrorKind::Restarted | ErrorKind::Overloaded | ErrorKind::Peer
    ) {
        AVOID_THRESHOLD
    } else {
        1
    };
    *failures.entry(upstream.clone()).or_default() += weight;
}

/// Returns whether another placement may succeed after a failure that left the request not run.
const fn is_placement_error(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Unavailable
            | ErrorKind::Peer
            | ErrorKind::Upstream
            | ErrorKind::Fenced
            | ErrorKind::ShuttingDown
    )
}

/// Returns whether a repeatable request may run again after the failure.
pub(super) const fn is_retryable(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::Upstream | ErrorKind::Restarted | ErrorKind::Peer | ErrorKind::Truncated
    )
}

fn credit_retry_budget(context: &EntryContext) {
    with_retry_budget(context, RetryBudget::earn);
}

/// Spends one retry; returns false if the budget does not cover it.
pub(super) fn try_spend_retry(context: &EntryContext) -> bool {
    with_retry_budget(context, RetryBudget::try_spend)
}

fn with_retry_budget<T>(
    context: &EntryContext,
    change: impl FnOnce(&mut RetryBudget, Duration) -> T,
) -> T {
    let mut budget = context
        .retry_budget
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    change(&mut budget, context.clock.now())
}
