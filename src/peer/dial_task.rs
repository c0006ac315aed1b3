use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::{FutureExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::mesh_core::MeshCore;
use super::peer_entry::PeerDialler;
use super::{FrameCodec, PeerFrame, PeerIdentity, handshake};
use crate::error::{Error, ErrorKind, Result};
use crate::id::InstanceId;
use crate::telemetry::{LogEvent, LogName};

/// Maximum delay between two attempts, in milliseconds.
const MAX_BACKOFF_MS: u64 = 400;

struct DialFailure {
    error: Error,
    /// Whether the expected process is not running at the address.
    is_refused: bool,
}

/// Spawns a task that keeps a link to one peer until the returned dialler is dropped.
pub(super) fn spawn(
    core: &Arc<MeshCore>,
    id: &InstanceId,
    address: SocketAddr,
    used_at: Option<Instant>,
) -> PeerDialler {
    let stop = core.stop.child_token();
    let (core, id) = (Arc::clone(core), id.clone());
    tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
        let mut failures: u32 = 0;
        loop {
            match connect(&core, &id, address).await {
                Ok((frames, identity, first)) => {
                    let start = Instant::now();
                    // A frame that makes a hook panic ends its link, but not the dialling.
                    let link = AssertUnwindSafe(core.run_link(frames, identity, Some(first)));
                    if link.catch_unwind().await.is_err() {
                        log_panic(&id);
                    }
                    // A link that is lost before the link timeout counts as a failed attempt, so that
                    // two peers that reject each other do not reconnect in a tight loop.
                    let is_brief = start.elapsed() < core.config.link_timeout;
                    failures = if is_brief {
                        failures.saturating_add(1)
                    } else {
                        0
                    };
                }
                Err(failure) => {
                    failures = failures.saturating_add(1);
                    log::debug!("peer {id} at {address}: {}", failure.error);
                    core.record_failure(&id, &failure.error, failure.is_refused);
                }
            }
            sleep(backoff(failures)).await;
        }
    }));
    PeerDialler {
        address,
        used_at,
        _stop: stop.drop_guard(),
    }
}

fn log_panic(peer: &InstanceId) {
    LogEvent::new(LogName::InternalFault)
        .with("reason", "the link to a peer panicked and is dialled again")
        .with("peer", peer)
        .send();
}

/// Returns the delay before the next attempt; without a preceding failure it is at most 25 ms, so
/// that a lost link is redialled almost immediately.
///
/// The jitter keeps a whole fleet from reconnecting to a restarted peer at the same time.
fn backoff(failures: u32) -> Duration {
    let ceiling = (25 << failures.min(4)).min(MAX_BACKOFF_MS);
    let floor = if failures == 0 { 0 } else { ceiling / 2 };
    Duration::from_millis(rand::random_range(floor..=ceiling))
}

async fn connect(
    core: &MeshCore,
    id: &InstanceId,
    address: SocketAddr,
) -> Result<(Framed<TcpStream, FrameCodec>, PeerIdentity, PeerFrame), DialFailure> {
    let limit = core.config.dial_timeout();
    let attempt = async {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| DialFailure {
                is_refused: error.kind() == io::ErrorKind::ConnectionRefused,
                error: Error::new(
                    ErrorKind::Peer,
                    format!("cannot connect to {address}: {error}"),
                ),
            })?;
        let not_refused = |error| DialFailure {
            error,
            is_refused: false,
        };
        stream
            .set_nodelay(true)
            .map_err(|error| not_refused(error.into()))?;
        let mut frames = Framed::new(stream, FrameCodec::new(FrameCodec::HELLO_LEN));
        let identity = handshake::dial(&mut frames, &core.config)
            .await
            .map_err(not_refused)?;
        if identity.instance != *id {
            return Err(DialFailure {
                error: Error::new(
                    ErrorKind::Peer,
                    format!("{address} belongs to peer {} now", identity.instance),
                ),
                is_refused: true,
            });
        }
        let first = await_confirmation(&mut frames).await.map_err(not_refused)?;
        Ok((frames, identity, first))
    };
    timeout(limit, attempt).await.unwrap_or_else(|_| {
        Err(DialFailure {
            error: Error::new(
                ErrorKind::Peer,
                format!(
                    "no handshake with {address} within {} ms",
                    limit.as_millis()
                ),
            ),
            is_refused: false,
        })
    })
}

/// Waits for the first frame after the handshake, by which the accepting side confirms the link.
///
/// Without it, a connection that goes silent during the handshake would count as a working link
/// until the link timeout, while the peer receives nothing for twice that time.
async fn await_confirmation(frames: &mut Framed<TcpStream, FrameCodec>) -> Result<PeerFrame> {
    frames.codec_mut().limit_to(FrameCodec::MAX_LEN);
    frames.next().await.transpose()?.ok_or_else(|| {
        Error::new(
            ErrorKind::Peer,
            "the peer closed the connection after the handshake; its log gives the reason",
        )
    })
}
