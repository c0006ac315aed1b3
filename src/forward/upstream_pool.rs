use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::error::{Error, ErrorKind, Result, RunState};
use crate::id::UpstreamId;
use crate::transport::{MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEADERS, YieldingStream};

/// A pool of HTTP/1.1 connections to upstreams.
#[derive(Debug)]
pub struct UpstreamPool {
    /// Number of connections to all upstreams from which an idle one is closed for each new one.
    limit: usize,
    state: Mutex<BTreeMap<UpstreamId, PoolState>>,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    open: usize,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    usable_until: Instant,
}

/// A connection that is in use; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct PooledConnection {
    pub(super) sender: Option<SendRequest<Full<Bytes>>>,
    pub(super) is_reused: bool,
    upstream: UpstreamId,
    pool: Arc<UpstreamPool>,
}

/// Timeout for opening a connection. Connecting to another failure domain takes a few milliseconds.
/// A lost SYN is retransmitted only after a second, when another upstream would have responded.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which a connection is no longer reused if the upstream states no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(2);

/// Interval of TCP keep-alive probes, the shortest that the kernel accepts.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// `TCP_USER_TIMEOUT`: time after which a connection with unacknowledged bytes is closed.
const USER_TIMEOUT: Duration = Duration::from_millis(2500);

