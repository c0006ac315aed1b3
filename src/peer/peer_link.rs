use std::sync::Arc;
use std::time::{Duration, Instant};

use prost::Message;
use tokio::sync::{mpsc, oneshot};

use super::call_state::CallState;
use super::call_window::MAX_CHUNKS;
use super::frame_limit::MAX_REQUEST_LEN;
use super::link_core::LinkCore;
use super::link_streams::CallSlot;
use super::{CallEvents, CallOpen, PeerIdentity, PeerReply, PeerRequest, frame};
use crate::error::{Error, ErrorKind, Result, RunState};

/// A connection to a peer, on which either side may open calls and send requests.
#[derive(Debug, Clone)]
pub struct PeerLink {
    pub(super) core: Arc<LinkCore>,
}

impl PeerLink {
    /// Returns the identity that the peer sent in its hello.
    #[must_use]
    pub fn identity(&self) -> &PeerIdentity {
        &self.core.identity
    }

    /// Returns when the last frame was received from the peer.
    #[must_use]
    pub fn last_received_at(&self) -> Instant {
        self.core.last_received_at()
    }

    /// Returns whether the link was closed or lost.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.core.is_closed()
    }

    /// Forwards a request to the peer.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if too many calls are open on the link, and
    /// [`ErrorKind::Peer`] if the link is lost. In both cases the request did not run.
    pub async fn open_call(&self, open: CallOpen) -> Result<CallEvents> {
        let core = &self.core;
        let permit = Arc::clone(&core.call_permits)
            .try_acquire_owned()
            .ok()
            .ok_or_else(|| {
                Error::new(
                    ErrorKind::Overloaded,
                    format!(
                        "{} calls are open on the link to peer {}",
                        core.limits.max_calls, core.identity.instance
                    ),
                )
            })?;
        let stream = core.new_stream();
        let (sender, receiver) = mpsc::channel(MAX_CHUNKS + 1);
        core.insert_call(stream, CallSlot { sender, used: 0 })?;
        // From here on, dropping `events` removes the call.
        let events = CallEvents {
            link: Arc::clone(core),
            stream,
            state: Arc::new(CallState::default()),
            receiver,
            consumed: 0,
            is_ended: false,
            _permit: permit,
        };
        core.queue_data(
            stream,
            frame::Body::Open(open),
            Some(Arc::clone(&events.state)),
        )
        .await?;
        Ok(events)
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Peer`] if the link is lost or no reply is received within `timeout`;
    /// the run state is [`RunState::Unknown`] then. Returns [`ErrorKind::BodyTooLarge`] for a
    /// request that exceeds 256 KiB.
    pub async fn request(&self, request: PeerRequest, timeout: Duration) -> Result<PeerReply> {
        let core = &self.core;
        let len = request.encoded_len();
        if len > MAX_REQUEST_LEN {
            return Err(Error::new(
                ErrorKind::BodyTooLarge,
                format!("a question of {len} bytes exceeds the limit of {MAX_REQUEST_LEN} bytes"),
            ));
        }
        let stream = core.new_stream();
        let state = Arc::new(CallState::default());
        let slot = RequestSlot {
            core,
            stream,
            state: Arc::clone(&state),
        };
        let exchange = async {
            // The semaphore is never closed.
            let _permit = core.request_permits.acquire().await;
            let (sender, receiver) = oneshot::channel();
            core.insert_request(slot.stream, sender)?;
            core.queue_data(stream, frame::Body::Ask(request), Some(state))
                .await?;
            receiver
                .await
                .ok()
                .ok_or_else(|| core.lost_error().with_run_state(RunState::Unknown))
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or_else(|_| {
                Err(Error::new(
                    ErrorKind::Peer,
                    format!(
                        "peer {} sent no reply within {} ms",
                        core.identity.instance,
                        timeout.as_millis()
                    ),
                )
                .with_run_state(RunState::Unknown))
            })
    }
}

/// Removes a pending request when its future is dropped, also from the send queue.
struct RequestSlot<'a> {
    core: &'a LinkCore,
    stream: u64,
    state: Arc<CallState>,
}

impl Drop for RequestSlot<'_> {
    fn drop(&mut self) {
        self.core.streams().requests.remove(&self.stream);
        self.state.cancel();
    }
}
