//! When an instance answers peers that ask for changes, and when it turns them away.

use std::sync::Arc;
use std::time::Duration;

use comfreychute::ErrorKind;
use comfreychute::peer::{ChangeAsk, reply};
use comfreychute::relay::{ChangePage, ChangeRelay, ObjectKind, RelayedObject};
use comfreychute::time::ClockSource;
use tokio::time::{Instant, sleep, timeout};

const SHORT: Duration = Duration::from_millis(80);

/// The longest wait for anything in these tests.
const PATIENCE: Duration = Duration::from_secs(10);

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
    relay.record_list(ObjectKind::Config, &[object(5)], 8);
    Arc::new(relay)
}

/// Guards against a change that reaches the other instances only after the wait of their question.
#[tokio::test]
async fn change_ends_the_wait_at_once() {
    let relay = relay(&ClockSource::monotonic());
    let later = Arc::clone(&relay);
    tokio::spawn(async move {
        sleep(SHORT).await;
        later.record_changes(ObjectKind::Config, &change(9));
    });

    let asked = relay.changes(ObjectKind::Config, 8, PATIENCE);
    let page = timeout(Duration::from_secs(1), asked).await;

    let page = page.expect("within a second").expect("a known history");
    assert_eq!(page, change(9));
}

/// Guards against a question that is never answered while nothing changes.
#[tokio::test]
async fn wait_ends_without_a_change() {
    let relay = relay(&ClockSource::monotonic());
    let started = Instant::now();

    let page = relay.changes(ObjectKind::Config, 8, SHORT).await;

    let page = page.expect("a known history");
    assert_eq!((page.objects.len(), page.covered), (0, 8));
    assert!(started.elapsed() >= SHORT);
}

/// Guards against instances that keep an old configuration for longer than two seconds because their
/// watcher no longer hears the store.
#[tokio::test]
async fn watcher_that_the_store_does_not_answer_turns_peers_away() {
    let relay = relay(&ClockSource::monotonic());
    let started = Instant::now();

    let asked = relay.changes(ObjectKind::Config, 8, PATIENCE).await;

    let error = asked.expect_err("the store has not answered for long");
    assert_eq!(error.kind(), ErrorKind::Unavailable);
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against an instance that vouches for what it has only from a peer.
#[tokio::test]
async fn relayed_changes_do_not_make_a_watcher() {
    let clock = ClockSource::virtual_time();
    let relay = relay(&clock);
    clock.advance(Duration::from_secs(2));

    relay.record_relayed(ObjectKind::Config, &change(9));

    let asked = relay.changes(ObjectKind::Config, 8, SHORT).await;
    asked.expect_err("only the store's own answer counts");
}

/// Guards against a reader that is told a part of the changes only.
#[tokio::test]
async fn unknown_history_is_said_at_once() {
    let relay = relay(&ClockSource::monotonic());

    let asked = timeout(SHORT, relay.changes(ObjectKind::Config, 7, PATIENCE)).await;

    asked
        .expect("an answer at once")
        .expect_err("revision 7 is before the list");
}

/// Guards against a panic or silence when a newer version asks for a kind that is not known here.
#[tokio::test]
async fn unknown_kind_is_refused() {
    let relay = relay(&ClockSource::monotonic());

    let question = ChangeAsk {
        kind: 77,
        revision: 8,
        wait_ms: u32::MAX,
    };
    let answer = relay.reply(question).await;

    assert!(matches!(answer.body, Some(reply::Body::Refused(_))));
}
