//! Calls and requests between two nodes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use comfreychute::peer::{
    CallChunk, CallOpen, CallSink, ConfigPull, FrameCodec, PeerRequest, ask, chunk, reply,
};
use comfreychute::{ErrorKind, RunState};
use tokio::time::timeout;

use crate::fixture::{LIMIT, TestNode, answer_three, config, end, id, next, token, until};

/// Guards against a mesh that does not connect, forward calls or reply to requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_nodes_exchange_calls_and_requests() {
    let (a, b) = (TestNode::start("a"), TestNode::start("b"));
    a.dial(&[&b]);
    a.wait_for_link("b").await;

    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the link works");
    let mut tokens = 0;
    let mut is_ended = false;
    while let Some(chunk) = next(&mut events).await.expect("the answer is complete") {
        match chunk.body {
            Some(chunk::Body::Token(_)) => tokens += 1,
            Some(chunk::Body::End(end)) => is_ended = end.tokens == 3,
            _ => {}
        }
    }
    let request = PeerRequest {
        body: Some(ask::Body::Pull(ConfigPull { base: 7 })),
    };
    let answer = a.mesh.request(&id("b"), request).await.expect("a reply");

    assert_eq!(tokens, 3);
    assert!(is_ended);
    assert_eq!(answer.body, Some(reply::Body::Done(true)));
}

/// Guards against a slow consumer that delays the other calls on the same link, and against an
/// unbounded backlog for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_consumer_does_not_block_other_calls() {
    let sent = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&sent);
    let serve = move |open: CallOpen, mut sink: CallSink| {
        let count = Arc::clone(&count);
        async move {
            if open.route == "endless" {
                let text = "x".repeat(1000);
                while sink.send(token(0, &text)).await.is_ok() {
                    count.fetch_add(1, Ordering::Relaxed);
                }
            } else {
                answer_three(open, sink).await;
            }
        }
    };
    let a = TestNode::start("a");
    let b = TestNode::start_with(config("b", 1), serve);
    a.dial(&[&b]);
    a.wait_for_link("b").await;
    let endless = CallOpen {
        route: "endless".to_owned(),
        ..CallOpen::default()
    };
    let mut slow = a.mesh.open_call(&id("b"), endless).await.expect("a link");
    until("a full window", || {
        (sent.load(Ordering::Relaxed) > 200).then_some(())
    })
    .await;

    for _ in 0..200 {
        let mut events = a
            .mesh
            .open_call(&id("b"), CallOpen::default())
            .await
            .expect("a link");
        let mut parts = 0;
        while next(&mut events).await.expect("an answer").is_some() {
            parts += 1;
        }
        assert_eq!(parts, 4);
    }

    let backlog = sent.load(Ordering::Relaxed);
    assert!(
        backlog < 300,
        "{backlog} parts of 1,000 bytes sent ahead of the consumer"
    );
    // The call continues once its consumer does.
    for _ in 0..2000 {
        next(&mut slow)
            .await
            .expect("an answer")
            .expect("not ended");
    }
}

/// Guards against an answer that stalls on chunks larger than half of the window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_are_delivered() {
    let serve = |_: CallOpen, mut sink: CallSink| async move {
        let text = "x".repeat(1_000_000);
        for number in 0..20 {
            sink.send(token(number, "small")).await.expect("a caller");
            sink.send(token(number, &text)).await.expect("a caller");
        }
        sink.send(end(40)).await.expect("a caller");
    };
    let a = TestNode::start("a");
    let b = TestNode::start_with(config("b", 1), serve);
    a.dial(&[&b]);
    a.wait_for_link("b").await;

    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("a link");
    let mut parts = 0;
    while next(&mut events).await.expect("an answer").is_some() {
        parts += 1;
    }

    assert_eq!(parts, 41);
}

/// Guards against one oversized request that closes the link and ends all its calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_request_is_refused_without_loss_of_the_link() {
    let (a, b) = (TestNode::start("a"), TestNode::start("b"));
    a.dial(&[&b]);
    a.wait_for_link("b").await;
    let large = CallOpen {
        body: vec![0; FrameCodec::MAX_LEN],
        ..CallOpen::default()
    };

    let error = a
        .mesh
        .open_call(&id("b"), large)
        .await
        .expect_err("the request is too large");
    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("a link");

    assert_eq!(error.kind(), ErrorKind::BodyTooLarge);
    assert_eq!(error.run_state(), RunState::NotRun);
    assert!(next(&mut events).await.expect("an answer").is_some());
}

/// Guards against memory that grows with the calls of a peer: calls beyond the limit are refused as
/// not run, and closed calls free their slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_beyond_the_limit_are_refused() {
    let serve = |_: CallOpen, sink: CallSink| async move {
        sink.closed().await;
    };
    let mut small = config("b", 1);
    small.limits.max_calls = 4;
    let a = TestNode::start("a");
    let b = TestNode::start_with(small, serve);
    a.dial(&[&b]);
    a.wait_for_link("b").await;
    let mut calls = Vec::new();
    for _ in 0..5 {
        let call = a.mesh.open_call(&id("b"), CallOpen::default()).await;
        calls.push(call.expect("a link"));
    }

    let refusal = next(&mut calls[4])
        .await
        .expect("an answer")
        .expect("a part");
    drop(calls);

    let Some(chunk::Body::Refused(refusal)) = refusal.body else {
        panic!("expected a refusal, got {refusal:?}");
    };
    assert_eq!(refusal.to_error().kind(), ErrorKind::Overloaded);
    assert_eq!(refusal.to_error().run_state(), RunState::NotRun);
    let mut own = config("c", 1);
    own.limits.max_calls = 1;
    let c = TestNode::start_with(own, answer_three);
    c.dial(&[&b]);
    c.wait_for_link("b").await;
    let first = c.mesh.open_call(&id("b"), CallOpen::default()).await;
    let second = c.mesh.open_call(&id("b"), CallOpen::default()).await;
    assert_eq!(
        second.expect_err("one call is open").kind(),
        ErrorKind::Overloaded
    );
    drop(first);
    c.mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the first call is closed");
}

/// Guards against a peer without a persistent link that cannot be called at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn listed_peer_without_a_persistent_link_is_dialled_on_demand() {
    let mut config_a = config("a", 1);
    config_a.max_persistent_links = Some(1);
    let a = TestNode::start_with(config_a, answer_three);
    let (b, c) = (TestNode::start("b"), TestNode::start("c"));
    a.dial(&[&b, &c]);
    let persistent = a.mesh.persistent_peers();
    assert_eq!(persistent.len(), 1);

    for peer in ["b", "c"] {
        let call = call_until_linked(&a, peer).await;
        assert!(call.is_some());
    }
    assert_eq!(a.mesh.persistent_peers(), persistent);
}

/// Calls a peer, and retries while the persistent link is being opened.
async fn call_until_linked(node: &TestNode, peer: &str) -> Option<CallChunk> {
    let call = async {
        loop {
            if let Ok(mut events) = node.mesh.open_call(&id(peer), CallOpen::default()).await {
                return next(&mut events).await.expect("an answer");
            }
            tokio::task::yield_now().await;
        }
    };
    timeout(LIMIT, call).await.expect("a link in time")
}
