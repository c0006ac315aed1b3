//! Orders to load and evict adapters, fencing, failing and slow loads, and cold restarts.

use std::time::Duration;

use comfreychute::ErrorKind;
use comfreychute::id::{EngineName, OwnerEpoch};
use comfreychute::upstream::EngineClient;
use comfreychute_standins::EngineStandin;
use comfreychute_standins::engine::{EngineSettings, WeightStore};

use crate::fixture::{LONG, call, engine, epoch, name, read_text, until};

fn later_epoch() -> OwnerEpoch {
    OwnerEpoch::after(&[epoch()], "second")
}

/// Guards against a status that misses adapters, and against slots that are not respected.
#[tokio::test]
async fn a_full_engine_needs_an_eviction() {
    let (_engine, client) = engine(|settings| settings.slots = 2, &["a", "b"]).await;

    let full = client.load(&name("c"), epoch()).await.unwrap_err();
    let repeated = client.load(&name("a"), epoch()).await;
    client.evict(&name("a"), epoch()).await.unwrap();
    client.load(&name("c"), epoch()).await.unwrap();

    assert_eq!(full.kind(), ErrorKind::Conflict);
    repeated.unwrap();
    let status = client.status().await.unwrap();
    let resident: Vec<_> = status.resident.iter().map(|item| &item.name).collect();
    assert_eq!(resident, [&name("b"), &name("c")]);
    assert_eq!(status.slots, 2);
}

/// Guards against a former owner whose orders still take effect at engines that check tokens.
#[tokio::test]
async fn an_old_epoch_is_fenced() {
    let (engine, client) = engine(|settings| settings.checks_fencing = true, &["a"]).await;
    let taken_over = EngineName::new(name("b").adapter().clone(), later_epoch());

    client.load(&taken_over, later_epoch()).await.unwrap();
    let load = client.load(&name("c"), epoch()).await.unwrap_err();
    let evict = client.evict(&name("a"), epoch()).await.unwrap_err();

    assert_eq!(load.kind(), ErrorKind::Fenced);
    assert_eq!(evict.kind(), ErrorKind::Fenced);
    assert_eq!(engine.counters().fenced_orders, 2);
    assert_eq!(client.status().await.unwrap().fencing, later_epoch());
    let outcomes: Vec<_> = engine
        .journal()
        .into_iter()
        .map(|entry| (entry.kind, entry.outcome, entry.epoch))
        .collect();
    let order = |kind: &str, outcome: &str, epoch| (kind.into(), outcome.into(), Some(epoch));
    assert_eq!(
        outcomes,
        [
            order("load", "accepted", epoch()),
            order("load", "accepted", later_epoch()),
            order("load", "fenced", epoch()),
            order("evict", "fenced", epoch()),
        ]
    );
}

/// Guards against tests of engines without fencing that run on engines with it.
#[tokio::test]
async fn an_engine_may_ignore_epochs() {
    let (engine, client) = engine(|_| (), &["a"]).await;
    let taken_over = EngineName::new(name("a").adapter().clone(), later_epoch());

    client.load(&taken_over, later_epoch()).await.unwrap();
    client.evict(&name("a"), epoch()).await.unwrap();

    let status = client.status().await.unwrap();
    assert_eq!(status.fencing, OwnerEpoch::default());
    assert_eq!(status.resident.len(), 1);
    assert_eq!(status.resident[0].name, taken_over);
    assert_eq!(engine.counters().fenced_orders, 0);
}

/// Guards against evictions under running requests that go uncounted.
#[tokio::test]
async fn an_eviction_under_a_request_is_counted() {
    let (engine, client) = engine(
        |settings| settings.token_interval = Duration::from_mins(1),
        &["a", "b"],
    )
    .await;
    let mut answer = client.complete(&call(1, "a", 4)).await.unwrap();

    client.evict(&name("b"), epoch()).await.unwrap();
    let before = engine.counters();
    let status = client.status().await.unwrap();
    client.evict(&name("a"), epoch()).await.unwrap();
    let error = read_text(&mut answer).await.unwrap_err();

    assert_eq!((before.evictions, before.evictions_while_running), (1, 0));
    assert_eq!(status.resident[0].running, 1);
    let after = engine.counters();
    assert_eq!((after.evictions, after.evictions_while_running), (2, 1));
    assert_eq!(error.kind(), ErrorKind::Truncated);
}

