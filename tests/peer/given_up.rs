//! Frames of links that one side has given up.

use std::time::Duration;

use comfreychute::peer::{
    AdapterRequest, FrameCodec, HeartbeatBody, MeshConfig, PROTOCOL_VERSION, PeerFrame,
    PeerRequest, ask, frame,
};
use futures_util::future::join_all;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use crate::fixture::{LIMIT, TestNode, answer_three, config, id, listed, until};
use crate::raw_peer::{RawLink, hello, next_hello};

/// Receive buffer of a peer, in bytes, so small that most of a frame stays in the sender's kernel.
const TINY_BUFFER: u32 = 2048;

/// Length of the name in a request, in bytes; several times what the peer's kernel accepts.
const NAME_LEN: usize = 30_000;

/// Time in which a request is written, or a link is closed.
const WRITE_TIME: Duration = Duration::from_millis(300);

/// Time in which the kernel would deliver the rest after an orderly close.
const DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Interval of the heartbeats of a peer that does not read.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which a link with an unread request ends, a multiple of the link timeout.
const UNREAD_LIMIT: Duration = Duration::from_secs(10);

/// Number and length in bytes of requests that fill the kernel's buffers and the queue of a link.
const FLOOD_COUNT: usize = 40;
const FLOOD_LEN: usize = 180_000;

/// Time limit of the requests of a flood, shorter than the link timeout.
const FLOOD_LIMIT: Duration = Duration::from_millis(500);

fn small_listener() -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(TINY_BUFFER).expect("set");
    socket
        .bind("127.0.0.1:0".parse().expect("an address"))
        .expect("a free port");
    socket.listen(4).expect("listens")
}

/// Accepts one link as peer "raw", without a secret.
async fn accept_link(listener: &TcpListener) -> RawLink {
    let (stream, _) = timeout(LIMIT, listener.accept())
        .await
        .expect("in time")
        .expect("a connection");
    let mut link = Framed::new(stream, FrameCodec::new(FrameCodec::MAX_LEN));
    next_hello(&mut link).await;
    link.send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    next_hello(&mut link).await;
    link.send(heartbeat()).await.expect("sent");
    link
}

fn heartbeat() -> PeerFrame {
    PeerFrame {
        stream: 0,
        body: Some(frame::Body::Heartbeat(HeartbeatBody::default())),
    }
}

fn long_request(len: usize) -> PeerRequest {
    PeerRequest {
        body: Some(ask::Body::Want(AdapterRequest {
            upstream: "u".repeat(len),
            ..AdapterRequest::default()
        })),
    }
}

/// Reads a link to its end; returns the number of complete requests that arrived.
async fn count_requests(link: &mut RawLink) -> usize {
    let mut count = 0;
    let read = async {
        while let Some(Ok(frame)) = link.next().await {
            count += usize::from(matches!(frame.body, Some(frame::Body::Ask(_))));
        }
    };
    timeout(LIMIT, read).await.expect("the link ends");
    count
}

/// Starts a node with a link to a peer that does not read.
async fn start_linked(config: MeshConfig) -> (TestNode, RawLink) {
    let node = TestNode::start_with(config, answer_three);
    let listener = small_listener();
    let address = listener.local_addr().expect("bound");
    node.mesh.dial(&[listed("raw", address)]);
    let link = accept_link(&listener).await;
    node.wait_for_link("raw").await;
    (node, link)
}

/// Starts a node that has sent a request to a peer that does not read.
async fn start_with_unread_request() -> (TestNode, RawLink) {
    let (node, link) = start_linked(config("a", 1)).await;
    let mesh = node.mesh.clone();
    tokio::spawn(async move { mesh.request(&id("raw"), long_request(NAME_LEN)).await });
    sleep(WRITE_TIME).await;
    (node, link)
}

/// Guards against a request that the sender has given up with its silent link, and that is delivered
/// seconds later.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_of_a_silent_link_is_not_delivered_after_the_link_timeout() {
    let (node, mut link) = start_with_unread_request().await;

    until("the link is given up", || {
        node.mesh.last_failure(&id("raw"))
    })
    .await;
    sleep(DELIVERY_TIME).await;

    assert_eq!(count_requests(&mut link).await, 0);
}

/// Guards against a request that is delivered although its sender has given it up, on a link whose
/// other direction still works.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_request_is_not_delivered_while_heartbeats_arrive() {
    let (node, mut link) = start_with_unread_request().await;
    let beats = async {
        while link.send(heartbeat()).await.is_ok() {
            sleep(HEARTBEAT_INTERVAL).await;
        }
    };

    let ended = timeout(UNREAD_LIMIT, beats).await;
    drop(node);

    assert!(ended.is_ok(), "the link outlived its unread request");
    assert_eq!(count_requests(&mut link).await, 0);
}

/// Guards against last frames that a planned stop discards, because it resets the links.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_before_a_planned_stop_is_delivered() {
    let (node, mut link) = start_with_unread_request().await;

    node.mesh.stop();
    sleep(WRITE_TIME).await;

    assert_eq!(count_requests(&mut link).await, 1);
}

/// Guards against requests that are written to a slow link although their senders have given them up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn queued_requests_are_not_written_after_their_time_limit() {
    let mut limited = config("a", 1);
    limited.request_timeout = FLOOD_LIMIT;
    let (node, mut link) = start_linked(limited).await;
    let peer = id("raw");
    let flood = (0..FLOOD_COUNT).map(|_| node.mesh.request(&peer, long_request(FLOOD_LEN)));

    let replies = join_all(flood).await;
    let stop = async {
        sleep(DELIVERY_TIME).await;
        node.mesh.stop();
    };
    let (delivered, ()) = tokio::join!(count_requests(&mut link), stop);

    assert!(replies.iter().all(Result::is_err));
    assert!(delivered < FLOOD_COUNT / 2, "{delivered} were delivered");
}
