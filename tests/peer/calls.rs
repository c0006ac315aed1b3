//! Calls and questions between two nodes.

use comfreychute::peer::{CallOpen, PeerAsk, ask, chunk, reply};

use crate::fixture::{TestNode, id};

/// Guards against a mesh that does not connect, forward calls or reply to questions at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_nodes_exchange_calls_and_questions() {
    let (a, b) = (TestNode::start("a"), TestNode::start("b"));
    a.dial(&[&b]);
    a.linked("b").await;

    let mut events = a
        .mesh
        .open_call(&id("b"), CallOpen::default())
        .await
        .expect("the link works");
    let mut tokens = 0;
    let mut is_ended = false;
    while let Some(chunk) = events.next().await.expect("the answer is complete") {
        match chunk.body {
            Some(chunk::Body::Token(_)) => tokens += 1,
            Some(chunk::Body::End(end)) => is_ended = end.tokens == 3,
            _ => {}
        }
    }
    let question = PeerAsk {
        body: Some(ask::Body::Pull(comfreychute::peer::ConfigPull { base: 7 })),
    };
    let answer = a.mesh.ask(&id("b"), question).await.expect("a reply");

    assert_eq!(tokens, 3);
    assert!(is_ended);
    assert_eq!(answer.body, Some(reply::Body::Done(true)));
}
