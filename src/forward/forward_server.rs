use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::head_timeout_stream::{HeadPhase, HeadTimeoutStream};
use super::upstream_pool::configure_socket;
use super::{RequestRunner, TrackedBody};
use crate::error::{Error, ErrorKind, Result};

/// Accepts the connections of callers.
#[derive(Debug)]
pub struct ForwardServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: TaskTracker,
}

/// The pause after a failed accept, which mostly means that no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Limits of a caller before the first configuration, as wide as any that was seen.
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;

/// Idle time of a connection before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for a head before the first configuration.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// hyper takes no smaller buffer.
const MIN_HEAD_BYTES: usize = 8192;

impl ForwardServer {
    /// Starts listening; call it inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if the address cannot be listened at.
    pub async fn start(address: SocketAddr, runner: Arc<RequestRunner>) -> Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(|error| {
            Error::new(
                ErrorKind::Settings,
                format!("cannot listen for callers at {address}: {error}; correct the address"),
            )
        })?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let connections = TaskTracker::new();
        let tracker = connections.clone();
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let (runner, stopped) = (Arc::clone(&runner), stopped.clone());
                        tracker.spawn(serve(stream, runner, stopped));
                    }
                    Err(error) => {
                        log::warn!("a caller's connection was not accepted: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Ok(Self {
            address,
            stop,
            connections,
        })
    }

    /// Returns the address that the server listens at.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Lets the connections end with their next answer and waits until all have ended.
    pub async fn shut_down(&self) {
        self.stop.send_replace(true);
        self.connections.close();
        self.connections.wait().await;
    }

    /// Counts the open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }
}

async fn serve(stream: TcpStream, runner: Arc<RequestRunner>, mut stopped: watch::Receiver<bool>) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("a caller's socket was not tuned: {error}");
    }
    let routes = runner.fleet.routes();
    let limits = routes.as_ref().map(|routes| *routes.limits());
    let is_stopping = *stopped.borrow();
    let phase = HeadPhase::new();
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.head_timeout);
    let stream = HeadTimeoutStream::new(stream, Arc::clone(&phase), head_timeout);
    let service = service_fn(move |request| {
        let token = phase.begin_request();
        let runner = Arc::clone(&runner);
        async move {
            let response = runner.run(request).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, token)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // A connection that is opened during a shutdown still gets its one answer; a graceful
        // shutdown would close it before its request arrives.
        .keep_alive(!is_stopping)
        .header_read_timeout(limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout))
        .max_buf_size(limits.map_or(DEFAULT_HEAD_BYTES, |limits| {
            limits.head_bytes.max(MIN_HEAD_BYTES)
        }))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stop = async {
        // The sender lives as long as the server.
        drop(stopped.wait_for(|is_stopping| *is_stopping).await);
        if is_stopping {
            std::future::pending::<()>().await;
        }
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection ended: {error}");
    }
}