/// Guards against a failed load that counts as loaded.
#[tokio::test]
async fn a_failed_load_leaves_the_slot_free() {
    let (engine, client) = engine(|settings| settings.fail_loads = 1, &[]).await;

    let failed = client.load(&name("a"), epoch()).await.unwrap_err();
    let resident = client.status().await.unwrap().resident;
    client.load(&name("a"), epoch()).await.unwrap();

    assert_eq!(failed.kind(), ErrorKind::Upstream);
    assert_eq!(resident, []);
    assert_eq!(engine.counters().failed_loads, 1);
    assert_eq!(client.status().await.unwrap().resident.len(), 1);
}

/// Guards against a repeated order that starts a second load of the same adapter.
#[tokio::test]
async fn a_repeated_load_joins_the_first() {
    let (engine, client) = engine(
        |settings| settings.load_time = Duration::from_millis(200),
        &[],
    )
    .await;
    let (load, order) = (name("a"), epoch());

    let (first, second) = tokio::join!(client.load(&load, order), client.load(&load, order));

    first.unwrap();
    second.unwrap();
    assert_eq!(engine.counters().loads, 1);
}

/// Guards against a shared store without slowdown, which would hide loads without a permit.
#[tokio::test]
async fn loads_beyond_the_limit_are_slower() {
    let store = WeightStore::default();
    let settings = EngineSettings {
        load_time: Duration::from_millis(50),
        store_in_flight: 1,
        ..EngineSettings::default()
    };
    let first = EngineStandin::start_with_store(settings.clone(), store.clone())
        .await
        .unwrap();
    let second = EngineStandin::start_with_store(settings, store.clone())
        .await
        .unwrap();
    let first_client = EngineClient::new(first.address(), LONG);
    let second_client = EngineClient::new(second.address(), LONG);

    let start = tokio::time::Instant::now();
    let (adapter, order) = (name("a"), epoch());
    let loads = tokio::join!(
        first_client.load(&adapter, order),
        second_client.load(&adapter, order)
    );

    loads.0.unwrap();
    loads.1.unwrap();
    assert_eq!(store.peak_in_flight(), 2);
    assert_eq!(store.peak_rate(), 2);
    // Both share the speed of one, but for the step of 5 ms that the first may run alone. This is
    // a lower bound, not a speed.
    assert!(start.elapsed() >= Duration::from_millis(95));
}

/// Guards against a restart that keeps adapters, the incarnation, the token or running streams.
#[tokio::test]
async fn a_restart_is_cold() {
    let (engine, client) = engine(
        |settings| {
            settings.checks_fencing = true;
            settings.token_interval = Duration::from_mins(1);
        },
        &["a"],
    )
    .await;
    let mut answer = client.complete(&call(1, "a", 4)).await.unwrap();
    let before = client.status().await.unwrap();

    engine.restart();
    let error = read_text(&mut answer).await.unwrap_err();
    let after = client.status().await.unwrap();

    assert_eq!(error.kind(), ErrorKind::Truncated);
    assert_ne!(before.incarnation, after.incarnation);
    assert_eq!(after.resident, []);
    assert_eq!(after.fencing, OwnerEpoch::default());
    assert_eq!(engine.counters().restarts, 1);
}

/// Guards against a restart during a load whose reply says that the adapter is loaded, and against
/// loads of a former incarnation that go on to slow down others.
#[tokio::test]
async fn a_restart_ends_loads() {
    let store = WeightStore::default();
    let settings = EngineSettings {
        load_time: Duration::from_mins(1),
        ..EngineSettings::default()
    };
    let engine = EngineStandin::start_with_store(settings, store.clone())
        .await
        .unwrap();
    let client = EngineClient::new(engine.address(), LONG);
    let load = {
        let client = client.clone();
        tokio::spawn(async move { client.load(&name("a"), epoch()).await })
    };
    until("the load began", || store.in_flight() == 1).await;

    engine.restart();

    load.await.unwrap().unwrap_err();
    until("the load ended", || store.in_flight() == 0).await;
    assert_eq!(client.status().await.unwrap().resident, []);
}
