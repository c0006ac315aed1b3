//! Protocol violations on a link, and the limits of a link and of the mesh.

use comfreychute::peer::{
    CallOpen, CallSink, HeartbeatBody, PROTOCOL_VERSION, PeerChange, PeerFrame, frame,
};
use comfreychute::{ErrorKind, RunState};
use futures_util::SinkExt;
use tokio::time::timeout;

use crate::fixture::{LIMIT, TestNode, answer_three, config, id, next, token, until};
use crate::raw_peer::{connect_raw_peer, hello, next_hello, open, raw_link, wait_closed};

/// Guards against a peer that violates the rules of streams and stays connected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn protocol_violations_close_the_link() {
    let credit = PeerFrame {
        stream: 1,
        body: Some(frame::Body::Credit(u32::MAX)),
    };
    let cases = [
        vec![open(2)],
        vec![open(0)],
        vec![open(1), open(1)],
        vec![open(1), credit],
        vec![hello(PROTOCOL_VERSION, Vec::new())],
    ];
    for frames in cases {
        let node = TestNode::start_with(config("b", 1), |_, sink: CallSink| async move {
            sink.closed().await;
        });
        let mut link = raw_link(&node).await;
        link.send(hello(PROTOCOL_VERSION, Vec::new()))
            .await
            .expect("sent");
        next_hello(&mut link).await;
        link.send(hello(PROTOCOL_VERSION, Vec::new()))
            .await
            .expect("sent");

        for frame in frames.clone() {
            link.send(frame).await.expect("sent");
        }

        wait_closed(&mut link).await;
        let fault = until("a fault", || node.mesh.last_failure(&id("raw"))).await;
        assert!(
            !fault.contains("nothing was received"),
            "{frames:?}: {fault}"
        );
    }
}

/// Guards against unbounded memory for an answer whose sender ignores the window.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_beyond_its_window_closes_the_link() {
    let node = TestNode::start("a");
    let mut link = connect_raw_peer(&node).await;
    let mut events = node
        .mesh
        .open_call(&id("raw"), CallOpen::default())
        .await
        .expect("a link");
    let text = "x".repeat(10_000);
    let chunk = PeerFrame {
        stream: 2,
        body: Some(frame::Body::Chunk(token(0, &text))),
    };

    for _ in 0..40 {
        // The node closes the connection during the loop.
        if link.send(chunk.clone()).await.is_err() {
            break;
        }
    }

    wait_closed(&mut link).await;
    let mut parts = 0;
    let error = loop {
        match next(&mut events).await {
            Ok(part) => parts += usize::from(part.is_some()),
            Err(error) => break error,
        }
    };
    assert!(error.detail().contains("exceeded its window"), "{error}");
    assert_eq!(error.run_state(), RunState::Unknown);
    assert!(parts < 30, "{parts} parts of 10,000 bytes were kept");
}

/// Guards against old state that overwrites new state because heartbeats on two links of the same
/// peer arrive out of order.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heartbeats_out_of_order_are_dropped() {
    let node = TestNode::start("a");
    let (mut first, mut second) = (connect_raw_peer(&node).await, raw_link(&node).await);
    let heartbeat = |sequence, revision| PeerFrame {
        stream: 0,
        body: Some(frame::Body::Heartbeat(HeartbeatBody {
            sequence,
            revision,
            ..HeartbeatBody::default()
        })),
    };
    for (sequence, revision) in [(5, 50), (4, 40), (0, 1), (6, 60)] {
        first
            .send(heartbeat(sequence, revision))
            .await
            .expect("sent");
    }
    let revisions = || {
        let seen = node.seen.lock().expect("not poisoned");
        let heartbeats = seen.heartbeats.get(&id("raw")).into_iter().flatten();
        heartbeats.map(|body| body.revision).collect::<Vec<_>>()
    };

    let seen = until("the last heartbeat", || {
        Some(revisions()).filter(|seen| seen.contains(&60))
    })
    .await;

    assert_eq!(seen, [50, 60]);
    // The sequence numbers of a new process start over.
    let Some(frame::Body::Hello(mut successor)) = hello(PROTOCOL_VERSION, Vec::new()).body else {
        panic!("a hello");
    };
    successor.incarnation = 2;
    let successor = PeerFrame {
        stream: 0,
        body: Some(frame::Body::Hello(successor)),
    };
    second.send(successor.clone()).await.expect("sent");
    next_hello(&mut second).await;
    second.send(successor).await.expect("sent");
    second.send(heartbeat(1, 70)).await.expect("sent");
    until("the successor's heartbeat", || {
        revisions().contains(&70).then_some(())
    })
    .await;
    wait_closed(&mut first).await;
}

/// Guards against unauthenticated peers that exhaust the memory with names; only possible without a
/// secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peers_beyond_the_limit_are_refused() {
    let mut small = config("a", 1);
    small.max_peers = 1;
    let node = TestNode::start_with(small, answer_three);
    let _first = connect_raw_peer(&node).await;
    let other = TestNode::start("b");

    other.dial(&[&node]);

    until("a lost link", || {
        other
            .mesh
            .last_failure(&id("a"))
            .filter(|fault| fault.contains("closed the connection after the handshake"))
    })
    .await;
    let names: Vec<_> = node
        .mesh
        .live_peers()
        .into_iter()
        .map(|peer| peer.id)
        .collect();
    assert_eq!(names, [id("raw")]);
}

/// Guards against requests reported as possibly run although they were still queued when the link
/// was lost: the peer reads nothing, so that only the first ones are written.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_calls_did_not_run() {
    let node = TestNode::start("a");
    let link = connect_raw_peer(&node).await;
    let open = CallOpen {
        body: vec![0; 2_500_000],
        ..CallOpen::default()
    };
    let calls = (0..10).map(|_| {
        let (mesh, open) = (node.mesh.clone(), open.clone());
        tokio::spawn(async move {
            match mesh.open_call(&id("raw"), open).await {
                Ok(mut events) => next(&mut events).await.expect_err("the link is lost"),
                Err(error) => error,
            }
        })
    });
    let calls: Vec<_> = calls.collect();

    let mut states = Vec::new();
    for call in calls {
        let error = timeout(LIMIT, call)
            .await
            .expect("in time")
            .expect("no panic");
        assert_eq!(error.kind(), ErrorKind::Peer);
        states.push(error.run_state());
    }

    drop(link);
    let not_run = states
        .iter()
        .filter(|state| **state == RunState::NotRun)
        .count();
    assert!(states.contains(&RunState::Unknown), "{states:?}");
    // Socket buffers hold one or two of the requests.
    assert!(not_run >= 5, "{states:?}");
}

/// Guards against a process that was paused and replaced, and displaces its successor when it
/// resumes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_process_cannot_displace_its_successor() {
    let node = TestNode::start("a");
    let peer = TestNode::start_with(config("raw", 2), answer_three);
    node.dial(&[&peer]);
    node.wait_for_link("raw").await;

    let mut stale = raw_link(&node).await;
    stale
        .send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    next_hello(&mut stale).await;
    stale
        .send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");

    wait_closed(&mut stale).await;
    let changes = node.changes();
    assert!(
        matches!(changes.as_slice(), [PeerChange::Joined(peer)] if peer.incarnation == 2),
        "{changes:?}"
    );
}
