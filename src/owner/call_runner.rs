//! Runs one dispatched call at its upstream and relays the answer to the entry instance.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::call_outcome::CallOutcome;
use super::plain_runner::run_plain;
use super::upstream_client::UpstreamClient;
use super::{OwnerCall, UpstreamOwner};
use crate::error::{Error, ErrorKind, RunState};
use crate::id::EngineName;
use crate::peer::{CallChunk, chunk};
use crate::telemetry::{LogName, MetricName};
use crate::upstream::{AnswerEvent, AnswerStream, EngineCall, EngineClient};

/// Time without an event after which a stream is treated as stalled and resumed over a new
/// connection.
const PROGRESS_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that an entry instance has to reattach after its link broke; then the stream is cancelled.
const REATTACH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of resumptions of one answer; a single upstream failure takes only a few.
const MAX_RESUMES: u32 = 5;

/// How the relay continues after an event.
enum RelayStep {
    Continue,
    Resume(Error),
    End(CallOutcome),
}

/// Dispatches a call and relays its answer until it ends.
pub(super) async fn run_call(
    owner: &UpstreamOwner,
    call: &Arc<OwnerCall>,
    preempted: &Notify,
) -> CallOutcome {
    let name = owner.engine_name(call);
    if let Err(error) = check_dispatch(owner, call, name.as_ref()) {
        return CallOutcome::Failed(error);
    }
    let started = chunk::StartedBody {
        upstream: owner.upstream().as_str().to_owned(),
        engine_name: name.as_ref().map(ToString::to_string).unwrap_or_default(),
    };
    // The entry instance is notified of the dispatch before the first byte is sent to the upstream.
    // If it has disconnected by then, nothing is sent and the request was not run.
    if call
        .sink
        .send(CallChunk::from_body(chunk::Body::Started(started)))
        .await
        .is_err()
    {
        return CallOutcome::Abandoned;
    }
    match (&owner.inner().client, name) {
        (UpstreamClient::Engine { orders, .. }, Some(name)) => {
            run_model(owner, orders, call, name, preempted).await
        }
        (UpstreamClient::Plain(plain), _) => run_plain(owner, plain, call).await,
        (UpstreamClient::Engine { .. }, None) => CallOutcome::Failed(Error::new(
            ErrorKind::Unavailable,
            format!(
                "upstream {}: the adapter is no longer resident",
                owner.upstream()
            ),
        )),
    }
}

/// Checks that a call may still be dispatched: lease, deadline, residency and quarantine.
fn check_dispatch(
    owner: &UpstreamOwner,
    call: &OwnerCall,
    name: Option<&EngineName>,
) -> Result<(), Error> {
    if !owner.inner().context.lease.is_valid() {
        return Err(Error::new(
            ErrorKind::Unavailable,
            "the owner was paused and checks its ownership",
        ));
    }
    if owner.now() >= call.deadline {
        return Err(Error::new(
            ErrorKind::DeadlineExceeded,
            "the deadline passed in the queue",
        ));
    }
    if call.adapter.is_some() && name.is_none() {
        return Err(Error::new(
            ErrorKind::Unavailable,
            "the adapter is no longer resident",
        ));
    }
    // Further crashes may have been counted while the call was queued. A resumed call is exempt, as
    // it has already run.
    if call.open.from_token == 0 {
        owner.check_quarantine(call)?;
    }
    Ok(())
}

async fn run_model(
    owner: &UpstreamOwner,
    engine: &EngineClient,
    call: &Arc<OwnerCall>,
    name: EngineName,
    preempted: &Notify,
) -> CallOutcome {
    let mut next = call.open.from_token;
    let mut opened = if next > 0 {
        engine.resume(call.attempt, next).await
    } else {
        let body = Bytes::copy_from_slice(&call.open.body);
        let epoch = owner.epoch();
        engine
            .complete(&EngineCall {
                attempt: call.attempt,
                name,
                epoch,
                rank: call.rank,
                body,
            })
            .await
    };
    let mut resumes = 0;
    loop {
        let mut failure = match opened {
            Ok(stream) => match relay(owner, engine, call, stream, &mut next, preempted).await {
                RelayStep::End(outcome) => return outcome,
                RelayStep::Resume(error) => error,
                RelayStep::Continue => truncated(owner, "it ended early"),
            },
            Err(error) => error,
        };
        let is_refused = !matches!(
            failure.kind(),
            ErrorKind::Unavailable | ErrorKind::Truncated
        );
        let is_unsent = resumes == 0 && failure.run_state() == RunState::NotRun;
        if is_refused || is_unsent {
            return CallOutcome::Failed(upstream_failure(owner, failure));
        }
        if owner.has_crashed(call).await {
            failure = Error::new(
                ErrorKind::Restarted,
                format!("upstream {} restarted", owner.upstream()),
            )
            .with_run_state(RunState::Unknown);
            return CallOutcome::Failed(failure);
        }
        resumes += 1;
        if resumes > MAX_RESUMES || owner.now() >= call.deadline {
            return CallOutcome::Failed(failure.with_run_state(RunState::Unknown));
        }
        owner
            .log(LogName::AnswerTruncated)
            .with("attempt", call.attempt)
            .with("reason", &failure)
            .send();
        owner.inner().context.metrics.add(
            MetricName::Retries,
            &owner.inner().pool.name,
            "resume",
            1,
        );
        opened = engine.resume(call.attempt, next).await;
    }
}

