use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use prost::Message;
use tokio::io::AsyncRead;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::FramedRead;

use super::call_events::is_last;
use super::call_window::{CALL_WINDOW_BYTES, cost};
use super::frame_codec::shrink_empty;
use super::link_core::LinkCore;
use super::link_streams::{CallEvent, ServedSlot};
use super::mesh_core::MeshCore;
use super::reply_slot::ReplySlot;
use super::{
    CallChunk, CallOpen, CallSink, FrameCodec, PeerFrame, PeerReply, PeerRequest, RefusalBody,
    chunk, frame, reply,
};
use crate::error::{Error, ErrorKind, Result};

/// Reads the frames of one link and dispatches them to calls, requests and hooks without waiting
/// for any of them.
pub(super) struct LinkReader<R> {
    pub(super) core: Arc<LinkCore>,
    pub(super) mesh: Arc<MeshCore>,
    pub(super) frames: FramedRead<R, FrameCodec>,
    /// Frame that was received before the link was added to the mesh.
    pub(super) first: Option<PeerFrame>,
    pub(super) link_timeout: Duration,
}

impl<R: AsyncRead + Unpin> LinkReader<R> {
    /// Reads until the link closes or fails.
    pub(super) async fn run(mut self) {
        let core = Arc::clone(&self.core);
        let read = core.closed.run_until_cancelled(self.read_all()).await;
        if let Some(Err(error)) = read {
            core.close(error.detail());
        }
    }

    async fn read_all(&mut self) -> Result<()> {
        if let Some(first) = self.first.take() {
            self.handle_frame(first)?;
        }
        loop {
            let Ok(next) = timeout(self.link_timeout, self.frames.next()).await else {
                if self.core.is_overdue(self.link_timeout) {
                    return Err(silence_error(self.link_timeout));
                }
                continue;
            };
            let frame = next
                .transpose()?
                .ok_or_else(|| Error::new(ErrorKind::Peer, "the peer closed the connection"))?;
            if self.core.is_closed() {
                // Another task closed the link, for example because a newer one replaced it.
                return Ok(());
            }
            self.core.record_received();
            shrink_empty(self.frames.read_buffer_mut());
            self.handle_frame(frame)?;
        }
    }

    fn handle_frame(&self, frame: PeerFrame) -> Result<()> {
        let stream = frame.stream;
        if !matches!(frame.body, Some(frame::Body::Heartbeat(_))) {
            self.core.record_activity();
        }
        match frame.body {
            Some(frame::Body::Heartbeat(body)) => self.mesh.handle_heartbeat(&self.core, body),
            Some(frame::Body::Open(open)) => self.handle_open(stream, open)?,
            Some(frame::Body::Chunk(chunk)) => self.handle_chunk(stream, chunk)?,
            Some(frame::Body::Cancel(reason)) => self.handle_cancel(stream, reason),
            Some(frame::Body::Credit(credit)) => self.handle_credit(stream, credit)?,
            Some(frame::Body::Ask(request)) => self.handle_request(stream, request)?,
            Some(frame::Body::Reply(reply)) => {
                if let Some(sender) = self.core.streams().requests.remove(&stream) {
                    // The sender of the request may have stopped waiting.
                    let _unread = sender.send(reply);
                }
            }
            Some(frame::Body::Hello(_)) => return Err(violation("a second hello was received")),
            // A kind of frame that a later protocol version has added.
            None => {}
        }
        Ok(())
    }

