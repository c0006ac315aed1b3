//! Links of a node in which a hook panics.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use comfreychute::peer::{
    HeartbeatBody, MeshHooks, PeerMesh, PeerReply, PeerRequest, ReplyFuture, reply,
};
use tokio::time::{sleep, timeout};

use crate::fixture::{TestNode, config, id, until};

/// Time after which a link that does not recover counts as lost.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Panics in the first `count` calls that share a counter.
fn panic_at_first(calls: &AtomicUsize, count: usize) {
    let call = calls.fetch_add(1, Ordering::Relaxed);
    assert!(call >= count, "a fault of a hook");
}

fn done() -> ReplyFuture {
    Box::pin(async {
        PeerReply {
            body: Some(reply::Body::Done(true)),
        }
    })
}

/// Creates hooks that do nothing.
fn quiet_hooks() -> MeshHooks {
    MeshHooks {
        heartbeat: Box::new(HeartbeatBody::default),
        on_heartbeat: Box::new(|_, _| ()),
        on_call: Box::new(|_, _, _| ()),
        on_request: Box::new(|_, _| done()),
        on_peer_change: Box::new(|_| ()),
    }
}

fn question() -> PeerRequest {
    PeerRequest { body: None }
}

/// Sends requests to `a` until one is answered.
async fn request_until_answered(from: &PeerMesh) {
    let is_done = |reply: PeerReply| reply.body == Some(reply::Body::Done(true));
    let answered = async {
        while !from.request(&id("a"), question()).await.is_ok_and(is_done) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(ANSWER_LIMIT, answered)
        .await
        .expect("a request is answered");
}

/// Guards against a peer that is never dialled again after one of its frames made a hook panic.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_is_dialled_again_after_a_panic_on_its_link() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let hooks = MeshHooks {
        on_request: Box::new(move |_, _| {
            panic_at_first(&counted, 1);
            done()
        }),
        ..quiet_hooks()
    };
    let dialling = PeerMesh::start(config("a", 1), hooks).expect("a free port");
    let b = TestNode::start("b");
    dialling.dial(&[b.listed()]);
    b.wait_for_link("a").await;

    request_until_answered(&b.mesh).await;

    assert!(calls.load(Ordering::Relaxed) >= 2);
}

/// Guards against a link that refuses all requests after many replies have panicked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replies_that_panic_do_not_use_up_the_limit_of_a_link() {
    let mut limited = config("a", 1);
    limited.limits.max_requests = 2;
    limited.request_timeout = Duration::from_millis(50);
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let hooks = MeshHooks {
        on_request: Box::new(move |_, _| {
            let counted = Arc::clone(&counted);
            Box::pin(async move {
                panic_at_first(&counted, 2);
                done().await
            })
        }),
        ..quiet_hooks()
    };
    let panicking = PeerMesh::start(limited, hooks).expect("a free port");
    let b = TestNode::start("b");
    panicking.dial(&[b.listed()]);
    b.wait_for_link("a").await;

    request_until_answered(&b.mesh).await;

    assert_eq!(calls.load(Ordering::Relaxed), 3);
}

/// Guards against a node that stays silent on all links after its heartbeat could not be built once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_go_on_after_a_panic() {
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let hooks = MeshHooks {
        heartbeat: Box::new(move || {
            let call = counted.fetch_add(1, Ordering::Relaxed);
            assert!(call != 1, "a fault of a hook");
            HeartbeatBody::default()
        }),
        ..quiet_hooks()
    };

    let _mesh = PeerMesh::start(config("a", 1), hooks).expect("a free port");

    until("further heartbeats", || {
        (calls.load(Ordering::Relaxed) > 3).then_some(())
    })
    .await;
}
