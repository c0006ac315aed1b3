use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use super::{EntryContext, ErrorResponse, RequestHeaders, ResponseBody, model_call, plain_call};
use crate::error::{Error, ErrorKind, Result};
use crate::id::RequestId;
use crate::telemetry::{LogEvent, LogName};

/// Timeout for the headers of a request and for a TLS handshake, so that a slow sender cannot hold
/// a connection open indefinitely.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for open connections to close on shutdown; the server is closed only after all requests
/// have ended.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of the size limit up to which an oversized body is read and discarded.
const DISCARD_FACTOR: u64 = 8;
/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_ERROR_DELAY: Duration = Duration::from_millis(50);

/// The HTTP server for callers.
///
/// It is built on hyper instead of dropshot because dropshot leaves Nagle's algorithm enabled and
/// offers no option to disable it: small writes of a streamed response then wait for the caller's
/// delayed acknowledgement, which added 42 ms to each response on loopback.
pub struct EntryServer {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl fmt::Debug for EntryServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl EntryServer {
    /// Binds the address and starts to accept connections, with TLS if an acceptor is given.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Settings`] if the address cannot be bound.
    pub fn start(
        context: Arc<EntryContext>,
        address: SocketAddr,
        tls: Option<TlsAcceptor>,
    ) -> Result<Self> {
        let settings_error = |error: std::io::Error| {
            Error::new(
                ErrorKind::Settings,
                format!("caller.address {address}: {error}"),
            )
        };
        let listener = std::net::TcpListener::bind(address).map_err(settings_error)?;
        listener.set_nonblocking(true).map_err(settings_error)?;
        let listener = TcpListener::from_std(listener).map_err(settings_error)?;
        let address = listener.local_addr().map_err(settings_error)?;
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, context, tls, stop.clone()));
        Ok(Self {
            address,
            stop,
            task,
        })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and waits for a limited time until open connections have closed.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Internal`] if the server task failed.
    pub async fn close(self) -> Result<()> {
        self.stop.cancel();
        self.task
            .await
            .map_err(|error| Error::new(ErrorKind::Internal, error.to_string()))
    }
}

async fn accept(
    listener: TcpListener,
    context: Arc<EntryContext>,
    tls: Option<TlsAcceptor>,
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_ERROR_DELAY).await;
            continue;
        };
        let (context, tls) = (Arc::clone(&context), tls.clone());
        tokio::spawn(serve_stream(stream, context, tls, graceful.watcher()));
    }
    drop(listener);
    // Connections still open after the timeout end with the process.
    drop(tokio::time::timeout(SHUTDOWN_TIMEOUT, graceful.shutdown()).await);
}

async fn serve_stream(
    stream: TcpStream,
    context: Arc<EntryContext>,
    tls: Option<TlsAcceptor>,
    watcher: Watcher,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let Some(tls) = tls else {
        return serve(stream, context, watcher).await;
    };
    if let Ok(Ok(stream)) = tokio::time::timeout(HEADER_TIMEOUT, tls.accept(stream)).await {
        serve(stream, context, watcher).await;
    }
}

/// Serves the requests of one connection; a disconnect of the caller cancels the request in
/// progress.
async fn serve(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    context: Arc<EntryContext>,
    watcher: Watcher,
) {
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, std::convert::Infallible>(answer(&context, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    // The error of a broken connection is ignored: there is no caller left to report it to.
    drop(watcher.watch(connection).await);
}

async fn answer(context: &Arc<EntryContext>, request: Request<Incoming>) -> Response<ResponseBody> {
    let id = RequestId::from_u128(rand::random());
    let mut response = match try_answer(context, id, request).await {
        Ok(response) => response,
        Err(error) => {
            LogEvent::new(LogName::RequestRefused)
                .with("request", id)
                .with("run_state", error.run_state())
                .with("reason", &error)
                .send();
            ErrorResponse::from_error(&error, id).to_response(error.kind())
        }
    };
    if let Ok(id) = HeaderValue::from_str(&id.to_string()) {
        response.headers_mut().insert("x-request-id", id);
    }
    response
}

async fn try_answer(
    entry: &Arc<EntryContext>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>> {
    let guard = entry.request_tracker.track();
    if entry.request_tracker.in_progress() > entry.max_in_progress {
        return Err(Error::new(
            ErrorKind::Overloaded,
            "this instance has too many requests in progress",
        )
        .with_retry_after(std::time::Duration::from_secs(1)));
    }
    if entry.config.current().revision == 0 {
        return Err(
            Error::new(ErrorKind::Unavailable, "this instance has no tables yet")
                .with_retry_after(std::time::Duration::from_secs(1)),
        );
    }
    let headers = RequestHeaders::from_map(request.headers())?;
    let (parts, body) = request.into_parts();
    let body = read_body(body, entry.max_body).await?;
    let (method, uri) = (parts.method.as_str(), &parts.uri);
    match uri.path() {
        "/v1/completions" | "/v1/chat/completions" => {
            if method != "POST" {
                return Err(Error::new(
                    ErrorKind::BadRequest,
                    "completions are requested with POST",
                ));
            }
            model_call::answer(entry, guard, id, &headers, body).await
        }
        path => {
            let path = uri
                .path_and_query()
                .map_or(path, http::uri::PathAndQuery::as_str);
            plain_call::answer(entry, guard, id, &headers, (method, path, body)).await
        }
    }
}

/// Reads a body of at most `limit` bytes.
///
/// A moderately larger body is read to its end and discarded: a response sent earlier would reset
/// the connection while the caller still sends, and the caller would not receive the refusal.
async fn read_body(mut body: Incoming, limit: u64) -> Result<Bytes> {
    let (mut bytes, mut length) = (BytesMut::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        let Ok(part) = frame.into_data() else {
            continue;
        };
        length += part.len() as u64;
        if length <= limit {
            bytes.extend_from_slice(&part);
        } else if length > limit.saturating_mul(DISCARD_FACTOR) {
            break;
        }
    }
    if length > limit {
        return Err(Error::new(
            ErrorKind::BodyTooLarge,
            format!("the limit of this instance is {limit} bytes"),
        ));
    }
    Ok(bytes.freeze())
}
