use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::task::TaskTracker;

use super::head_timeout_stream::{HeadPhase, HeadTimeoutStream};
use super::upstream_pool::configure_socket;
use super::{CallerBody, RequestRunner, TrackedBody};
use crate::error::{Error, ErrorKind, Result};
use crate::memory::{MemoryBudget, MemoryGrant};

/// Accepts connections of callers and serves their requests over HTTP/1.1.
#[derive(Debug)]
pub struct ForwardServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    connections: TaskTracker,
    /// Ends the listener.
    close: watch::Sender<bool>,
    listening: TaskTracker,
}

/// Pause after a failed accept, which usually means that the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Size limit of a request head before the first configuration. This and the default timeouts are
/// the largest of any known deployment.
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;

/// Idle timeout of a connection before the first configuration.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time limit for a request head before the first configuration.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Smallest buffer size that hyper accepts.
const MIN_HEAD_BYTES: usize = 8192;

impl ForwardServer {
    /// Starts listening at `address`; must be called within a tokio runtime. What callers take is charged to
    /// `budget`.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if binding to the address fails.
    pub async fn start(
        address: SocketAddr,
        runner: Arc<RequestRunner>,
        budget: Arc<MemoryBudget>,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address).await.map_err(|error| {
            Error::new(
                ErrorKind::Settings,
                format!("cannot listen for callers at {address}: {error}; correct the address"),
            )
        })?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let (close, mut closed) = watch::channel(false);
        let (connections, listening) = (TaskTracker::new(), TaskTracker::new());
        let tracker = connections.clone();
        listening.spawn(async move {
            loop {
                // The connections that wait in the queue are accepted before the listener is closed.
                let accepted = tokio::select! {
                    biased;
                    accepted = listener.accept() => accepted,
                    _ = closed.wait_for(|is_closed| *is_closed) => break,
                };
                match accepted {
                    Ok((stream, _)) => {
                        // A connection without a grant is closed before anything of it is read.
                        let Some(grant) = budget.admit().await else {
                            continue;
                        };
                        let (runner, stopped) = (Arc::clone(&runner), stopped.clone());
                        tracker.spawn(serve(stream, runner, Arc::new(grant), stopped));
                    }
                    Err(error) => {
                        log::warn!("failed to accept a caller's connection: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Ok(Self {
            address,
            stop,
            connections,
            close,
            listening,
        })
    }

    /// Returns the local address, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes each connection after its current or next response, and the listener once none is left.
    /// Waits until all are closed.
    pub async fn shut_down(&self) {
        self.stop.send_replace(true);
        self.connections.close();
        self.connections.wait().await;
        self.close.send_replace(true);
        self.listening.close();
        self.listening.wait().await;
        // One that was accepted meanwhile would be cut off when the process ends.
        self.connections.wait().await;
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }
}

async fn serve(
    stream: TcpStream,
    runner: Arc<RequestRunner>,
    grant: Arc<MemoryGrant>,
    mut stopped: watch::Receiver<bool>,
) {
    if let Err(error) = configure_socket(&stream) {
        log::debug!("failed to set the socket options of a caller's connection: {error}");
    }
    let routes = runner.fleet.routes();
    let limits = routes.as_ref().map(|routes| *routes.limits());
    let is_stopping = *stopped.borrow();
    let phase = HeadPhase::new(Arc::clone(&grant));
    let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |limits| limits.head_timeout);
    let stream = HeadTimeoutStream::new(stream, Arc::clone(&phase), head_timeout);
    let body_grant = Arc::clone(&grant);
    let service = service_fn(move |request: Request<Incoming>| {
        let (token, is_sent_ahead) = phase.begin_request();
        let runner = Arc::clone(&runner);
        let request =
            request.map(|body| CallerBody::new(body, Arc::clone(&body_grant), is_sent_ahead));
        async move {
            let version = request.version();
            let response = runner.run(request).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, token, version)))
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // A connection that is opened during a shutdown still gets a response to one request; a
        // graceful shutdown would close it before its request arrives.
        .keep_alive(!is_stopping)
        .header_read_timeout(limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout))
        .max_buf_size(limits.map_or(DEFAULT_HEAD_BYTES, |limits| {
            limits.head_bytes.max(MIN_HEAD_BYTES)
        }))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stop = async {
        // Fails only if the server, which owns the sender, has been dropped.
        drop(stopped.wait_for(|is_stopping| *is_stopping).await);
        if is_stopping {
            std::future::pending::<()>().await;
        }
    };
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        }
    };
    let ended = tokio::select! {
        ended = serving => ended,
        () = grant.closed() => {
            log::debug!("closed a caller's connection, since callers take too much");
            return;
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended with an error: {error}");
    }
}
