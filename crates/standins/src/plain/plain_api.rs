use std::sync::Arc;

use bytes::Bytes;
use comfreychute::upstream::ATTEMPT_HEADER;
use http::header::CONTENT_TYPE;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use xxhash_rust::xxh3::xxh3_64;

use super::call_fate::CallFate;
use super::call_guard::CallGuard;
use super::plain_core::PlainCore;
use crate::journal::JournalEntry;
use crate::server::{
    AnswerBody, CutConnection, json_reply, query_number, read_body, refusal, whole_reply,
};

type ApiReply = Result<Response<AnswerBody>, CutConnection>;

/// Answers one request.
pub(super) async fn answer(
    core: Arc<PlainCore>,
    connection: u64,
    request: Request<Incoming>,
) -> ApiReply {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let query = parts.uri.query().unwrap_or_default();
    if let Some(action) = path.strip_prefix("/control/") {
        let body = read_body(body).await?;
        return Ok(control(&core, &parts.method, action, query, &body));
    }
    core.gate.pass(connection).await;
    let body = read_body(body).await?;
    let attempt = parts.headers.get(ATTEMPT_HEADER);
    core.journal.append(JournalEntry {
        kind: "call".to_owned(),
        outcome: "accepted".to_owned(),
        attempt: attempt
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok()),
        path: Some(format!("{} {path}", parts.method)),
        body_digest: xxh3_64(&body),
        ..JournalEntry::default()
    });
    let mut crashes = core.subscribe();
    let _guard = CallGuard::new(&core);
    let fate = core.fate(&body);
    if matches!(fate, CallFate::Crash) {
        core.crash();
        return Err(CutConnection);
    }
    let delay = core.settings.read().delay;
    if !delay.is_zero() {
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            _ = crashes.changed() => return Err(CutConnection),
        }
    }
    // The connection may have been made unresponsive meanwhile.
    core.gate.pass(connection).await;
    let mut response = match fate {
        CallFate::Fail(status) => {
            core.counters().failed += 1;
            refusal(status, "ordered", "the failure was ordered; try again")
        }
        CallFate::Lose | CallFate::Crash => {
            core.counters().lost += 1;
            return Err(CutConnection);
        }
        CallFate::Echo => whole_reply(StatusCode::OK, body),
    };
    for name in [CONTENT_TYPE.as_str(), ATTEMPT_HEADER] {
        if let Some(value) = parts.headers.get(name)
            && let Ok(name) = http::HeaderName::from_bytes(name.as_bytes())
        {
            response.headers_mut().insert(name, value.clone());
        }
    }
    Ok(response)
}

fn control(
    core: &PlainCore,
    method: &Method,
    action: &str,
    query: &str,
    body: &[u8],
) -> Response<AnswerBody> {
    let done = || whole_reply(StatusCode::NO_CONTENT, Bytes::new());
    match (method, action) {
        (&Method::GET, "settings") => json_reply(StatusCode::OK, &core.settings.read()),
        (&Method::PUT, "settings") => match core.settings.merge(body) {
            Ok(()) => done(),
            Err(error) => refusal(StatusCode::BAD_REQUEST, "settings", error.detail()),
        },
        (&Method::GET, "counters") => {
            let counters = *core.counters();
            json_reply(StatusCode::OK, &counters)
        }
        (&Method::GET, "journal") => {
            let after = query_number(query, "after");
            json_reply(StatusCode::OK, &core.journal.read(after))
        }
        (&Method::POST, "restart") => {
            core.crash();
            done()
        }
        (&Method::POST, "silence") => {
            core.gate.silence();
            done()
        }
        _ => whole_reply(StatusCode::NOT_FOUND, Bytes::new()),
    }
}
