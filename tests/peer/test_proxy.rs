use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Forwards connections on loopback and can make the open ones silent for good.
pub struct TestProxy {
    pub address: SocketAddr,
    /// Connections accepted so far.
    pub accepted: Arc<AtomicUsize>,
    generation: Arc<AtomicU64>,
    is_held: Arc<AtomicBool>,
    lines: CancellationToken,
    _stop: DropGuard,
}

impl TestProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let generation = Arc::new(AtomicU64::new(0));
        let is_held = Arc::new(AtomicBool::new(false));
        let held = Arc::clone(&is_held);
        let accepted = Arc::new(AtomicUsize::new(0));
        let stop = CancellationToken::new();
        let lines = stop.child_token();
        let (current, count, token) = (
            Arc::clone(&generation),
            Arc::clone(&accepted),
            lines.clone(),
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
                if held.load(Ordering::SeqCst) {
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
                    let pump = pump(from, to, Arc::clone(&current));
                    tokio::spawn(token.clone().run_until_cancelled_owned(pump));
                }
            }
        }));
        Self {
            address,
            accepted,
            generation,
            is_held,
            lines,
            _stop: stop.drop_guard(),
        }
    }

    /// Stops forwarding on the open connections without closing them; new ones work.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Accepts connections, but forwards nothing on any of them, like a paused process.
    pub fn hold(&self) {
        self.is_held.store(true, Ordering::SeqCst);
        self.silence();
    }

    /// Closes the open connections, and those that are opened later.
    pub fn cut(&self) {
        self.lines.cancel();
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, generation: Arc<AtomicU64>) {
    let own = generation.load(Ordering::SeqCst);
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(len) = from.read(&mut buffer).await else {
            return;
        };
        if generation.load(Ordering::SeqCst) != own {
            // Reads on, so that the connection stays open and looks healthy to the sender.
            continue_silently(&mut from, &mut buffer).await;
            std::future::pending::<()>().await;
        }
        if len == 0 || to.write_all(&buffer[..len]).await.is_err() {
            return;
        }
    }
}

async fn continue_silently(from: &mut OwnedReadHalf, buffer: &mut [u8]) {
    while from.read(buffer).await.is_ok_and(|len| len > 0) {}
}
