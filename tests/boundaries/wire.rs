//! Event streams as bytes: split at any place, malformed, with gaps or without end.

use comfreychute::upstream::{AnswerEvent, EngineClient, EventParser};
use comfreychute::{Error, ErrorKind, RunState};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::fixture::{LONG, attempt, call};

/// Serves one request with `body` as the event stream and closes the connection.
async fn read_stream(body: String) -> (Vec<AnswerEvent>, Option<Error>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EngineClient::new(listener.local_addr().unwrap(), LONG);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"}") {
            stream.read_buf(&mut request).await.unwrap();
        }
        let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(body.as_bytes()).await.unwrap();
    });
    let mut answer = client.complete(&call(1, "a", 4)).await.unwrap();
    let mut events = Vec::new();
    let error = loop {
        match answer.next().await {
            Ok(Some(event)) => events.push(event),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    server.await.unwrap();
    (events, error)
}

fn event(token: u64) -> String {
    format!(
        r#"data: {{"attempt":"{}","adapter":"a","version":"1","token":{token},"text":"t"}}"#,
        attempt(1)
    )
}

/// Guards against streams that other servers format differently within the standard.
#[tokio::test]
async fn comments_other_fields_and_line_ends_are_accepted() {
    let body = format!(
        ": comment\r\n\r\nevent: token\r\nid: 7\r\n{}\r\n\r\n{}\n\ndata:[DONE]\n\n",
        event(0),
        event(1)
    );

    let (events, error) = read_stream(body).await;

    assert!(error.is_none(), "{error:?}");
    assert_eq!(events.len(), 2);
}

/// Guards against a lost token that nobody notices.
#[tokio::test]
async fn a_gap_is_an_error() {
    let body = format!("{}\n\n{}\n\ndata: [DONE]\n\n", event(0), event(2));

    let (events, error) = read_stream(body).await;

    let error = error.unwrap();
    assert_eq!(events.len(), 1);
    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(error.run_state(), RunState::Ran);
}

/// Guards against an empty stream that is taken for an empty answer.
#[tokio::test]
async fn an_end_before_the_first_event_is_unknown() {
    let (events, error) = read_stream(String::new()).await;

    let error = error.unwrap();
    assert_eq!(events, []);
    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_eq!(error.run_state(), RunState::Unknown);
}

/// Guards against malformed events that are skipped.
#[tokio::test]
async fn a_malformed_event_is_an_error() {
    for bad in ["data: {", "data: {}", "data: 7"] {
        let (events, error) = read_stream(format!("{}\n\n{bad}\n\n", event(0))).await;

        assert_eq!(events.len(), 1);
        assert_eq!(error.unwrap().kind(), ErrorKind::Upstream, "{bad}");
    }
}

/// Guards against an engine that exhausts the memory with one endless line.
#[tokio::test]
async fn an_overlong_line_is_an_error() {
    let (_, error) = read_stream(format!("data: {}", "x".repeat(1 << 21))).await;

    assert_eq!(error.unwrap().kind(), ErrorKind::Upstream);
}

/// Guards against payloads that are lost, joined or altered where the network splits the stream.
#[test]
fn any_split_gives_the_same_payloads() {
    let payloads = prop::collection::vec("[ -~]{0,12}", 0..12);
    let cuts = prop::collection::vec(0..400_usize, 0..20);
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(Config::default(), random);
    runner
        .run(&(payloads, cuts), |(payloads, mut cuts)| {
            let mut stream = String::new();
            for (index, payload) in payloads.iter().enumerate() {
                let end = if index % 2 == 0 { "\n\n" } else { "\r\n\r\n" };
                for part in [": comment\ndata: ", payload, end] {
                    stream += part;
                }
            }
            cuts.retain(|cut| *cut < stream.len());
            cuts.push(0);
            cuts.push(stream.len());
            cuts.sort_unstable();

            let mut parser = EventParser::default();
            let mut found = Vec::new();
            for part in cuts.windows(2) {
                parser.push(&stream.as_bytes()[part[0]..part[1]]);
                while let Some(payload) = parser.next_payload() {
                    found.push(String::from_utf8(payload.to_vec()).unwrap());
                }
            }

            prop_assert_eq!(found, payloads);
            Ok(())
        })
        .unwrap();
}
