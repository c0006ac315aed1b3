use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::time::{Instant, Interval, MissedTickBehavior, interval_at};

use super::stream_hooks::ResumeFuture;
use super::{ConnectionBody, StreamEnd, StreamHooks, StreamSplitter};
use crate::error::{Error, ErrorKind, Result};
use crate::id::UpstreamId;

/// Relays a stream of events and resumes it at another upstream when it breaks or stalls.
///
/// An incomplete event is held back until the rest arrives, unless it is longer than
/// [`StreamSplitter::MAX_EVENT`]; a stream with such an event is no longer resumed. A stream that ends
/// within an event is broken, whatever its framing states. A broken stream that can't be resumed ends
/// with an error, so that it does not look complete to the caller.
pub struct RelayBody {
    source: RelaySource,
    splitter: StreamSplitter,
    hooks: StreamHooks,
    stall_checks: Interval,
    last_event_at: Instant,
    /// Whether the present upstream has delivered an event.
    has_event: bool,
    has_ended: bool,
}

enum RelaySource {
    Reading(ConnectionBody),
    /// The stream is being resumed at another upstream. A body that is only stalled is kept until
    /// the other upstream responds.
    Resuming(ResumeFuture, Option<ConnectionBody>),
}

/// Minimum number of bytes of an incomplete event that is passed on while memory is short. Ordinary events
/// are shorter, so that their streams can still be resumed.
const MIN_SPLIT: usize = 4096;

/// Interval at which streams are checked for a stall; cheaper than resetting a timer at each event.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an event after which a resumable stream is resumed at another upstream. Callers
/// time out after two seconds without an event, and a healthy upstream rarely pauses for half of
/// that.
const STALL_TIMEOUT: Duration = Duration::from_millis(1100);

