//! The handshake of a link: versions, the shared secret and malicious input.

use comfreychute::peer::{FrameCodec, MeshConfig, PROTOCOL_VERSION, SharedSecret};
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::fixture::{LIMIT, TestNode, answer_three, config, id, listed, until};
use crate::raw_peer::{hello, next_hello, open, raw_link, wait_closed};

fn with_secret(name: &str, secret: Option<&str>) -> MeshConfig {
    let mut config = config(name, 1);
    config.secret = secret.map(|text| SharedSecret::from_bytes(text.as_bytes()));
    config
}

async fn assert_refused(ours: Option<&str>, theirs: Option<&str>, expected: &str) {
    let a = TestNode::start_with(with_secret("a", ours), answer_three);
    let b = TestNode::start_with(with_secret("b", theirs), answer_three);

    a.dial(&[&b]);

    let fault = until("a fault", || a.mesh.last_failure(&id("b"))).await;
    assert!(fault.contains(expected), "{fault}");
    assert!(a.changes().is_empty() && b.changes().is_empty());
}

/// Guards against a link to a peer of another fleet or without the secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wrong_or_missing_secret_is_refused() {
    assert_refused(Some("one"), Some("two"), "has another shared secret").await;
    assert_refused(Some("one"), None, "gives no proof of the shared secret").await;
    assert_refused(None, Some("two"), "this instance has none").await;
}

/// Guards against a check that refuses valid peers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn same_secret_is_accepted() {
    let a = TestNode::start_with(with_secret("a", Some("one")), answer_three);
    let b = TestNode::start_with(with_secret("b", Some("one")), answer_three);

    a.dial(&[&b]);

    a.wait_for_link("b").await;
    b.wait_for_link("a").await;
}

/// Guards against a secret that is written to logs.
#[test]
fn secret_is_not_shown() {
    let config = with_secret("a", Some("one-secret"));

    let shown = format!("{config:?}");

    assert!(
        shown.contains("redacted") && !shown.contains("one-secret"),
        "{shown}"
    );
}

/// Guards against calls of an unauthenticated peer that run before it has proved the secret.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_call_runs_before_authentication() {
    let node = TestNode::start_with(with_secret("b", Some("one")), answer_three);
    for second in [
        open(1),
        hello(PROTOCOL_VERSION, vec![0; 32]),
        hello(PROTOCOL_VERSION, Vec::new()),
    ] {
        let mut link = raw_link(&node).await;
        link.send(hello(PROTOCOL_VERSION, Vec::new()))
            .await
            .expect("sent");
        let theirs = next_hello(&mut link).await;
        assert_eq!(theirs.proof.len(), 32);

        link.send(second).await.expect("sent");
        // The node may have closed the connection already.
        let _closed = link.send(open(1)).await;

        wait_closed(&mut link).await;
    }
    assert!(node.seen.lock().expect("not poisoned").opened.is_empty());
    assert!(node.changes().is_empty());
}

/// Guards against replayed proofs: a peer without the secret sends the node's own proof back to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn proof_of_the_other_role_is_refused() {
    let node = TestNode::start_with(with_secret("b", Some("one")), answer_three);
    // The node's own proof is a digest with the same secret, but for the other role.
    let mut link = raw_link(&node).await;
    link.send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    let theirs = next_hello(&mut link).await;

    link.send(hello(PROTOCOL_VERSION, theirs.proof))
        .await
        .expect("sent");

    wait_closed(&mut link).await;
    assert!(node.changes().is_empty());
}

/// Guards against links between builds with different protocol versions, and against an error that
/// does not report both versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_protocol_version_is_refused_with_both_versions() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut link = Framed::new(stream, FrameCodec::new(FrameCodec::MAX_LEN));
            let _first = link.next().await;
            let _sent = link.send(hello(99, Vec::new())).await;
        }
    });
    let node = TestNode::start("a");
    node.mesh.dial(&[listed("raw", address)]);

    let fault = until("a fault", || node.mesh.last_failure(&id("raw"))).await;
    let mut link = raw_link(&node).await;
    link.send(hello(99, Vec::new())).await.expect("sent");
    let theirs = next_hello(&mut link).await;

    assert!(fault.contains("version 99"), "{fault}");
    assert!(
        fault.contains(&format!("version {PROTOCOL_VERSION}")),
        "{fault}"
    );
    assert_eq!(theirs.protocol, PROTOCOL_VERSION);
    wait_closed(&mut link).await;
}

/// Guards against large allocations and connections that stay open after an invalid length field,
/// before and after the handshake.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn oversized_frame_closes_the_connection() {
    // The time limit of the handshake exceeds the wait of the test, so that only the length ends it.
    let mut config_b = config("b", 1);
    config_b.peer_timeout = 4 * LIMIT;
    let node = TestNode::start_with(config_b, answer_three);
    for len in [2_000_u32, u32::MAX] {
        let mut stream = TcpStream::connect(node.mesh.address())
            .await
            .expect("the node listens");
        stream.write_all(&len.to_be_bytes()).await.expect("sent");
        let read = timeout(LIMIT, stream.read_to_end(&mut Vec::new())).await;
        // Closed or reset, depending on unread bytes.
        let _end = read.expect("the node closes the connection");
    }
    let mut link = raw_link(&node).await;
    link.send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    next_hello(&mut link).await;
    link.send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    node.wait_for_link("raw").await;

    let header = (4 * 1024 * 1024_u32 + 1).to_be_bytes();
    link.get_mut().write_all(&header).await.expect("sent");

    wait_closed(&mut link).await;
    let fault = until("a fault", || node.mesh.last_failure(&id("raw"))).await;
    assert!(fault.contains("exceeds the limit"), "{fault}");
}
