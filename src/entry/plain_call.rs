//! Requests to plain services; those that may not be repeated run at most once.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use xxhash_rust::xxh3::xxh3_64;

use super::model_call::{OpenedCall, check_body_size, is_retryable, open, try_spend_retry};
use super::{EntryContext, RequestGuard, RequestHeaders, ResponseBody, RoutedRequest, full_body};
use crate::claim::{ClaimKey, ClaimOutcome, StoredAnswer};
use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::{AttemptId, RequestId};
use crate::peer::chunk;
use crate::telemetry::{LogEvent, LogName, MetricName};

/// Handles a request to a plain service.
pub(super) async fn answer(
    context: &Arc<EntryContext>,
    guard: RequestGuard,
    request: RequestId,
    headers: &RequestHeaders,
    (method, path, body): (&str, &str, Bytes),
) -> Result<Response<ResponseBody>> {
    let routed = route(context, request, headers, (method, path, body))?;
    context
        .metrics
        .add(MetricName::Requests, &routed.pool, routed.rank.as_str(), 1);
    if routed.is_repeatable {
        let answer = run_repeatable(context, &routed).await?;
        drop(guard);
        return Ok(to_response(&answer));
    }
    let Some(key) = &headers.idempotency_key else {
        return Err(Error::new(
            ErrorKind::BadRequest,
            "this call may not be repeated: send an idempotency-key header that is unique to the order",
        ));
    };
    let key = ClaimKey::new(&routed.caller, &routed.route, key);
    let context = Arc::clone(context);
    // The call runs in its own task, so that a disconnect of the caller does not interrupt it and
    // leave its outcome unknown.
    let task = tokio::spawn(async move {
        let answer = run_at_most_once(&context, &routed, &key).await;
        drop(guard);
        answer
    });
    let answer = task.await.map_err(|error| {
        Error::new(ErrorKind::Internal, format!("the call ended: {error}"))
            .with_run_state(RunState::Unknown)
    })??;
    Ok(to_response(&answer))
}

fn route(
    context: &EntryContext,
    request: RequestId,
    headers: &RequestHeaders,
    (method, path, body): (&str, &str, Bytes),
) -> Result<RoutedRequest> {
    let tables = context.config.current();
    let route_path = path
        .split_once('?')
        .map_or(path, |(route_path, _)| route_path);
    let Some(route) = tables.routes.plain_route(route_path) else {
        return Err(Error::new(
            ErrorKind::NotFound,
            format!("no route for path {route_path:?}"),
        ));
    };
    check_body_size(&body, route.max_body)?;
    Ok(RoutedRequest {
        request,
        route: route.name.clone(),
        pool: route.pool.clone(),
        adapter: None,
        caller: headers.caller.clone(),
        rank: headers.rank.unwrap_or(route.rank),
        accepted_at: context.clock.now(),
        deadline: context.clock.now() + headers.deadline.unwrap_or(route.timeout),
        is_repeatable: route.repeatable,
        revision: tables.revision,
        method: method.to_owned(),
        path: path.to_owned(),
        content_type: headers.content_type.clone(),
        tokens: 0,
        body,
    })
}

async fn run_repeatable(context: &EntryContext, routed: &RoutedRequest) -> Result<StoredAnswer> {
    let mut attempt = 1;
    loop {
        let opened = open(context, routed, attempt).await?;
        attempt = opened.attempt + 1;
        match collect(context, routed, opened).await {
            Ok(answer) => return Ok(answer),
            Err(error)
                if error.run_state() == RunState::Unknown
                    && is_retryable(error.kind())
                    && context.clock.now() < routed.deadline
                    && try_spend_retry(context) =>
            {
                context
                    .metrics
                    .add(MetricName::Retries, &routed.pool, error.kind().as_str(), 1);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Claims the key, runs the call if the claim is granted, and records the response.
async fn run_at_most_once(
    context: &EntryContext,
    routed: &RoutedRequest,
    key: &ClaimKey,
) -> Result<StoredAnswer> {
    let attempt = AttemptId::new(routed.request, 1);
    let digest = xxh3_64(&routed.body);
    let time_left = routed.deadline.saturating_sub(context.clock.now());
    let outcome = context
        .claims
        .claim(key, digest, attempt, &context.instance, time_left)
        .await?;
    match outcome {
        ClaimOutcome::Granted => {}
        ClaimOutcome::Finished(answer) => return Ok(answer),
        ClaimOutcome::InProgress => {
            return Err(
                Error::new(ErrorKind::InProgress, "the first attempt is still running")
                    .with_run_state(RunState::Unknown)
                    .with_retry_after(std::time::Duration::from_secs(1)),
            );
        }
        ClaimOutcome::Unknown => {
            return Err(Error::new(ErrorKind::Upstream, "the first attempt did not report its outcome; check the order before sending it with a new key")
                .with_run_state(RunState::Unknown));
        }
        ClaimOutcome::KeyReused => return Err(Error::new(ErrorKind::KeyReused, "idempotency-key")),
    }
    let result = match open(context, routed, 1).await {
        Ok(opened) => collect(context, routed, opened).await,
        Err(error) => Err(error),
    };
    match result {
        Ok(answer) => {
            // The response is delivered even if it could not be recorded; a later request with the
            // same key is then refused, as in progress or with an unknown outcome.
            if let Err(error) = context.claims.finish(key, attempt, answer.clone()).await {
                LogEvent::new(LogName::ClaimFailed)
                    .with("request", routed.request)
                    .with("reason", &error)
                    .send();
            }
            Ok(answer)
        }
        Err(error) => {
            if error.run_state() == RunState::NotRun
                && let Err(error) = context.claims.abandon(key, attempt).await
            {
                LogEvent::new(LogName::ClaimFailed)
                    .with("request", routed.request)
                    .with("reason", &error)
                    .send();
            }
            Err(error)
        }
    }
}

async fn collect(
    context: &EntryContext,
    routed: &RoutedRequest,
    mut opened: OpenedCall,
) -> Result<StoredAnswer> {
    let mut answer = None;
    loop {
        let time_left = routed.deadline.saturating_sub(context.clock.now());
        let chunk = tokio::time::timeout(time_left, opened.events.next())
            .await
            .map_err(|_elapsed| {
                Error::new(ErrorKind::DeadlineExceeded, "no answer before the deadline")
                    .with_run_state(RunState::Unknown)
            })?
            .map_err(|error| error.with_run_state(RunState::Unknown))?;
        match chunk.body {
            Some(chunk::Body::Plain(plain)) => {
                answer = Some(StoredAnswer {
                    status: plain.status,
                    content_type: plain.content_type,
                    body: Some(plain.body),
                });
            }
            Some(chunk::Body::End(_)) => {
                return answer.ok_or_else(|| {
                    Error::new(ErrorKind::Protocol, "the answer has no body")
                        .with_run_state(RunState::Ran)
                });
            }
            Some(chunk::Body::Refused(refusal)) => return Err(refusal.to_error()),
            Some(chunk::Body::Started(_) | chunk::Body::Token(_)) | None => {}
        }
    }
}

fn to_response(answer: &StoredAnswer) -> Response<ResponseBody> {
    let body = answer.body.clone().unwrap_or_default();
    let mut response = Response::new(full_body(body));
    let status = u16::try_from(answer.status)
        .ok()
        .and_then(|status| StatusCode::from_u16(status).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    if let Ok(content_type) = HeaderValue::from_str(&answer.content_type) {
        headers.insert("content-type", content_type);
    }
    response
}