impl RelayBody {
    /// Creates a relay of `body`.
    #[must_use]
    pub fn new(body: ConnectionBody, hooks: StreamHooks) -> Self {
        let now = Instant::now();
        let mut stall_checks = interval_at(now + STALL_CHECK_INTERVAL, STALL_CHECK_INTERVAL);
        stall_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            source: RelaySource::Reading(body),
            splitter: StreamSplitter::new(),
            hooks,
            stall_checks,
            last_event_at: now,
            has_event: false,
            has_ended: false,
        }
    }

    /// Returns the bytes that are allocated for an incomplete event.
    pub(super) fn allocated_bytes(&self) -> usize {
        self.splitter.allocated_bytes()
    }

    /// Takes what is held back of a long incomplete event, which is passed on in pieces from now on. The
    /// stream is no longer resumed then.
    ///
    /// Returns `None` if the event is short, or if the stream is being resumed at another upstream, which
    /// sends the event again.
    pub(super) fn release_event(&mut self) -> Option<Bytes> {
        let is_short = self.splitter.partial_bytes() < MIN_SPLIT;
        if is_short || matches!(self.source, RelaySource::Resuming(..)) {
            return None;
        }
        let event = self.splitter.release_event();
        self.hooks.resume = None;
        Some(event)
    }

    /// Starts to resume a broken stream.
    ///
    /// # Errors
    ///
    /// Returns `error` if the stream can't be resumed.
    fn replace_broken(&mut self, error: Error) -> Result<()> {
        self.splitter.discard_partial();
        let Some(resume) = &mut self.hooks.resume else {
            self.has_ended = true;
            return Err(error);
        };
        let last = self.splitter.last_id().map(str::to_owned);
        self.source = RelaySource::Resuming(resume(last), None);
        Ok(())
    }

    /// Starts to resume a stalled stream at another upstream; whichever upstream delivers first
    /// continues it.
    fn hedge_stalled(&mut self) {
        let Some(resume) = &mut self.hooks.resume else {
            return;
        };
        let last = self.splitter.last_id().map(str::to_owned);
        let future = resume(last);
        let former = std::mem::replace(&mut self.source, RelaySource::Resuming(future, None));
        if let (RelaySource::Reading(body), RelaySource::Resuming(_, stalled)) =
            (former, &mut self.source)
        {
            *stalled = Some(body);
        }
    }

    /// Polls the resumption and the stalled body, and continues with whichever delivers an event first.
    ///
    /// Returns complete events of the stalled body, if there are any.
    fn poll_resume(&mut self, cx: &mut Context<'_>) -> Poll<Result<Bytes>> {
        let RelaySource::Resuming(future, stalled) = &mut self.source else {
            return Poll::Ready(Ok(Bytes::new()));
        };
        match future.as_mut().poll(cx) {
            Poll::Ready(Ok(body)) => {
                self.has_event = false;
                self.splitter.discard_partial();
                self.source = RelaySource::Reading(body);
            }
            Poll::Ready(Err(error)) => match stalled.take() {
                // No other upstream resumed the stream; the stalled one may still continue it.
                Some(body) => self.source = RelaySource::Reading(body),
                None => return Poll::Ready(Err(error)),
            },
            Poll::Pending => {
                let Some(mut body) = stalled.take() else {
                    return Poll::Pending;
                };
                let polled = Pin::new(&mut body).poll_frame(cx);
                return self.continue_stalled(body, polled, cx);
            }
        }
        self.last_event_at = Instant::now();
        Poll::Ready(Ok(Bytes::new()))
    }

    /// Goes on with a stalled body if it has delivered an event or has ended, and keeps it beside the
    /// resumption otherwise.
    fn continue_stalled(
        &mut self,
        body: ConnectionBody,
        polled: Poll<Option<Result<Frame<Bytes>>>>,
        cx: &mut Context<'_>,
    ) -> Poll<Result<Bytes>> {
        let mut events = Bytes::new();
        let mut has_progress = false;
        match polled {
            Poll::Pending => {}
            Poll::Ready(Some(Ok(frame))) => {
                if let Ok(bytes) = frame.into_data() {
                    (events, has_progress) = self.split_events(body.upstream(), bytes);
                }
                // Further frames may be waiting, which wake nobody.
                cx.waker().wake_by_ref();
            }
            // The body has ended; polling it as the source yields the end again.
            Poll::Ready(None) => has_progress = true,
            Poll::Ready(Some(Err(error))) => {
                (self.hooks.record_end)(&stream_end(&body, &self.splitter, Some(&error)));
                return Poll::Pending;
            }
        }
        if has_progress {
            self.source = RelaySource::Reading(body);
        } else if let RelaySource::Resuming(_, stalled) = &mut self.source {
            *stalled = Some(body);
        }
        if has_progress || !events.is_empty() {
            return Poll::Ready(Ok(events));
        }
        Poll::Pending
    }

    /// Splits off the events that the bytes of an upstream complete, and returns whether they are
    /// progress. Comments and empty lines are none, nor are bytes of an incomplete event, unless it is
    /// longer than the buffer.
    fn split_events(&mut self, upstream: &UpstreamId, bytes: Bytes) -> (Bytes, bool) {
        let events = self.splitter.push(bytes);
        if self.splitter.has_split_event() {
            self.hooks.resume = None;
        }
        let has_progress = has_event_line(&events);
        if has_progress {
            let now = Instant::now();
            if self.has_event {
                (self.hooks.record_gap)(upstream, now - self.last_event_at);
            }
            self.has_event = true;
            self.last_event_at = now;
        }
        (events, has_progress)
    }

    /// Returns whether a stall check is due and finds that a resumable stream has delivered nothing
    /// for longer than the stall timeout.
    fn is_stalled(&mut self, cx: &mut Context<'_>) -> bool {
        let mut is_due = false;
        while self.stall_checks.poll_tick(cx).is_ready() {
            is_due = true;
        }
        is_due && self.hooks.resume.is_some() && self.last_event_at.elapsed() > STALL_TIMEOUT
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        let this = self.get_mut();
        loop {
            if this.has_ended {
                return Poll::Ready(None);
            }
            let body = match &mut this.source {
                RelaySource::Resuming(..) => match ready!(this.poll_resume(cx)) {
                    Ok(events) if events.is_empty() => continue,
                    Ok(events) => return Poll::Ready(Some(Ok(Frame::data(events)))),
                    Err(error) => {
                        this.has_ended = true;
                        return Poll::Ready(Some(Err(error)));
                    }
                },
                RelaySource::Reading(body) => body,
            };
            match Pin::new(&mut *body).poll_frame(cx) {
                Poll::Pending => {
                    if !this.is_stalled(cx) {
                        return Poll::Pending;
                    }
                    this.hedge_stalled();
                }
                Poll::Ready(None) => {
                    let fault = this.splitter.is_within_event().then(|| {
                        Error::new(ErrorKind::Truncated, "the stream ended within an event")
                    });
                    (this.hooks.record_end)(&stream_end(body, &this.splitter, fault.as_ref()));
                    if let Some(error) = fault {
                        body.record_crash();
                        if let Err(error) = this.replace_broken(error) {
                            return Poll::Ready(Some(Err(error)));
                        }
                        continue;
                    }
                    body.record_sound_end();
                    this.has_ended = true;
                    let rest = this.splitter.finish();
                    if !rest.is_empty() {
                        return Poll::Ready(Some(Ok(Frame::data(rest))));
                    }
                }
                Poll::Ready(Some(Ok(frame))) => {
                    if let Ok(bytes) = frame.into_data() {
                        let upstream = body.upstream().clone();
                        let (events, _) = this.split_events(&upstream, bytes);
                        if !events.is_empty() {
                            return Poll::Ready(Some(Ok(Frame::data(events))));
                        }
                    }
                }
                Poll::Ready(Some(Err(error))) => {
                    (this.hooks.record_end)(&stream_end(body, &this.splitter, Some(&error)));
                    if error.kind() == ErrorKind::DeadlineExceeded {
                        this.has_ended = true;
                        return Poll::Ready(Some(Err(error)));
                    }
                    if let Err(error) = this.replace_broken(error) {
                        return Poll::Ready(Some(Err(error)));
                    }
                }
            }
        }
    }
}

/// Returns whether a line of a stream belongs to an event.
fn has_event_line(events: &[u8]) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
    let mut lines = events.split(is_line_end);
    lines.any(|line| line.first().is_some_and(|byte| *byte != b':'))
}

/// Describes the end of the stream that `body` delivered.
fn stream_end<'a>(
    body: &'a ConnectionBody,
    splitter: &'a StreamSplitter,
    fault: Option<&'a Error>,
) -> StreamEnd<'a> {
    StreamEnd {
        upstream: body.upstream(),
        framing: body.framing(),
        fault,
        partial_bytes: splitter.partial_bytes(),
        last_event: splitter.last_id(),
    }
}

impl fmt::Debug for RelayBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayBody")
            .field("splitter", &self.splitter)
            .field("has_ended", &self.has_ended)
            .finish_non_exhaustive()
    }
}
