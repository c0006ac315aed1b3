//! Calls of a plain service and its faults.

use std::time::Duration;

use bytes::Bytes;
use comfreychute::id::{AttemptId, RequestId};
use comfreychute::upstream::{PlainCall, PlainClient};
use comfreychute::{ErrorKind, RunState};
use comfreychute_standins::PlainStandin;
use comfreychute_standins::plain::PlainSettings;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderMap, HeaderValue, Method, StatusCode};

use crate::fixture::{LONG, attempt, until};

/// Short enough for a test that waits for it, long enough for a reply on a busy machine.
const SHORT: Duration = Duration::from_secs(1);

async fn service(change: impl FnOnce(&mut PlainSettings)) -> PlainStandin {
    let mut settings = PlainSettings::default();
    change(&mut settings);
    PlainStandin::start(settings).await.unwrap()
}

fn order(number: u128, body: &'static str) -> PlainCall {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    headers.insert(HOST, HeaderValue::from_static("caller.example"));
    PlainCall {
        method: Method::POST,
        path: "/plates?size=a3".to_owned(),
        headers,
        body: Bytes::from_static(body.as_bytes()),
        attempt: attempt(number),
    }
}

/// Guards against calls that lose their path, headers, body or attempt on the way.
#[tokio::test]
async fn a_call_arrives_unchanged() {
    let service = service(|_| ()).await;
    let client = PlainClient::new(service.address(), LONG);

    let answer = client.call(&order(7, "plate")).await.unwrap();

    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.body.as_ref(), b"plate");
    assert_eq!(answer.headers[CONTENT_TYPE], "text/plain");
    let journal = service.journal();
    assert_eq!(journal.len(), 1);
    assert_eq!(journal[0].attempt, Some(attempt(7)));
    assert_eq!(journal[0].path.as_deref(), Some("POST /plates"));
}

/// Guards against an error status of the service that is reported as a failure of the call.
#[tokio::test]
async fn an_error_status_is_an_answer() {
    let service = service(|settings| {
        settings.fail_calls = 1;
        settings.fail_status = 503;
    })
    .await;
    let client = PlainClient::new(service.address(), LONG);

    let failed = client.call(&order(1, "plate")).await.unwrap();
    let next = client.call(&order(2, "plate")).await.unwrap();

    assert_eq!(failed.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(next.status, StatusCode::OK);
}

/// Guards against a call that ran being reported as "not run" after its reply was lost, which
/// would make a caller order twice.
#[tokio::test]
async fn a_lost_reply_is_unknown() {
    let service = service(|settings| settings.lost_replies = 1).await;
    let client = PlainClient::new(service.address(), LONG);

    let error = client.call(&order(1, "plate")).await.unwrap_err();

    assert_eq!(error.run_state(), RunState::Unknown);
    assert_eq!(service.journal().len(), 1);
    assert_eq!(service.counters().lost, 1);
}

/// Guards against a connection that is reused after the service restarted, with a second run of
/// the call as the result.
#[tokio::test]
async fn a_failed_call_is_not_sent_again() {
    let service = service(|_| ()).await;
    let client = PlainClient::new(service.address(), LONG);
    client.call(&order(1, "first")).await.unwrap();
    service.change(|settings| settings.lost_replies = 1);

    let error = client.call(&order(2, "second")).await.unwrap_err();

    assert_eq!(error.run_state(), RunState::Unknown);
    let calls: Vec<Option<AttemptId>> = service
        .journal()
        .into_iter()
        .map(|entry| entry.attempt)
        .collect();
    assert_eq!(calls, [Some(attempt(1)), Some(attempt(2))]);
}

/// Guards against a slow answer that is waited for without limit.
#[tokio::test]
async fn a_late_answer_is_unknown() {
    let service = service(|settings| settings.delay = Duration::from_mins(1)).await;
    let client = PlainClient::new(service.address(), SHORT);

    let error = client.call(&order(1, "plate")).await.unwrap_err();

    assert_eq!(error.kind(), ErrorKind::Unavailable);
    assert_eq!(error.run_state(), RunState::Unknown);
}

/// Guards against clients that keep using unresponsive connections.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let service = service(|_| ()).await;
    let client = PlainClient::new(service.address(), SHORT);
    client.call(&order(1, "plate")).await.unwrap();

    service.silence();
    let error = client.call(&order(2, "plate")).await.unwrap_err();
    let answer = client.call(&order(3, "plate")).await.unwrap();

    assert_eq!(error.run_state(), RunState::Unknown);
    assert_eq!(answer.status, StatusCode::OK);
}

/// Guards against a crash that spares the calls in flight.
#[tokio::test]
async fn a_call_with_the_marker_cuts_the_others() {
    let service = service(|settings| {
        settings.crash_marker = "poison".to_owned();
        settings.delay = Duration::from_mins(1);
    })
    .await;
    let client = PlainClient::new(service.address(), LONG);
    let bystander = {
        let client = client.clone();
        tokio::spawn(async move { client.call(&order(1, "plate")).await })
    };
    until("the call runs", || service.counters().running == 1).await;

    let crashing = client.call(&order(2, "poison")).await.unwrap_err();

    assert_eq!(crashing.run_state(), RunState::Unknown);
    let cut = bystander.await.unwrap().unwrap_err();
    assert_eq!(cut.run_state(), RunState::Unknown);
    assert_eq!(service.counters().crashes, 1);
}

/// Guards against paths that reach another address.
#[tokio::test]
async fn a_path_that_is_no_path_is_refused() {
    let service = service(|_| ()).await;
    let client = PlainClient::new(service.address(), LONG);
    let call = PlainCall {
        path: "@127.0.0.1:1/".to_owned(),
        attempt: AttemptId::new(RequestId::from_u128(1), 1),
        ..order(1, "plate")
    };

    let error = client.call(&call).await.unwrap_err();

    assert_eq!(error.kind(), ErrorKind::BadRequest);
    assert_eq!(error.run_state(), RunState::NotRun);
}
