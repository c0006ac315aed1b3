//! The control endpoints, which processes use that do not hold the stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use comfreychute::upstream::{ATTEMPT_HEADER, PlainAnswer, PlainCall, PlainClient};
use comfreychute_standins::engine::{EngineCounters, EngineSettings};
use comfreychute_standins::journal::JournalEntry;
use comfreychute_standins::plain::{PlainCounters, PlainSettings};
use comfreychute_standins::platform::{OutageMode, PlatformCounters, PlatformSettings};
use comfreychute_standins::{PlainStandin, PlatformStandin};
use http::{HeaderMap, Method, StatusCode};

use crate::fixture::{LONG, attempt, call, engine, read_text};

async fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &'static str,
) -> PlainAnswer {
    let call = PlainCall {
        method,
        path: path.to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(body.as_bytes()),
        attempt: attempt(1),
    };
    PlainClient::new(address, LONG).call(&call).await.unwrap()
}

async fn read<T: serde::de::DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let answer = request(address, Method::GET, path, "").await;
    serde_json::from_slice(&answer.body).unwrap()
}

/// Guards against faults of the engine that can't be set from another process.
#[tokio::test]
async fn an_engine_is_controlled_by_requests() {
    let (engine, client) = engine(|_| (), &["a"]).await;
    let address = engine.address();
    let mut answer = client.complete(&call(1, "a", 1)).await.unwrap();
    read_text(&mut answer).await.unwrap();

    let body = r#"{"slots":3,"load_time":"70ms"}"#;
    let changed = request(address, Method::PUT, "/control/settings", body).await;
    let journal: Vec<JournalEntry> = read(address, "/control/journal?after=1").await;
    let restarted = request(address, Method::POST, "/control/restart", "").await;
    let cut = request(address, Method::POST, "/control/cut", "").await;
    let silenced = request(address, Method::POST, "/control/silence", "").await;

    for answer in [changed, restarted, cut, silenced] {
        assert_eq!(answer.status, StatusCode::NO_CONTENT);
    }
    let settings: EngineSettings = read(address, "/control/settings").await;
    assert_eq!(settings.slots, 3);
    assert_eq!(settings.load_time, Duration::from_millis(70));
    let kinds: Vec<_> = journal.iter().map(|entry| entry.kind.as_str()).collect();
    assert_eq!(kinds, ["complete", "start"]);
    assert!(
        journal
            .iter()
            .all(|entry| entry.attempt == Some(attempt(1)))
    );
    let counters: EngineCounters = read(address, "/control/counters").await;
    assert_eq!((counters.finished, counters.restarts), (1, 1));
}

/// Guards against a misspelt fault that is silently ignored.
#[tokio::test]
async fn an_unknown_setting_is_refused() {
    let (engine, _) = engine(|_| (), &[]).await;

    let body = r#"{"slots":3,"slosts":4}"#;
    let answer = request(engine.address(), Method::PUT, "/control/settings", body).await;

    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    let settings: EngineSettings = read(engine.address(), "/control/settings").await;
    assert_eq!(settings.slots, EngineSettings::default().slots);
}

/// Guards against faults of the platform that can't be set from another process, in particular
/// during an outage.
#[tokio::test]
async fn a_platform_is_controlled_by_requests() {
    let platform = PlatformStandin::start(PlatformSettings::default())
        .await
        .unwrap();
    let address = platform.address();

    let body = r#"{"outage":"hang"}"#;
    let changed = request(address, Method::PUT, "/control/settings", body).await;
    let instances =
        r#"[{"id":"i-1","domain":"galle","peer_address":"127.0.0.1:9","is_leaving":false}]"#;
    let listed = request(address, Method::PUT, "/control/instances", instances).await;
    let settings: PlatformSettings = read(address, "/control/settings").await;
    let body = r#"{"outage":"off"}"#;
    request(address, Method::PUT, "/control/settings", body).await;
    let list = request(address, Method::GET, "/instances", "").await;

    assert_eq!(changed.status, StatusCode::NO_CONTENT);
    assert_eq!(listed.status, StatusCode::NO_CONTENT);
    assert_eq!(settings.outage, OutageMode::Hang);
    assert_eq!(list.body.as_ref(), instances.as_bytes());
    let counters: PlatformCounters = read(address, "/control/counters").await;
    assert_eq!(counters.instance_reads, 1);
}

/// Guards against faults of the plain service that can't be set from another process.
#[tokio::test]
async fn a_plain_service_is_controlled_by_requests() {
    let service = PlainStandin::start(PlainSettings::default()).await.unwrap();
    let address = service.address();

    let body = r#"{"fail_calls":1,"fail_status":418}"#;
    request(address, Method::PUT, "/control/settings", body).await;
    let failed = request(address, Method::POST, "/plates", "plate").await;

    assert_eq!(failed.status, StatusCode::IM_A_TEAPOT);
    let counters: PlainCounters = read(address, "/control/counters").await;
    assert_eq!((counters.calls, counters.failed), (1, 1));
    let journal: Vec<JournalEntry> = read(address, "/control/journal").await;
    assert_eq!(journal.len(), 1);
}

/// Guards against a late copy of another answer that does not state its attempt, from a service that
/// states it otherwise, and against the answers of a service that never does.
#[test]
fn answer_without_an_attempt_is_believed_until_the_service_has_stated_one() {
    let client = PlainClient::new(([127, 0, 0, 1], 9).into(), LONG);
    let answer = |stated: Option<u128>| PlainAnswer {
        status: StatusCode::OK,
        headers: stated
            .map(|number| (ATTEMPT_HEADER, attempt(number)))
            .map(|(name, id)| (name.parse().unwrap(), id.to_string().parse().unwrap()))
            .into_iter()
            .collect(),
        body: Bytes::new(),
    };

    let unstated_first = client.is_answer_to(&answer(None), attempt(1));
    let own = client.is_answer_to(&answer(Some(1)), attempt(1));
    let other = client.is_answer_to(&answer(Some(2)), attempt(1));
    let unstated_later = client.is_answer_to(&answer(None), attempt(1));

    assert!(unstated_first && own);
    assert!(!other && !unstated_later);
}
