use tokio::sync::mpsc;

use super::node_parts::NodeParts;
use crate::error::{Error, ErrorKind};
use crate::owner::OwnerCall;
use crate::peer::{CallChunk, CallOpen, CallSink};

/// Maximum number of answer chunks queued for the link; while the queue is full, backpressure keeps
/// the owner from reading more of the answer.
const ANSWER_QUEUE_CHUNKS: usize = 32;

/// Submits a call from a peer to the local owner of the upstream and streams the answer back.
pub(super) async fn forward_call(parts: &NodeParts, open: CallOpen, mut sink: CallSink) {
    let (sender, mut receiver) = mpsc::channel(ANSWER_QUEUE_CHUNKS);
    let now = parts.timer.clock().now();
    let starting = || Error::new(ErrorKind::Unavailable, "the instance is starting");
    let submitted = parts
        .registry()
        .ok_or_else(starting)
        .and_then(|registry| Ok((registry, OwnerCall::from_open(open, sender, now)?)));
    match submitted {
        Ok((registry, call)) => registry.submit(call),
        Err(error) => {
            // The send fails only if the link is closed; the error cannot be delivered then.
            drop(sink.send(CallChunk::from_error(&error)).await);
            return;
        }
    }
    loop {
        let chunk = tokio::select! {
            chunk = receiver.recv() => chunk,
            () = sink.closed() => return,
        };
        let Some(chunk) = chunk else { return };
        if sink.send(chunk).await.is_err() {
            return;
        }
    }
}
