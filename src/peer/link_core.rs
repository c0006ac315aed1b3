use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use prost::Message;
use tokio::runtime::Handle;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use super::call_state::CallState;
use super::link_activity::LinkActivity;
use super::link_streams::{CallSlot, LinkStreams};
use super::outgoing_frame::OutgoingFrame;
use super::{FrameCodec, LinkLimits, PeerFrame, PeerIdentity, PeerReply, frame};
use crate::error::{Error, ErrorKind, Result};

/// State shared by the tasks, calls and sinks of one link.
#[derive(Debug)]
pub(super) struct LinkCore {
    pub(super) identity: PeerIdentity,
    /// Whether this instance opened the connection.
    pub(super) is_dialled: bool,
    pub(super) limits: LinkLimits,
    pub(super) closed: CancellationToken,
    pub(super) runtime: Handle,
    pub(super) call_permits: Arc<Semaphore>,
    pub(super) request_permits: Arc<Semaphore>,
    streams: Mutex<LinkStreams>,
    next_stream: AtomicU64,
    control: mpsc::Sender<OutgoingFrame>,
    data: mpsc::Sender<OutgoingFrame>,
    queued_bytes: Arc<Semaphore>,
    start: Instant,
    last_received_ms: AtomicU64,
    activity: Mutex<LinkActivity>,
    close_reason: OnceLock<String>,
}

/// The receiving ends of the two send queues of a link.
#[derive(Debug)]
pub(super) struct LinkQueues {
    /// Small frames with priority: cancellations, credits and refusals.
    pub(super) control: mpsc::Receiver<OutgoingFrame>,
    /// All other frames.
    pub(super) data: mpsc::Receiver<OutgoingFrame>,
}

impl LinkCore {
    pub(super) fn new(
        identity: PeerIdentity,
        is_dialled: bool,
        limits: LinkLimits,
        idle_factor: u32,
    ) -> (Arc<Self>, LinkQueues) {
        // Sufficient for a peer that reads: each call has at most one cancellation, one refusal and
        // a few credits in the queue.
        let (control, control_queue) =
            mpsc::channel(4 * limits.max_calls + limits.max_requests + 64);
        let (data, data_queue) = mpsc::channel(limits.queued_frames.max(1));
        let core = Arc::new(Self {
            identity,
            is_dialled,
            limits,
            closed: CancellationToken::new(),
            runtime: Handle::current(),
            call_permits: Arc::new(Semaphore::new(limits.max_calls)),
            request_permits: Arc::new(Semaphore::new(limits.max_requests)),
            streams: Mutex::default(),
            next_stream: AtomicU64::new(if is_dialled { 1 } else { 2 }),
            control,
            data,
            queued_bytes: Arc::new(Semaphore::new(limits.queued_bytes as usize)),
            start: Instant::now(),
            last_received_ms: AtomicU64::new(0),
            activity: Mutex::new(LinkActivity::new(idle_factor, Instant::now())),
            close_reason: OnceLock::new(),
        });
        let queues = LinkQueues {
            control: control_queue,
            data: data_queue,
        };
        (core, queues)
    }

    /// Allocates a stream number; those of the dialling side are odd.
    pub(super) fn new_stream(&self) -> u64 {
        self.next_stream.fetch_add(2, Ordering::Relaxed)
    }

    /// Returns whether the stream number is one that the peer allocates.
    pub(super) const fn is_peer_stream(&self, stream: u64) -> bool {
        stream != 0 && stream.is_multiple_of(2) == self.is_dialled
    }

    pub(super) fn streams(&self) -> MutexGuard<'_, LinkStreams> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a small frame with priority; a full queue means that the peer does not read, and
    /// closes the link.
    pub(super) fn queue_control(&self, stream: u64, body: frame::Body) {
        let outgoing = OutgoingFrame {
            frame: PeerFrame {
                stream,
                body: Some(body),
            },
            call: None,
            _queue_permit: None,
        };
        if let Err(mpsc::error::TrySendError::Full(_)) = self.control.try_send(outgoing) {
            self.close("the peer does not read its control frames");
        }
    }

    /// Queues a frame behind those already queued; waits while the queue is full.
    pub(super) async fn queue_data(
        &self,
        stream: u64,
        body: frame::Body,
        call: Option<Arc<CallState>>,
    ) -> Result<()> {
        let frame = PeerFrame {
            stream,
            body: Some(body),
        };
        let len = frame.encoded_len();
        if len > FrameCodec::MAX_LEN {
            return Err(Error::new(
                ErrorKind::BodyTooLarge,
                format!(
                    "a frame of {len} bytes exceeds the limit of {} bytes between instances",
                    FrameCodec::MAX_LEN
                ),
            ));
        }
        let cost = u32::try_from(len)
            .unwrap_or(u32::MAX)
            .min(self.limits.queued_bytes);
        let queue = async {
            let permit = Arc::clone(&self.queued_bytes)
                .acquire_many_owned(cost)
                .await
                .ok();
            let outgoing = OutgoingFrame {
                frame,
                call,
                _queue_permit: permit,
            };
            self.data.send(outgoing).await.is_ok()
        };
        match self.closed.run_until_cancelled(queue).await {
            Some(true) => Ok(()),
            _ => Err(self.lost_error()),
        }
    }

