//! The permit client and the endpoint of the permit holder.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use comfreychute::id::InstanceId;
use comfreychute::peer::{PermitBid, PermitGrant, PermitRelease};
use comfreychute::permit::{ClientConfig, ClientHooks, PermitClient, PermitEndpoint};
use comfreychute::time::ClockSource;
use comfreychute::{Error, ErrorKind};
use futures_util::FutureExt;

use crate::fixtures::{adapter, lanka, ready_holder, upstream};

const WAIT: Duration = Duration::from_millis(500);

/// Returns an endpoint whose bucket is full, and its clock.
fn ready_endpoint() -> (PermitEndpoint, ClockSource) {
    let (holder, now) = ready_holder(&lanka());
    let clock = ClockSource::virtual_time();
    clock.advance(now);
    (PermitEndpoint::new(holder, clock.clone(), WAIT), clock)
}

fn bid_of(number: usize) -> PermitBid {
    PermitBid {
        store: "weights".to_owned(),
        upstream: upstream(number).as_str().to_owned(),
        adapter: adapter(number).to_string(),
        value: 1.0,
    }
}

fn in_flight(endpoint: &PermitEndpoint) -> usize {
    let mut count = 0;
    endpoint.update(|holder, _| count = holder.in_flight("weights"));
    count
}

/// Guards against a grant that does not reach the waiting bid: the bucket is empty when the bid
/// arrives, so the grant is issued by a later tick.
#[tokio::test(start_paused = true)]
async fn a_waiting_bid_is_granted_when_the_bucket_refills() {
    let (endpoint, clock) = ready_endpoint();

    let first = endpoint.bid(&bid_of(1)).await.expect("the bid is accepted");
    let waiting = tokio::spawn({
        let endpoint = endpoint.clone();
        async move { endpoint.bid(&bid_of(2)).await }
    });
    tokio::task::yield_now().await;
    clock.advance(Duration::from_millis(400));
    endpoint.tick();
    let second = waiting.await.expect("the bid does not panic");

    assert_ne!(first.permit, 0);
    assert_eq!(first.valid_ms, 1_000);
    assert_ne!(second.expect("the bid is accepted").permit, 0);
}

/// Guards against grants to bids whose wait has timed out, which would waste the store's rate.
#[tokio::test(start_paused = true)]
async fn a_bid_that_timed_out_is_withdrawn() {
    let (endpoint, clock) = ready_endpoint();
    endpoint.bid(&bid_of(1)).await.expect("the bid is accepted");

    let timed_out = endpoint.bid(&bid_of(2)).await.expect("the bid is accepted");
    let mut waiting = 0;
    endpoint.update(|holder, _| waiting = holder.waiting("weights"));
    clock.advance(Duration::from_millis(400));
    endpoint.tick();

    assert_eq!(timed_out.permit, 0);
    assert_eq!(waiting, 0);
    assert_eq!(in_flight(&endpoint), 1);
}

/// Guards against a permit that stays in flight because the bid was dropped after its grant was
/// issued but before it was received.
#[tokio::test(start_paused = true)]
async fn an_unreceived_grant_is_released() {
    let (endpoint, clock) = ready_endpoint();
    endpoint.bid(&bid_of(1)).await.expect("the bid is accepted");
    let mut waiting = Box::pin({
        let endpoint = endpoint.clone();
        async move { endpoint.bid(&bid_of(2)).await }
    });
    assert!(waiting.as_mut().now_or_never().is_none());
    clock.advance(Duration::from_millis(400));
    endpoint.tick();
    let before = in_flight(&endpoint);

    drop(waiting);

    assert_eq!(before, 2);
    assert_eq!(in_flight(&endpoint), 1);
}

/// Guards against an endpoint loop that misses the time of the next grant when no further call
/// wakes it.
#[tokio::test(start_paused = true)]
async fn the_endpoint_grants_without_further_bids() {
    let (holder, _) = ready_holder(&lanka());
    let clock = ClockSource::virtual_time();
    clock.advance(Duration::from_secs(12));
    let endpoint = PermitEndpoint::new(holder, clock.clone(), Duration::from_secs(30));
    let task = tokio::spawn(endpoint.clone().run());
    endpoint.bid(&bid_of(1)).await.expect("the bid is accepted");

    let waiting = tokio::spawn({
        let endpoint = endpoint.clone();
        async move { endpoint.bid(&bid_of(2)).await }
    });
    tokio::task::yield_now().await;
    clock.advance(Duration::from_millis(400));
    let second = waiting.await.expect("the bid does not panic");
    let second = second.expect("the bid is accepted");
    task.abort();

    assert_ne!(second.permit, 0);
}

