//! The run state of errors: "not run" only if no byte of the request was written.

use std::time::Duration;

use comfreychute::upstream::EngineClient;
use comfreychute::{ErrorKind, RunState};
use comfreychute_standins::EngineStandin;
use comfreychute_standins::engine::EngineSettings;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use crate::fixture::{LONG, call, engine, epoch, name, read_text};

/// Short enough for a test that waits for it, long enough for a connection on a busy machine.
const SHORT: Duration = Duration::from_secs(1);

/// Guards against refusals that forbid a retry although the engine is down.
#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let (engine, _) = engine(|_| (), &[]).await;
    // A client without pooled connections: a request on one that is closing may have been written.
    let client = EngineClient::new(engine.address(), LONG);
    engine.stop().await;

    let complete = client.complete(&call(1, "a", 1)).await.unwrap_err();
    let load = client.load(&name("a"), epoch()).await.unwrap_err();
    let status = client.status().await.unwrap_err();

    for error in [complete, load, status] {
        assert_eq!(error.kind(), ErrorKind::Unavailable);
        assert_eq!(error.run_state(), RunState::NotRun);
    }
}

/// Guards against a request that was read by the engine being reported as "not run".
#[tokio::test]
async fn a_connection_closed_after_the_request_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EngineClient::new(listener.local_addr().unwrap(), LONG);
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 16];
        stream.read_exact(&mut request).await.unwrap();
    });

    let error = client.complete(&call(1, "a", 1)).await.unwrap_err();

    server.await.unwrap();
    assert_eq!(error.run_state(), RunState::Unknown);
}

/// Guards against a server that closes at once, before it reads: bytes may have been written.
#[tokio::test]
async fn a_connection_closed_at_once_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EngineClient::new(listener.local_addr().unwrap(), LONG);
    let server = tokio::spawn(async move {
        loop {
            drop(listener.accept().await);
        }
    });

    let error = client.complete(&call(1, "a", 1)).await.unwrap_err();

    server.abort();
    assert_eq!(error.run_state(), RunState::Unknown);
}

/// Guards against a request without an answer being reported as "not run".
#[tokio::test]
async fn a_request_without_answer_is_unknown() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = EngineClient::new(listener.local_addr().unwrap(), SHORT);

    let error = client.complete(&call(1, "a", 1)).await.unwrap_err();

    assert_eq!(error.run_state(), RunState::Unknown);
    drop(listener);
}

/// Guards against a refusal of the engine that is taken for a request that was never sent.
#[tokio::test]
async fn a_refusal_by_the_engine_is_unknown() {
    let (_engine, client) = engine(|_| (), &["a"]).await;

    let error = client.complete(&call(1, "b", 1)).await.unwrap_err();

    assert_eq!(error.kind(), ErrorKind::NotFound);
    assert_eq!(error.run_state(), RunState::Unknown);
}

/// Guards against clients that do not find an engine again which restarted at its address.
#[tokio::test]
async fn a_client_finds_a_restarted_engine() {
    let (engine, client) = engine(|_| (), &["a"]).await;
    let address = engine.address();
    let mut answer = client.complete(&call(1, "a", 1)).await.unwrap();
    read_text(&mut answer).await.unwrap();

    engine.stop().await;
    client.status().await.unwrap_err();
    let engine = EngineStandin::start(EngineSettings {
        address,
        ..EngineSettings::default()
    })
    .await
    .unwrap();
    let status = client.status().await.unwrap();

    assert_eq!(status.incarnation, engine.status().incarnation);
}
