use tokio::sync::mpsc;

use super::node_parts::NodeParts;
use crate::error::{Error, ErrorKind};
use crate::owner::OwnerCall;
use crate::peer::{CallChunk, CallOpen, CallSink};

/// Parts of an answer that wait for the link before the owner stops reading.
const ANSWER_QUEUE: usize = 32;

/// Hands a call of a peer to its owner and sends the answer back.
pub(super) async fn forward_call(parts: &NodeParts, open: CallOpen, mut sink: CallSink) {
    let (sender, mut receiver) = mpsc::channel(ANSWER_QUEUE);
    let now = parts.timer.clock().now();
    let starting = || Error::new(ErrorKind::Unavailable, "the instance is starting");
    let submitted = parts
        .registry()
        .ok_or_else(starting)
        .and_then(|registry| Ok((registry, OwnerCall::from_open(open, sender, now)?)));
    match submitted {
        Ok((registry, call)) => registry.submit(call),
        Err(error) => {
            // The peer has gone if the link is lost; nobody is left to tell.
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