    fn handle_open(&self, stream: u64, open: CallOpen) -> Result<()> {
        let (core, limits) = (&self.core, self.core.limits);
        self.check_stream(stream)?;
        let open_len = open.encoded_len();
        let (cancelled, window) = (
            core.closed.child_token(),
            Arc::new(Semaphore::new(CALL_WINDOW_BYTES as usize)),
        );
        let is_full = {
            let mut streams = core.streams();
            if streams.served.contains_key(&stream) {
                return Err(violation("a call was opened twice"));
            }
            // Sinks of cancelled calls exist until their work has stopped.
            let is_full = streams.served.len() >= limits.max_calls
                || streams.sinks >= 2 * limits.max_calls
                || streams.open_bytes + open_len > limits.open_bytes;
            if !is_full {
                streams.sinks += 1;
                streams.open_bytes += open_len;
                let slot = ServedSlot {
                    cancelled: cancelled.clone(),
                    window: Arc::clone(&window),
                    used: 0,
                };
                streams.served.insert(stream, slot);
            }
            is_full
        };
        if is_full {
            let refusal = RefusalBody::from_error(&Error::new(
                ErrorKind::Overloaded,
                "too many calls or request bytes are open on the link",
            ));
            let chunk = CallChunk {
                body: Some(chunk::Body::Refused(refusal)),
            };
            core.queue_control(stream, frame::Body::Chunk(chunk));
            return Ok(());
        }
        let sink = CallSink {
            link: Arc::clone(core),
            stream,
            cancelled,
            window,
            open_len,
            is_ended: false,
        };
        (self.mesh.hooks.on_call)(core.identity.instance.clone(), open, sink);
        Ok(())
    }

    fn handle_chunk(&self, stream: u64, chunk: CallChunk) -> Result<()> {
        let mut streams = self.core.streams();
        // Chunks of a call that was cancelled in the meantime are dropped.
        let Some(slot) = streams.calls.get_mut(&stream) else {
            return Ok(());
        };
        let is_last = is_last(&chunk);
        slot.used = slot.used.saturating_add(cost(&chunk));
        let is_over = slot.used > CALL_WINDOW_BYTES && !is_last;
        let sent = slot.sender.try_send(CallEvent::Chunk(chunk));
        if is_over || matches!(sent, Err(mpsc::error::TrySendError::Full(_))) {
            return Err(violation("an answer exceeded its window"));
        }
        if is_last {
            streams.calls.remove(&stream);
        }
        Ok(())
    }

    fn handle_cancel(&self, stream: u64, reason: String) {
        let mut streams = self.core.streams();
        if let Some(slot) = streams.served.remove(&stream) {
            slot.cancelled.cancel();
        } else if let Some(slot) = streams.calls.remove(&stream) {
            // If the channel is full, dropping the sender ends the call as well.
            let _full = slot.sender.try_send(CallEvent::Dropped(reason));
        }
    }

    fn handle_credit(&self, stream: u64, credit: u32) -> Result<()> {
        if let Some(slot) = self.core.streams().served.get_mut(&stream) {
            slot.used = slot
                .used
                .checked_sub(credit)
                .ok_or_else(|| violation("more credit was returned than used"))?;
            slot.window.add_permits(credit as usize);
        }
        Ok(())
    }

    fn handle_request(&self, stream: u64, request: PeerRequest) -> Result<()> {
        self.check_stream(stream)?;
        let core = Arc::clone(&self.core);
        let Some(slot) = ReplySlot::take(&core) else {
            let refusal = RefusalBody::from_error(&Error::new(
                ErrorKind::Overloaded,
                "too many questions are in progress on the link",
            ));
            let body = Some(reply::Body::Refused(refusal));
            core.queue_control(stream, frame::Body::Reply(PeerReply { body }));
            return Ok(());
        };
        let reply = (self.mesh.hooks.on_request)(core.identity.instance.clone(), request);
        tokio::spawn(async move {
            if let Some(reply) = core.closed.run_until_cancelled(reply).await {
                // A failure means that the link is lost, which the peer detects itself.
                let _lost = core
                    .queue_data(stream, frame::Body::Reply(reply), None)
                    .await;
            }
            drop(slot);
        });
        Ok(())
    }

    fn check_stream(&self, stream: u64) -> Result<()> {
        if self.core.is_peer_stream(stream) {
            Ok(())
        } else {
            Err(violation("a stream number belongs to the other side"))
        }
    }
}

fn violation(detail: &str) -> Error {
    Error::new(ErrorKind::Protocol, detail)
}

/// Returns the error of a link on which the peer has been silent for too long.
pub(super) fn silence_error(limit: Duration) -> Error {
    let detail = format!("nothing was received for {} ms", limit.as_millis());
    Error::new(ErrorKind::Peer, detail)
}
