//! Links that go silent, break, or lead to processes that have ended.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use comfreychute::peer::{CallOpen, CallSink, PeerChange};
use comfreychute::{ErrorKind, RunState};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::fixture::{LIMIT, TestNode, answer_three, config, id, listed, next, token, until};
use crate::test_proxy::TestProxy;

/// Guards against peers that are declared dead, or stay unreachable, because an open connection
/// went silent while new ones work.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn silent_connection_is_redialled_and_the_peer_stays_alive() {
    let (a, b) = (TestNode::start("a"), TestNode::start("b"));
    let proxy = TestProxy::start(b.mesh.address()).await;
    a.mesh.dial(&[listed("b", proxy.address)]);
    a.wait_for_link("b").await;
    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the link works");
    assert!(next(&mut events).await.expect("an answer").is_some());

    for round in 1..=2 {
        proxy.silence();
        until("a new connection", || {
            (proxy.accepted.load(Ordering::Relaxed) > round).then_some(())
        })
        .await;
        a.wait_for_link("b").await;
    }

    let mut again = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the new link works");
    assert!(next(&mut again).await.expect("an answer").is_some());
    for node in [&a, &b] {
        let changes = node.changes();
        assert!(
            changes
                .iter()
                .all(|change| matches!(change, PeerChange::Joined(_))),
            "{}: {changes:?}",
            node.name
        );
        assert_eq!(changes.len(), 1, "{}: {changes:?}", node.name);
    }
}

/// Guards against work that continues at the owner after its caller has disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropping_the_events_cancels_the_call() {
    let cancelled = Arc::new(Notify::new());
    let notify = Arc::clone(&cancelled);
    let serve = move |_: CallOpen, mut sink: CallSink| {
        let notify = Arc::clone(&notify);
        async move {
            sink.send(token(0, "x")).await.expect("a caller");
            sink.closed().await;
            notify.notify_one();
        }
    };
    let a = TestNode::start("a");
    let b = TestNode::start_with(config("b", 1), serve);
    a.dial(&[&b]);
    a.wait_for_link("b").await;
    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the link works");
    next(&mut events).await.expect("an answer");

    drop(events);

    timeout(LIMIT, cancelled.notified())
        .await
        .expect("the call is cancelled");
}

/// Guards against a request reported as "not run" although the owner may have run it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_link_ends_a_written_call_as_unknown() {
    let a = TestNode::start("a");
    let b = TestNode::start_with(config("b", 1), |_, sink: CallSink| async move {
        sink.closed().await;
    });
    let proxy = TestProxy::start(b.mesh.address()).await;
    a.mesh.dial(&[listed("b", proxy.address)]);
    a.wait_for_link("b").await;
    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the link works");
    until("the call at the owner", || {
        (!b.seen.lock().expect("not poisoned").opened.is_empty()).then_some(())
    })
    .await;

    proxy.close_all();

    let lost = next(&mut events).await;
    let error = lost.expect_err("the link was lost");
    assert_eq!(error.kind(), ErrorKind::Peer);
    assert_eq!(error.run_state(), RunState::Unknown);
    assert!(next(&mut events).await.expect("ended").is_none());
}

/// Guards against a request reported as possibly run although no byte of it was written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_without_a_link_did_not_run() {
    let a = TestNode::start("a");

    let error = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect_err("there is no peer");

    assert_eq!(error.kind(), ErrorKind::Peer);
    assert_eq!(error.run_state(), RunState::NotRun);
}

/// Guards against an answer that looks complete although the owner dropped it halfway.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dropped_sink_ends_the_call_with_an_error_after_its_parts() {
    let a = TestNode::start("a");
    let b = TestNode::start_with(config("b", 1), |_, mut sink: CallSink| async move {
        sink.send(token(0, "x")).await.expect("a caller");
    });
    a.dial(&[&b]);
    a.wait_for_link("b").await;
    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the link works");

    let first = next(&mut events).await.expect("a part");
    let error = next(&mut events).await.expect_err("no end marker");

    assert!(first.is_some());
    assert_eq!(error.kind(), ErrorKind::Peer);
    assert_eq!(error.run_state(), RunState::Unknown);
}

/// Guards against a slow takeover: a refused connection shows at once that the process has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ended_process_is_refused_and_its_successor_is_reported_as_replaced() {
    let a = TestNode::start("a");
    let b = TestNode::start("b");
    let address = b.mesh.address();
    a.dial(&[&b]);
    a.wait_for_link("b").await;

    b.mesh.stop();
    drop(b);
    a.wait_for_change(|change| *change == PeerChange::Refused(id("b")))
        .await;
    assert!(a.mesh.live_peers().is_empty());

    let mut successor = config("b", 2);
    successor.listen = address;
    let _b = TestNode::start_with(successor, answer_three);
    let change = a
        .wait_for_change(|change| matches!(change, PeerChange::Replaced { .. }))
        .await;
    assert!(
        matches!(change, PeerChange::Replaced { ref now, previous: 1 } if now.incarnation == 2)
    );
    assert_eq!(a.mesh.live_peers()[0].incarnation, 2);
}

/// Guards against an instance that counts as live although its process ended before this one
/// started.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listed_instance_that_was_never_reached_is_refused() {
    let a = TestNode::start("a");
    let b = TestNode::start("b");
    let address = b.mesh.address();
    b.mesh.stop();
    drop(b);

    a.mesh.dial(&[listed("b", address)]);

    a.wait_for_change(|change| *change == PeerChange::Refused(id("b")))
        .await;
}

/// Guards against a paused process that counts as live indefinitely: its kernel still accepts
/// connections, but the process does not respond.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_that_accepts_and_never_answers_is_silent() {
    let a = TestNode::start("a");
    let b = TestNode::start("b");
    let proxy = TestProxy::start(b.mesh.address()).await;
    a.mesh.dial(&[listed("b", proxy.address)]);
    a.wait_for_link("b").await;

    proxy.freeze();

    a.wait_for_change(|change| *change == PeerChange::Silent(id("b")))
        .await;
    assert!(a.mesh.live_peers().is_empty());
}

/// Guards against a peer that continues to receive new ownership while it shuts down.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn draining_peer_is_reported() {
    let (a, b) = (TestNode::start("a"), TestNode::start("b"));
    a.dial(&[&b]);
    b.dial(&[&a]);
    a.wait_for_link("b").await;

    b.heartbeat.lock().expect("not poisoned").is_draining = true;

    a.wait_for_change(|change| *change == PeerChange::Draining(id("b")))
        .await;
    assert!(a.mesh.live_peers()[0].is_draining);
}