/// Converts an engine's refusal into an upstream failure, which the entry instance may retry on
/// another upstream. Bad requests and errors with run state "not run" stay as they are.
fn upstream_failure(owner: &UpstreamOwner, error: Error) -> Error {
    if error.kind() == ErrorKind::BadRequest || error.run_state() == RunState::NotRun {
        return error;
    }
    let detail = format!("upstream {} refused: {}", owner.upstream(), error.detail());
    Error::new(ErrorKind::Upstream, detail).with_run_state(error.run_state())
}

fn truncated(owner: &UpstreamOwner, reason: &str) -> Error {
    let detail = format!(
        "the answer of upstream {} was cut: {reason}",
        owner.upstream()
    );
    Error::new(ErrorKind::Truncated, detail).with_run_state(RunState::Unknown)
}

async fn relay(
    owner: &UpstreamOwner,
    engine: &EngineClient,
    call: &Arc<OwnerCall>,
    mut stream: AnswerStream,
    next: &mut u64,
    preempted: &Notify,
) -> RelayStep {
    loop {
        let event = tokio::select! {
            event = timeout(PROGRESS_TIMEOUT, stream.next()) => event,
            () = preempted.notified() => {
                cancel(owner, engine, call).await;
                return RelayStep::End(CallOutcome::Preempted);
            }
            () = call.sink.closed() => return await_reattach(owner, engine, call, preempted).await,
        };
        let step = match event {
            Ok(Ok(Some(event))) => relay_event(owner, call, event, next).await,
            Ok(Ok(None)) => RelayStep::Resume(truncated(owner, "it ended without an end marker")),
            Ok(Err(error)) => RelayStep::Resume(error),
            Err(_) => RelayStep::Resume(truncated(owner, "it made no progress")),
        };
        match step {
            RelayStep::Continue => {}
            RelayStep::Resume(error) => return RelayStep::Resume(error),
            RelayStep::End(outcome) => {
                if let CallOutcome::Failed(_) = outcome {
                    cancel(owner, engine, call).await;
                }
                return RelayStep::End(outcome);
            }
        }
    }
}

async fn relay_event(
    owner: &UpstreamOwner,
    call: &OwnerCall,
    event: AnswerEvent,
    next: &mut u64,
) -> RelayStep {
    if event.attempt != call.attempt {
        // The rest of this connection carries the other attempt's answer; resuming over a new
        // connection gets the right one.
        log_mismatch(owner, call, &event.attempt.to_string());
        return RelayStep::Resume(truncated(owner, "another attempt was answered"));
    }
    if call.adapter.as_ref() != Some(&event.adapter) {
        let detail = format!(
            "upstream {} answered with adapter {}",
            owner.upstream(),
            event.adapter
        );
        let error = Error::new(ErrorKind::Upstream, detail).with_run_state(RunState::Ran);
        return RelayStep::End(CallOutcome::Failed(error));
    }
    if event.token > *next {
        return RelayStep::Resume(truncated(owner, "a part is missing"));
    }
    if event.token == *next && !event.text.is_empty() {
        *next += 1;
        let token = chunk::TokenBody {
            attempt: event.attempt.to_string(),
            adapter: event.adapter.to_string(),
            token: event.token,
            text: event.text,
        };
        if call
            .sink
            .send(CallChunk::from_body(chunk::Body::Token(token)))
            .await
            .is_err()
        {
            // The select in `relay` handles the closed queue.
            return RelayStep::Continue;
        }
    }
    let Some(finish) = event.finish else {
        return RelayStep::Continue;
    };
    let end = chunk::EndBody {
        finish,
        tokens: *next,
    };
    drop(
        call.sink
            .send(CallChunk::from_body(chunk::Body::End(end)))
            .await,
    );
    RelayStep::End(CallOutcome::Finished)
}

/// Waits for the entry instance to reattach over another link, and cancels the stream if it does
/// not.
async fn await_reattach(
    owner: &UpstreamOwner,
    engine: &EngineClient,
    call: &OwnerCall,
    preempted: &Notify,
) -> RelayStep {
    if timeout(REATTACH_TIMEOUT, preempted.notified())
        .await
        .is_err()
    {
        cancel(owner, engine, call).await;
    }
    RelayStep::End(CallOutcome::Abandoned)
}

async fn cancel(owner: &UpstreamOwner, engine: &EngineClient, call: &OwnerCall) {
    if let Err(error) = engine.cancel(call.attempt).await {
        owner
            .log(LogName::RequestFailed)
            .with("attempt", call.attempt)
            .with("reason", &error)
            .send();
    }
}

/// Logs an answer that belongs to another attempt, which is never delivered.
pub(super) fn log_mismatch(owner: &UpstreamOwner, call: &OwnerCall, stated: &str) {
    owner
        .log(LogName::AnswerMismatch)
        .with("attempt", call.attempt)
        .with("stated", stated)
        .send();
}