    /// Records that a frame was received now.
    pub(super) fn record_received(&self) {
        let millis = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.last_received_ms.store(millis, Ordering::Release);
    }

    /// Records a frame other than a heartbeat; returns whether the link was idle before.
    pub(super) fn record_activity(&self) -> bool {
        self.activity().record(Instant::now())
    }

    /// Returns the number of heartbeat intervals between two heartbeats.
    pub(super) fn heartbeat_factor(&self) -> u32 {
        self.activity().heartbeat_factor(Instant::now())
    }

    /// Returns whether the peer has been silent for too long, given the limit of a link that is not
    /// idle.
    pub(super) fn is_overdue(&self, limit: Duration) -> bool {
        let received_at = self.last_received_at();
        self.activity()
            .is_overdue(received_at, limit, Instant::now())
    }

    fn activity(&self) -> MutexGuard<'_, LinkActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns when the last frame was received.
    pub(super) fn last_received_at(&self) -> Instant {
        self.start + Duration::from_millis(self.last_received_ms.load(Ordering::Acquire))
    }

    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Closes the link, ends its calls and stops its tasks; the first reason is kept.
    pub(super) fn close(&self, reason: &str) {
        self.close_reason.get_or_init(|| reason.to_owned());
        self.closed.cancel();
        let mut streams = self.streams();
        streams.is_closed = true;
        let (calls, requests, served) = (
            std::mem::take(&mut streams.calls),
            std::mem::take(&mut streams.requests),
            std::mem::take(&mut streams.served),
        );
        drop(streams);
        for slot in served.values() {
            slot.cancelled.cancel();
        }
        drop((calls, requests));
    }

    pub(super) fn close_reason(&self) -> &str {
        self.close_reason.get().map_or("closed", String::as_str)
    }

    /// Returns the error for the loss of the link.
    pub(super) fn lost_error(&self) -> Error {
        Error::new(
            ErrorKind::Peer,
            format!(
                "link to peer {} was lost: {}",
                self.identity.instance,
                self.close_reason()
            ),
        )
    }

    pub(super) fn insert_call(&self, stream: u64, slot: CallSlot) -> Result<()> {
        let mut streams = self.streams();
        if streams.is_closed {
            return Err(self.lost_error());
        }
        streams.calls.insert(stream, slot);
        Ok(())
    }

    pub(super) fn insert_request(
        &self,
        stream: u64,
        sender: oneshot::Sender<PeerReply>,
    ) -> Result<()> {
        let mut streams = self.streams();
        if streams.is_closed {
            return Err(self.lost_error());
        }
        streams.requests.insert(stream, sender);
        Ok(())
    }

    /// Reserves a slot for the reply to a request; returns `false` if too many are in progress.
    pub(super) fn begin_reply(&self) -> bool {
        let mut streams = self.streams();
        let is_free = streams.replies < self.limits.max_requests;
        streams.replies += usize::from(is_free);
        is_free
    }

    /// Removes a call; returns `false` if the peer has already ended it.
    pub(super) fn remove_call(&self, stream: u64) -> bool {
        self.streams().calls.remove(&stream).is_some()
    }

    pub(super) fn remove_served(&self, stream: u64) -> bool {
        self.streams().served.remove(&stream).is_some()
    }

    /// Restores window bytes before credit is returned; returns `false` if the call has ended.
    pub(super) fn restore_window(&self, stream: u64, credit: u32) -> bool {
        self.streams().calls.get_mut(&stream).is_some_and(|slot| {
            slot.used = slot.used.saturating_sub(credit);
            true
        })
    }

    /// Records the window bytes of a chunk that is about to be sent.
    pub(super) fn use_window(&self, stream: u64, cost: u32) {
        if let Some(slot) = self.streams().served.get_mut(&stream) {
            slot.used = slot.used.saturating_add(cost);
        }
    }

    pub(super) fn release_sink(&self, open_len: usize) {
        let mut streams = self.streams();
        streams.sinks = streams.sinks.saturating_sub(1);
        streams.open_bytes = streams.open_bytes.saturating_sub(open_len);
    }
}
