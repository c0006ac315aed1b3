use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use comfreychute::id::AttemptId;
use comfreychute::upstream::{ADAPTER_HEADER, ATTEMPT_HEADER, EPOCH_HEADER, RANK_HEADER};
use futures_util::stream;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};

use super::answer_reader::AnswerReader;
use super::call_headers::CallHeaders;
use super::engine_core::EngineCore;
use super::engine_refusal::EngineRefusal;
use crate::server::{
    AnswerBody, CutConnection, json_reply, query_number, read_body, refusal, whole_reply,
};

type ApiReply = Result<Response<AnswerBody>, CutConnection>;

/// Answers one request.
pub(super) async fn answer(
    core: Arc<EngineCore>,
    connection: u64,
    request: Request<Incoming>,
) -> ApiReply {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path().trim_matches('/').to_owned();
    let segments: Vec<&str> = path.split('/').collect();
    if segments.first() != Some(&"control") {
        core.gate.pass(connection).await;
    }
    let query = parts.uri.query().unwrap_or_default();
    let body = read_body(body).await?;
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, ["status"]) => Ok(json_reply(StatusCode::OK, &core.status())),
        (&Method::POST, ["adapters", "load"]) => order_reply(core.load(&body).await),
        (&Method::POST, ["adapters", "evict"]) => order_reply(core.evict(&body)),
        (&Method::POST, ["v1", "completions"] | ["v1", "chat", "completions"]) => {
            let Ok(headers) = read_headers(&parts.headers) else {
                return refuse(EngineRefusal::Malformed);
            };
            stream_reply(core.complete(connection, &headers, &body))
        }
        (&Method::POST, ["attempts", attempt, action]) => {
            let Ok(attempt) = attempt.parse::<AttemptId>() else {
                return refuse(EngineRefusal::Malformed);
            };
            match *action {
                "cancel" => {
                    core.cancel(attempt);
                    order_reply(Ok(()))
                }
                "resume" => {
                    stream_reply(core.resume(connection, attempt, query_number(query, "from")))
                }
                _ => Ok(whole_reply(StatusCode::NOT_FOUND, Bytes::new())),
            }
        }
        (&Method::GET, ["cache-events"]) => Ok(json_reply(
            StatusCode::OK,
            &core.cache_events(query_number(query, "after")),
        )),
        (method, ["control", action]) => Ok(control(&core, method, action, query, &body)),
        _ => Ok(whole_reply(StatusCode::NOT_FOUND, Bytes::new())),
    }
}

fn control(
    core: &EngineCore,
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
        (&Method::GET, "counters") => json_reply(StatusCode::OK, &core.counters()),
        (&Method::GET, "journal") => json_reply(
            StatusCode::OK,
            &core.journal.read(query_number(query, "after")),
        ),
        (&Method::POST, "restart") => {
            core.restart();
            done()
        }
        (&Method::POST, "cut") => {
            core.cut_streams();
            done()
        }
        (&Method::POST, "silence") => {
            core.gate.silence();
            done()
        }
        _ => whole_reply(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn read_headers(headers: &HeaderMap) -> Result<CallHeaders, EngineRefusal> {
    Ok(CallHeaders {
        attempt: header(headers, ATTEMPT_HEADER)?,
        name: header(headers, ADAPTER_HEADER)?,
        epoch: header(headers, EPOCH_HEADER)?,
        rank: header(headers, RANK_HEADER)?,
    })
}

fn header<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, EngineRefusal> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .ok()
                .and_then(|value| value.parse().ok())
                .ok_or(EngineRefusal::Malformed)
        })
        .transpose()
}

fn order_reply(outcome: Result<(), EngineRefusal>) -> ApiReply {
    match outcome {
        Ok(()) => Ok(whole_reply(StatusCode::NO_CONTENT, Bytes::new())),
        Err(reason) => refuse(reason),
    }
}

fn refuse(reason: EngineRefusal) -> ApiReply {
    if reason == EngineRefusal::Restarted {
        return Err(CutConnection);
    }
    Ok(refusal(reason.status(), reason.code(), reason.message()))
}

fn stream_reply(outcome: Result<AnswerReader, EngineRefusal>) -> ApiReply {
    let reader = match outcome {
        Ok(reader) => reader,
        Err(reason) => return refuse(reason),
    };
    let events = stream::unfold(reader, |mut reader| async move {
        let part = reader.next().await?;
        Some((part.map(Frame::data), reader))
    });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}
