use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::codec::Framed;

use super::mesh_core::MeshCore;
use super::{FrameCodec, PeerIdentity, handshake};
use crate::error::{Error, ErrorKind, Result};

/// Maximum number of concurrent handshakes; further connections wait in the listen queue.
const MAX_HANDSHAKES: usize = 64;

/// Delay after a failed accept, which usually means that no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of peers until the mesh stops.
pub(super) fn spawn(core: Arc<MeshCore>, listener: TcpListener) {
    let stop = core.stop.clone();
    tokio::spawn(stop.run_until_cancelled_owned(async move {
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        loop {
            // The semaphore is never closed.
            let permit = Arc::clone(&handshakes).acquire_owned().await.ok();
            let Ok((stream, address)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let core = Arc::clone(&core);
            tokio::spawn(async move {
                let accepted = accept_handshake(&core, stream).await;
                drop(permit);
                match accepted {
                    Ok((frames, identity)) => core.run_link(frames, identity, None).await,
                    Err(error) => log::warn!("connection from {address} was closed: {error}"),
                }
            });
        }
    }));
}

async fn accept_handshake(
    core: &MeshCore,
    stream: TcpStream,
) -> Result<(Framed<TcpStream, FrameCodec>, PeerIdentity)> {
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, FrameCodec::new(FrameCodec::HELLO_LEN));
    let limit = core.config.dial_timeout();
    let identity = timeout(limit, handshake::accept(&mut frames, &core.config))
        .await
        .unwrap_or_else(|_| {
            Err(Error::new(
                ErrorKind::Peer,
                format!("no handshake within {} ms", limit.as_millis()),
            ))
        })?;
    Ok((frames, identity))
}
