use tokio::sync::mpsc;

use crate::owner::{OwnerCall, OwnerRegistry};
use crate::peer::{CallChunk, CallOpen, CallSink};
use crate::time::ClockSource;

/// Parts of an answer that wait for the link before the owner stops reading.
const ANSWER_QUEUE: usize = 32;

/// Hands a call of a peer to its owner and sends the answer back.
pub(super) async fn forward_call(
    registry: &OwnerRegistry,
    clock: &ClockSource,
    open: CallOpen,
    mut sink: CallSink,
) {
    let (sender, mut receiver) = mpsc::channel(ANSWER_QUEUE);
    match OwnerCall::from_open(open, sender, clock.now()) {
        Ok(call) => registry.submit(call),
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
