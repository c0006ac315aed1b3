//! Frames of links that a newer link of the same process has replaced.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::time::Duration;

use comfreychute::peer::{CallOpen, CallSink};
use futures_util::{SinkExt, StreamExt};
use tokio::task::block_in_place;
use tokio::time::sleep;

use crate::fixture::{LIMIT, TestNode, config, until};
use crate::raw_peer::{connect_raw_peer, open};

/// Time in which a frame that was received is handled.
const HANDLING_TIME: Duration = Duration::from_millis(500);

/// Guards against calls that are run although they were read from a link that a newer one of the same
/// process had replaced.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frames_of_a_replaced_link_are_not_handled() {
    let (release, wait) = mpsc::channel::<()>();
    let wait = Arc::new(Mutex::new(wait));
    let opened = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&opened);
    let node = TestNode::start_with(config("a", 1), move |_: CallOpen, sink: CallSink| {
        count.fetch_add(1, Ordering::SeqCst);
        // Holds the reader of the link between two frames.
        let wait = wait.lock().expect("not poisoned");
        let _released = block_in_place(|| wait.recv_timeout(LIMIT));
        async move { sink.closed().await }
    });
    let mut first = connect_raw_peer(&node).await;
    first.feed(open(1)).await.expect("queued");
    first.feed(open(3)).await.expect("queued");
    first.flush().await.expect("sent");
    let opened = || opened.load(Ordering::SeqCst);
    until("the first call", || (opened() == 1).then_some(())).await;

    let mut second = connect_raw_peer(&node).await;
    let failed = second.next().await;
    drop(release);
    sleep(HANDLING_TIME).await;

    assert!(matches!(failed, Some(Ok(_))), "the newer link works");
    assert_eq!(opened(), 1, "calls of the replaced link were run");
}
