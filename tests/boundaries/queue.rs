//! The engine's queue, its lagging reports and its cache events.

use std::time::Duration;

use comfreychute::id::RequestRank;
use comfreychute::upstream::EngineCall;

use crate::fixture::{attempt, call, engine, epoch, name, read_text, until};

/// Guards against an engine that serves its queue in order of arrival only.
#[tokio::test]
async fn waiting_requests_run_by_rank() {
    let (engine, client) = engine(
        |settings| {
            settings.max_running = 1;
            settings.token_interval = Duration::from_mins(1);
        },
        &["a"],
    )
    .await;
    let _running = client.complete(&call(1, "a", 1)).await.unwrap();
    let ranked = |number, rank| EngineCall {
        rank,
        ..call(number, "a", 1)
    };
    let _batch = client
        .complete(&ranked(2, RequestRank::Batch))
        .await
        .unwrap();
    let mut urgent = client
        .complete(&ranked(3, RequestRank::Urgent))
        .await
        .unwrap();
    assert_eq!(engine.status().waiting, 2);

    engine.change(|settings| settings.token_interval = Duration::from_millis(1));
    client.cancel(attempt(1)).await.unwrap();
    read_text(&mut urgent).await.unwrap();
    until("the batch request ran", || engine.counters().finished == 2).await;

    assert_eq!(engine.counters().peak_running, 1);
    let starts: Vec<_> = engine
        .journal()
        .into_iter()
        .filter(|entry| entry.kind == "start")
        .map(|entry| entry.attempt)
        .collect();
    let expected = [1, 3, 2].map(|number| Some(attempt(number)));
    assert_eq!(starts, expected);
}

/// Guards against tests that believe in lagging reports without getting any.
#[tokio::test]
async fn load_reports_lag() {
    let (engine, client) = engine(
        |settings| {
            settings.max_running = 1;
            settings.token_interval = Duration::from_mins(1);
            settings.report_lag = Duration::from_hours(1);
        },
        &["a"],
    )
    .await;
    let _running = client.complete(&call(1, "a", 1)).await.unwrap();
    let _waiting = client.complete(&call(2, "a", 1)).await.unwrap();

    let lagging = client.status().await.unwrap();
    engine.change(|settings| settings.report_lag = Duration::ZERO);
    let present = client.status().await.unwrap();

    assert_eq!((lagging.running, lagging.waiting), (0, 0));
    assert_eq!((present.running, present.waiting), (1, 1));
    assert_eq!(present.resident[0].running, 2);
}

/// Guards against cache events that arrive at once or completely.
#[tokio::test]
async fn cache_events_lag_and_have_gaps() {
    let (engine, client) = engine(
        |settings| {
            settings.cache_event_lag = Duration::from_hours(1);
            settings.cache_event_gap = 2;
        },
        &["a"],
    )
    .await;
    for number in 1..=3 {
        let mut answer = client.complete(&call(number, "a", 1)).await.unwrap();
        read_text(&mut answer).await.unwrap();
    }

    let lagging = client.cache_events(0).await.unwrap();
    engine.change(|settings| settings.cache_event_lag = Duration::ZERO);
    let present = client.cache_events(0).await.unwrap();
    let later = client.cache_events(1).await.unwrap();

    assert_eq!(lagging, []);
    let numbers: Vec<u64> = present.iter().map(|event| event.number).collect();
    assert_eq!(numbers, [1, 3]);
    assert!(
        present
            .iter()
            .all(|event| event.is_stored && event.name == name("a"))
    );
    assert_eq!(later.len(), 1);
}

/// Guards against cached prefixes that outlive the adapter.
#[tokio::test]
async fn an_eviction_drops_prefixes() {
    let (_engine, client) = engine(|_| (), &["a"]).await;
    let mut answer = client.complete(&call(1, "a", 1)).await.unwrap();
    read_text(&mut answer).await.unwrap();

    client.evict(&name("a"), epoch()).await.unwrap();

    let events = client.cache_events(1).await.unwrap();
    assert_eq!(events.len(), 1);
    assert!(!events[0].is_stored);
}