/// Returns a client connected to the endpoint; each reply to a bid advances the clock by `delay`.
fn client_of(endpoint: &PermitEndpoint, clock: &ClockSource, delay: Duration) -> PermitClient {
    let (bid_endpoint, release_endpoint, bid_clock) =
        (endpoint.clone(), endpoint.clone(), clock.clone());
    let hooks = ClientHooks::new(
        || Some(InstanceId::from_name("entry-1")),
        move |_, bid| {
            let (endpoint, clock) = (bid_endpoint.clone(), bid_clock.clone());
            async move {
                let grant = endpoint.bid(&bid).await;
                clock.advance(delay);
                grant
            }
            .boxed()
        },
        move |_, release| {
            release_endpoint.release(&release);
            async { Ok(()) }.boxed()
        },
    );
    PermitClient::new(ClientConfig::default(), hooks, clock.clone())
}

/// Guards against a load that starts after its permit's validity of 1000 ms, because the grant was
/// delayed in transit.
#[tokio::test(start_paused = true)]
async fn a_grant_that_arrives_late_is_released_unused() {
    for (delay, is_usable) in [(999, true), (1_000, false)] {
        let (endpoint, clock) = ready_endpoint();
        let client = client_of(&endpoint, &clock, Duration::from_millis(delay));

        let permit = client
            .acquire("weights", &upstream(1), &adapter(1), 1.0)
            .await
            .expect("the holder answers");

        assert_eq!(permit.is_some(), is_usable, "after {delay} ms");
        assert_eq!(in_flight(&endpoint), usize::from(is_usable));
        if let Some(permit) = permit {
            assert!(permit.is_valid(clock.now()));
            client.release(permit, true).await;
            assert_eq!(in_flight(&endpoint), 0);
        }
    }
}

/// Guards against a client that waits forever for a holder that does not answer, and against bids
/// that accumulate meanwhile.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_holder_fails_the_bid() {
    let hooks = ClientHooks::new(
        || Some(InstanceId::from_name("entry-1")),
        |_, _| std::future::pending().boxed(),
        |_, _| std::future::pending().boxed(),
    );
    let config = ClientConfig {
        max_concurrent_bids: 1,
        ..ClientConfig::default()
    };
    let client = PermitClient::new(config, hooks, ClockSource::virtual_time());
    let (worker, style) = (upstream(1), adapter(1));

    let (first, second) = tokio::join!(
        client.acquire("weights", &worker, &style, 1.0),
        client.acquire("weights", &worker, &style, 1.0),
    );

    assert_eq!(first.map_err(|error| error.kind()), Err(ErrorKind::Peer));
    let second = second.map_err(|error| error.kind());
    assert_eq!(second, Err(ErrorKind::Overloaded));
}

/// Guards against a permit that stays in flight because one release message was lost.
#[tokio::test(start_paused = true)]
async fn the_release_of_a_permit_is_retried() {
    let attempts = Arc::new(AtomicU32::new(0));
    let released = Arc::new(Mutex::new(Vec::<PermitRelease>::new()));
    let (count, kept) = (Arc::clone(&attempts), Arc::clone(&released));
    let hooks = ClientHooks::new(
        || Some(InstanceId::from_name("entry-1")),
        |_, _| {
            let grant = PermitGrant {
                permit: 9,
                valid_ms: 1_000,
            };
            async { Ok(grant) }.boxed()
        },
        move |_, release| {
            if count.fetch_add(1, Ordering::Relaxed) == 0 {
                return async { Err(Error::new(ErrorKind::Peer, "lost")) }.boxed();
            }
            kept.lock().expect("no panic under this lock").push(release);
            async { Ok(()) }.boxed()
        },
    );
    let client = PermitClient::new(ClientConfig::default(), hooks, ClockSource::virtual_time());
    let permit = client
        .acquire("weights", &upstream(1), &adapter(1), 1.0)
        .await
        .expect("the holder answers")
        .expect("a permit is granted");

    client.release(permit, true).await;

    let released = released.lock().expect("no panic under this lock");
    assert_eq!(attempts.load(Ordering::Relaxed), 2);
    assert_eq!(released.len(), 1);
    assert_eq!((released[0].permit, released[0].is_used), (9, true));
}
