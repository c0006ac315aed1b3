//! A peer that sends and receives single frames.

use comfreychute::peer::{CallOpen, FrameCodec, PROTOCOL_VERSION, PeerFrame, PeerHello, frame};
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::fixture::{LIMIT, TestNode};

pub type RawLink = Framed<TcpStream, FrameCodec>;

pub async fn raw_link(node: &TestNode) -> RawLink {
    let stream = TcpStream::connect(node.mesh.address())
        .await
        .expect("the node listens");
    Framed::new(stream, FrameCodec::new(FrameCodec::MAX_LEN))
}

pub fn hello(protocol: u32, proof: Vec<u8>) -> PeerFrame {
    PeerFrame {
        stream: 0,
        body: Some(frame::Body::Hello(PeerHello {
            protocol,
            instance: "raw".to_owned(),
            incarnation: 1,
            domain: "zone-1".to_owned(),
            nonce: vec![7; 16],
            proof,
        })),
    }
}

pub fn open(stream: u64) -> PeerFrame {
    PeerFrame {
        stream,
        body: Some(frame::Body::Open(CallOpen::default())),
    }
}

pub async fn next_hello(link: &mut RawLink) -> PeerHello {
    let frame = timeout(LIMIT, link.next()).await.expect("in time");
    match frame.expect("a frame").expect("readable").body {
        Some(frame::Body::Hello(hello)) => hello,
        other => panic!("expected a hello, got {other:?}"),
    }
}

/// Waits until the node has closed the connection.
pub async fn wait_closed(link: &mut RawLink) {
    let end = async { while let Some(Ok(_)) = link.next().await {} };
    timeout(LIMIT, end)
        .await
        .expect("the node closes the connection");
}

/// Opens a link to the node as peer "raw", without a secret.
pub async fn connect_raw_peer(node: &TestNode) -> RawLink {
    let mut link = raw_link(node).await;
    link.send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    next_hello(&mut link).await;
    link.send(hello(PROTOCOL_VERSION, Vec::new()))
        .await
        .expect("sent");
    node.wait_for_link("raw").await;
    link
}
