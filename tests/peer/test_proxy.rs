use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Forwards connections on loopback and can permanently stop forwarding on the open ones.
pub struct TestProxy {
    pub address: SocketAddr,
    /// Connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    generation: Arc<AtomicU64>,
    is_frozen: Arc<AtomicBool>,
    connections: CancellationToken,
    _stop: DropGuard,
}

impl TestProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let generation = Arc::new(AtomicU64::new(0));
        let is_frozen = Arc::new(AtomicBool::new(false));
        let frozen = Arc::clone(&is_frozen);
        let accepted = Arc::new(AtomicUsize::new(0));
        let stop = CancellationToken::new();
        let connections = stop.child_token();
        let (current, count, token) = (
            Arc::clone(&generation),
            Arc::clone(&accepted),
            connections.clone(),
        );
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            loop {
                let Ok((near, _)) = listener.accept().await else {
                    return;
                };
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                count.fetch_add(1, Ordering::Relaxed);
                if frozen.load(Ordering::SeqCst) {
                    let waiting = (near, far);
                    tokio::spawn(token.clone().run_until_cancelled_owned(async move {
                        let _open = waiting;
                        std::future::pending::<()>().await;
                    }));
                    continue;
                }
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                for (from, to) in [(near_read, far_write), (far_read, near_write)] {
                    let forward = forward(from, to, Arc::clone(&current));
                    tokio::spawn(token.clone().run_until_cancelled_owned(forward));
                }
            }
        }));
        Self {
            address,
            accepted,
            generation,
            is_frozen,
            connections,
            _stop: stop.drop_guard(),
        }
    }

    /// Stops forwarding on the open connections without closing them; new connections work.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Accepts connections but forwards nothing on any of them, like a paused process.
    pub fn freeze(&self) {
        self.is_frozen.store(true, Ordering::SeqCst);
        self.silence();
    }

    /// Closes all open and later connections.
    pub fn close_all(&self) {
        self.connections.cancel();
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, generation: Arc<AtomicU64>) {
    let own = generation.load(Ordering::SeqCst);
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(len) = from.read(&mut buffer).await else {
            return;
        };
        if generation.load(Ordering::SeqCst) != own {
            // Continues to read, so that the connection stays open and looks healthy to the sender.
            discard_input(&mut from, &mut buffer).await;
            std::future::pending::<()>().await;
        }
        if len == 0 || to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

async fn discard_input(from: &mut OwnedReadHalf, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|len| len > 0) {}
}
