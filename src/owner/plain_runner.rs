//! Runs one dispatched call at a plain service.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue};
use tokio::time::timeout;

use super::call_outcome::CallOutcome;
use super::call_runner::log_mismatch;
use super::{OwnerCall, UpstreamOwner};
use crate::error::{Error, ErrorKind, RunState};
use crate::peer::{CallChunk, chunk};
use crate::upstream::{ATTEMPT_HEADER, PlainCall, PlainClient};

/// Runs a plain call to completion, even if the entry instance has disconnected: a caller that
/// hangs up must not interrupt an operation in progress and leave its outcome unknown.
pub(super) async fn run_plain(
    owner: &UpstreamOwner,
    plain: &PlainClient,
    call: &OwnerCall,
) -> CallOutcome {
    let Ok(method) = call.open.method.parse() else {
        let detail = format!("method {:?}", call.open.method);
        return CallOutcome::Failed(Error::new(ErrorKind::BadRequest, detail));
    };
    let mut headers = HeaderMap::new();
    if let Ok(content_type) = HeaderValue::from_str(&call.open.content_type) {
        headers.insert(CONTENT_TYPE, content_type);
    }
    let body = Bytes::copy_from_slice(&call.open.body);
    let request = PlainCall {
        method,
        path: call.open.path.clone(),
        headers,
        body,
        attempt: call.attempt,
    };
    let time_left = call.deadline.saturating_sub(owner.now());
    let answer = match timeout(time_left, plain.call(&request)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return CallOutcome::Failed(error),
        Err(_) => {
            let error = Error::new(
                ErrorKind::DeadlineExceeded,
                format!("upstream {} did not answer", owner.upstream()),
            );
            return CallOutcome::Failed(error.with_run_state(RunState::Unknown));
        }
    };
    let header = |name: &str| {
        answer
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    if !plain.is_answer_to(&answer, call.attempt) {
        log_mismatch(owner, call, header(ATTEMPT_HEADER));
        let detail = format!("upstream {} answered another attempt", owner.upstream());
        return CallOutcome::Failed(
            Error::new(ErrorKind::Upstream, detail).with_run_state(RunState::Unknown),
        );
    }
    let body = chunk::PlainBody {
        status: u32::from(answer.status.as_u16()),
        content_type: header(CONTENT_TYPE.as_str()).to_owned(),
        body: answer.body.to_vec(),
        attempt: call.attempt.to_string(),
    };
    drop(
        call.sink
            .send(CallChunk::from_body(chunk::Body::Plain(body)))
            .await,
    );
    let end = chunk::EndBody {
        finish: "stop".to_owned(),
        tokens: 0,
    };
    drop(
        call.sink
            .send(CallChunk::from_body(chunk::Body::End(end)))
            .await,
    );
    CallOutcome::Finished
}
