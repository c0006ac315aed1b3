use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::{Instant, Sleep, sleep_until};

use super::upstream_pool::PooledConnection;
use super::{BodyFraming, CrashRecorder, InFlightLoad, InFlightTracker, ModelRef};
use crate::error::{Error, ErrorKind, Result};
use crate::id::UpstreamId;

/// The body of an upstream's response together with the connection it is read from.
///
/// The connection returns to the pool once the body has been read to its end. Dropping the body
/// earlier closes the connection, which cancels the request at the upstream.
#[derive(Debug)]
pub struct ConnectionBody {
    body: Incoming,
    framing: BodyFraming,
    connection: Option<PooledConnection>,
    idle: Option<Duration>,
    guard: InFlightGuard,
    /// Records how the response ends; `None` if it is not a response of a run.
    crashes: Option<CrashRecorder>,
    began_at: Instant,
    /// Number of frames with data so far.
    frames: u32,
    /// Whether the answer is known to be sound: it is complete, or has gone on for
    /// [`SOUND_TIME`] and [`SOUND_FRAMES`].
    is_sound: bool,
    /// Whether the end of the body shows that the answer is sound, as far as its framing shows that.
    has_sound_end: bool,
    deadline: Pin<Box<Sleep>>,
}

/// Time after the start of an answer at which bytes of it prove that the prompt does not crash the
/// upstream, if there were [`SOUND_FRAMES`] before. One that does ends its upstream within a few events.
const SOUND_TIME: Duration = Duration::from_secs(1);

/// Minimum number of frames in a sound answer that is not complete yet. A slow upstream takes long for
/// the few events before its end.
const SOUND_FRAMES: u32 = 16;

/// Keeps a request counted as in flight until the guard is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    tracker: Arc<InFlightTracker>,
    upstream: UpstreamId,
    model: Option<ModelRef>,
    load: InFlightLoad,
}

impl InFlightGuard {
    pub(super) fn new(
        tracker: &Arc<InFlightTracker>,
        upstream: &UpstreamId,
        model: Option<&ModelRef>,
        load: InFlightLoad,
    ) -> Self {
        tracker.begin(upstream, &load);
        if let Some(model) = model {
            tracker.begin_adapter_use(upstream, model);
        }
        Self {
            tracker: Arc::clone(tracker),
            upstream: upstream.clone(),
            model: model.cloned(),
            load,
        }
    }

    /// Stops counting the prompt tokens: the engine has processed the prompt once it sends an
    /// event.
    pub(super) fn record_first_event(&mut self) {
        if self.load.prompt_tokens > 0 {
            let prompt = InFlightLoad {
                prompt_tokens: self.load.prompt_tokens,
                ..InFlightLoad::default()
            };
            self.tracker.end(&self.upstream, &prompt);
            self.load.prompt_tokens = 0;
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.tracker.end(&self.upstream, &self.load);
        if let Some(model) = &self.model {
            self.tracker.end_adapter_use(&self.upstream, model);
        }
    }
}

impl ConnectionBody {
    pub(super) fn new(
        body: Incoming,
        framing: BodyFraming,
        connection: PooledConnection,
        idle: Option<Duration>,
        guard: InFlightGuard,
        deadline: Instant,
    ) -> Self {
        let mut this = Self {
            body,
            framing,
            connection: Some(connection),
            idle,
            guard,
            crashes: None,
            began_at: Instant::now(),
            frames: 0,
            is_sound: false,
            has_sound_end: false,
            deadline: Box::pin(sleep_until(deadline)),
        };
        // Without a body, the response is already complete, and it may never be polled.
        if this.body.is_end_stream() {
            this.release();
        }
        this
    }

    /// Returns the upstream that sends the response.
    pub(super) const fn upstream(&self) -> &UpstreamId {
        &self.guard.upstream
    }

    /// Returns how the upstream marks the end of the body.
    pub(super) const fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Counts a crash of the upstream if the response is cut off from now on.
    pub(super) fn count_crashes(&mut self, crashes: CrashRecorder) {
        self.crashes = Some(crashes);
    }

    /// Records that the response is cut off; the framing need not show it.
    pub(super) fn record_crash(&self) {
        if let Some(crashes) = &self.crashes {
            let _counting = crashes.record_break(Some(self.began_at.elapsed()), self.is_sound);
        }
    }

    /// Takes the end of the body as proof of a sound answer. Without this, the reader of the body calls
    /// [`ConnectionBody::record_sound_end`], if what it has read is whole.
    pub(super) fn end_proves_sound(&mut self) {
        self.has_sound_end = true;
        // A body without bytes may never be polled.
        if self.body.is_end_stream() {
            self.record_sound_end();
        }
    }

    /// Records that the answer has ended and is whole. The end of a connection proves that only if the
    /// upstream has not crashed.
    pub(super) fn record_sound_end(&mut self) {
        if self.framing == BodyFraming::Connection {
            if let Some(crashes) = &self.crashes {
                crashes.record_closed_end();
            }
            return;
        }
        self.record_sound();
        if let Some(crashes) = &self.crashes {
            crashes.clear_request();
        }
    }

    /// Records once that the answer is sound.
    fn record_sound(&mut self) {
        if !self.is_sound {
            self.is_sound = true;
            if let Some(crashes) = &self.crashes {
                crashes.clear_parts();
            }
        }
    }

    /// Closes the connection after this response instead of reusing it.
    pub(super) fn close_after_use(&mut self) {
        self.idle = Some(Duration::ZERO);
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release(self.idle);
        }
    }
}

impl Body for ConnectionBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        if this.deadline.as_mut().poll(cx).is_ready() {
            let error = Error::new(ErrorKind::DeadlineExceeded, "the answer was not complete");
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
            None => {
                this.release();
                if this.has_sound_end {
                    this.record_sound_end();
                }
                Poll::Ready(None)
            }
            Some(Ok(frame)) => {
                this.guard.record_first_event();
                this.frames = this.frames.saturating_add(1);
                let has_frames = this.frames >= SOUND_FRAMES;
                if !this.is_sound && has_frames && this.began_at.elapsed() >= SOUND_TIME {
                    this.record_sound();
                }
                if this.body.is_end_stream() {
                    this.release();
                    if this.has_sound_end {
                        this.record_sound_end();
                    }
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                this.connection = None;
                // A link that was cut says nothing about the request.
                let kind = if is_lost_link(&error) {
                    ErrorKind::Unavailable
                } else {
                    this.record_crash();
                    ErrorKind::Truncated
                };
                Poll::Ready(Some(Err(Error::new(kind, error.to_string()))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Returns whether a connection failed because the other side can't be reached. An upstream that
/// crashes resets its connections instead.
fn is_lost_link(error: &hyper::Error) -> bool {
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::TimedOut
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable
            );
        }
        cause = error.source();
    }
    false
}