impl UpstreamPool {
    /// Creates an empty pool. Once `limit` connections are open to all upstreams together, an idle one is
    /// closed for each new one. Those in use are limited by the requests in progress.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    /// Returns an idle connection or opens a new one; if `is_fresh` is set, always opens a new one, in
    /// place of an idle one at the limit.
    ///
    /// # Errors
    ///
    /// Returns an error with [`RunState::NotRun`] if no connection can be established or `max_open`
    /// connections are already open. Its kind is `Unavailable` if the upstream refuses the connection or
    /// does not respond.
    pub(super) async fn acquire(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        address: SocketAddr,
        max_open: usize,
        is_fresh: bool,
    ) -> Result<PooledConnection> {
        if !is_fresh && let Some(sender) = self.take_idle(upstream) {
            return Ok(self.check_out(upstream, Some(sender), true));
        }
        if !self.count_open(upstream, max_open) {
            let detail = format!("{upstream}: {max_open} connections are open; raise its limit");
            return Err(not_run(ErrorKind::Overloaded, detail));
        }
        let mut connection = self.check_out(upstream, None, false);
        let fail = |kind: ErrorKind, error: &dyn std::fmt::Display| {
            not_run(kind, format!("{upstream} at {address}: {error}"))
        };
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|error| fail(ErrorKind::Unavailable, &error))?
            .map_err(|error| fail(connect_error_kind(&error), &error))?;
        configure_socket(&stream).map_err(|error| fail(ErrorKind::Internal, &error))?;
        let (sender, driver) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_RESPONSE_HEAD_BYTES)
            .max_headers(MAX_RESPONSE_HEADERS)
            .handshake(TokioIo::new(YieldingStream::new(stream)))
            .await
            .map_err(|error| fail(ErrorKind::Upstream, &error))?;
        tokio::spawn(async move {
            // The user of the connection receives the error as well, so it is only logged here.
            if let Err(error) = driver.await {
                log::debug!("connection to an upstream ended with an error: {error}");
            }
        });
        connection.sender = Some(sender);
        Ok(connection)
    }

    /// Closes the idle connections of upstreams for which `is_listed` returns `false`.
    pub fn retain(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        for (upstream, pool) in self.lock().iter_mut() {
            if !is_listed(upstream) {
                pool.open -= pool.idle.len();
                pool.idle.clear();
            }
        }
        self.lock().retain(|_, pool| pool.open > 0);
    }

    /// Returns the number of connections to an upstream that are in use.
    pub(super) fn in_use(&self, upstream: &UpstreamId) -> usize {
        let state = self.lock();
        let pool = state.get(upstream);
        pool.map_or(0, |pool| pool.open.saturating_sub(pool.idle.len()))
    }

    /// Counts one more open connection unless `max_open` are in use; returns whether it did. At the
    /// limit, it closes an idle connection.
    fn count_open(&self, upstream: &UpstreamId, max_open: usize) -> bool {
        let mut state = self.lock();
        if state.values().map(|pool| pool.open).sum::<usize>() >= self.limit {
            close_idle(&mut state);
        }
        let pool = state.entry(upstream.clone()).or_default();
        if pool.open >= max_open && pool.idle.pop().is_some() {
            pool.open -= 1;
        }
        let is_allowed = pool.open < max_open;
        if is_allowed {
            pool.open += 1;
        }
        is_allowed
    }

    fn check_out(
        self: &Arc<Self>,
        upstream: &UpstreamId,
        sender: Option<SendRequest<Full<Bytes>>>,
        is_reused: bool,
    ) -> PooledConnection {
        PooledConnection {
            sender,
            is_reused,
            upstream: upstream.clone(),
            pool: Arc::clone(self),
        }
    }

    fn take_idle(&self, upstream: &UpstreamId) -> Option<SendRequest<Full<Bytes>>> {
        let now = Instant::now();
        let mut state = self.lock();
        let pool = state.get_mut(upstream)?;
        while let Some(idle) = pool.idle.pop() {
            if idle.usable_until > now && idle.sender.is_ready() {
                return Some(idle.sender);
            }
            pool.open -= 1;
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, PoolState>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledConnection {
    /// Returns the connection to the pool; `idle` is the idle timeout that the upstream stated.
    pub(super) fn release(mut self, idle: Option<Duration>) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        let Some(limit) = idle_limit(idle) else {
            self.sender = Some(sender);
            return;
        };
        let mut state = self.pool.lock();
        if let Some(pool) = state.get_mut(&self.upstream) {
            pool.idle.push(IdleConnection {
                sender,
                usable_until: Instant::now() + limit,
            });
            // Offsets the decrement when `self` is dropped: the connection stays open.
            pool.open += 1;
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(pool) = self.pool.lock().get_mut(&self.upstream) {
            pool.open = pool.open.saturating_sub(1);
        }
    }
}

/// Closes the idle connection that could be reused for the shortest time.
fn close_idle(state: &mut BTreeMap<UpstreamId, PoolState>) {
    // The connections of a pool are in the order in which they became idle.
    let oldest = state
        .values_mut()
        .filter(|pool| !pool.idle.is_empty())
        .min_by_key(|pool| pool.idle[0].usable_until);
    if let Some(pool) = oldest {
        pool.idle.remove(0);
        pool.open -= 1;
    }
}

/// Returns the time for which an idle connection may be reused.
///
/// It is shorter than the stated limit by a margin, so that no request is sent on a connection that
/// the upstream is closing.
fn idle_limit(stated: Option<Duration>) -> Option<Duration> {
    match stated {
        None => Some(DEFAULT_IDLE_LIMIT),
        Some(limit) => limit
            .checked_sub(Duration::from_millis(700))
            .filter(|limit| !limit.is_zero()),
    }
}

pub(super) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_INTERVAL)
            .with_interval(PROBE_INTERVAL)
            .with_retries(2),
    )?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Tells an upstream that can't be reached from a fault of this process, such as a lack of file
/// descriptors.
fn connect_error_kind(error: &io::Error) -> ErrorKind {
    match error.kind() {
        io::ErrorKind::ConnectionRefused
        | io::ErrorKind::TimedOut
        | io::ErrorKind::HostUnreachable
        | io::ErrorKind::NetworkUnreachable => ErrorKind::Unavailable,
        _ => ErrorKind::Internal,
    }
}

fn not_run(kind: ErrorKind, detail: String) -> Error {
    Error::new(kind, detail).with_run_state(RunState::NotRun)
}
