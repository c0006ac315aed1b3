//! When an instance sends changes to peers that request them, and when it refuses the request.

use std::sync::Arc;
use std::time::Duration;

use comfreychute::ErrorKind;
use comfreychute::peer::{ChangeReply, ChangeRequest, reply};
use comfreychute::relay::{
    ChangePage, ChangeRelay, ContactAge, ObjectKind, RelayedObject, RelayedPage,
};
use comfreychute::time::ClockSource;
use tokio::time::{Instant, sleep, timeout};

const SHORT: Duration = Duration::from_millis(80);

/// The longest wait that a request in these tests states.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

fn object(revision: u64) -> RelayedObject {
    RelayedObject {
        name: "main".to_owned(),
        revision,
        payload: format!("{{\"version\":{revision}}}").into(),
    }
}

fn change(revision: u64) -> ChangePage {
    ChangePage {
        objects: vec![object(revision)],
        deleted: Vec::new(),
        covered: revision,
    }
}

fn relay(clock: &ClockSource) -> Arc<ChangeRelay> {
    let relay = ChangeRelay::new(clock.clone());
    relay.record_list(ObjectKind::Config, &[object(5)], 8, Duration::ZERO);
    Arc::new(relay)
}

/// Guards against a change that reaches the other instances only when the wait of their request
/// ends.
#[tokio::test]
async fn change_ends_the_wait_at_once() {
    let relay = relay(&ClockSource::monotonic());
    let later = Arc::clone(&relay);
    tokio::spawn(async move {
        sleep(SHORT).await;
        later.record_changes(ObjectKind::Config, &change(9), Duration::ZERO);
    });

    let pending = relay.changes(ObjectKind::Config, 8, WAIT_LIMIT);
    let page = timeout(Duration::from_secs(1), pending).await;

    let page = page.expect("within a second").expect("a known history");
    assert_eq!(page.changes, change(9));
}

/// Guards against a request that gets no reply while nothing changes.
#[tokio::test]
async fn wait_ends_without_a_change() {
    let relay = relay(&ClockSource::monotonic());
    let started = Instant::now();

    let page = relay.changes(ObjectKind::Config, 8, SHORT).await;

    let page = page.expect("a known history");
    assert_eq!((page.changes.objects.len(), page.changes.covered), (0, 8));
    assert!(started.elapsed() >= SHORT);
}

/// Guards against instances that use an old configuration for longer than two seconds because the
/// store no longer answers their watcher.
#[tokio::test]
async fn watcher_that_the_store_does_not_answer_refuses_requests() {
    let relay = relay(&ClockSource::monotonic());
    let started = Instant::now();

    let result = relay.changes(ObjectKind::Config, 8, WAIT_LIMIT).await;

    let error = result.expect_err("the store has not answered for long");
    assert_eq!(error.kind(), ErrorKind::Unavailable);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against an instance that serves changes which it received only from a peer: the store
/// itself has not answered it recently.
#[tokio::test]
async fn relayed_changes_do_not_count_as_store_responses() {
    let clock = ClockSource::virtual_time();
    let relay = relay(&clock);
    clock.advance(Duration::from_secs(2));

    relay.record_relayed(ObjectKind::Config, &change(9));

    let result = relay.changes(ObjectKind::Config, 8, SHORT).await;
    result.expect_err("only the store's own answer counts");
}

/// Guards against a peer that takes the time since its last page for an outage of the store, because it
/// does not know how recently the store answered the sender.
#[tokio::test]
async fn page_states_the_age_of_the_last_call_that_the_store_answered() {
    let clock = ClockSource::virtual_time();
    clock.advance(Duration::from_secs(5));
    let relay = relay(&clock);
    let call_time = Duration::from_millis(900);
    relay.record_changes(ObjectKind::Config, &change(9), call_time);
    clock.advance(Duration::from_millis(300));

    let page = relay.changes(ObjectKind::Config, 8, SHORT).await;

    let page = page.expect("a known history");
    let age = ContactAge {
        called: Duration::from_millis(1200),
        answered: Duration::from_millis(300),
    };
    assert_eq!(page.age, age);
    let reply = page.clone().into_reply();
    assert_eq!(RelayedPage::from_reply(reply, ObjectKind::Config), page);
}

/// Guards against a page of an instance that states no age, as those of earlier versions, that counts as
/// a contact with the store at its arrival.
#[test]
fn page_without_an_age_counts_as_the_oldest_that_is_sent() {
    let reply = ChangeReply::default();

    let page = RelayedPage::from_reply(reply, ObjectKind::Upstreams);

    let answered = ChangeRelay::reply_age_limit(ObjectKind::Upstreams);
    let called = answered + ObjectKind::Upstreams.watch_wait();
    assert_eq!(page.age, ContactAge { called, answered });
}

/// Guards against a peer that receives only part of the changes because the log's history does not
/// reach back to its revision.
#[tokio::test]
async fn request_for_missing_history_is_refused_at_once() {
    let relay = relay(&ClockSource::monotonic());

    let result = timeout(SHORT, relay.changes(ObjectKind::Config, 7, WAIT_LIMIT)).await;

    result
        .expect("a reply at once")
        .expect_err("revision 7 is before the list");
}

/// Guards against a panic or a missing reply when a peer of a newer version requests an unknown
/// kind.
#[tokio::test]
async fn unknown_kind_is_refused() {
    let relay = relay(&ClockSource::monotonic());

    let request = ChangeRequest {
        kind: 77,
        revision: 8,
        wait_ms: u32::MAX,
    };
    let reply = relay.reply(request).await;

    assert!(matches!(reply.body, Some(reply::Body::Refused(_))));
}
