use std::error::Error as StdError;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::timed_body::{TimedBody, WriteLimitError};
use super::yielding_connector::YieldingConnector;
use super::{BodyFault, MAX_RESPONSE_HEAD_BYTES, MAX_RESPONSE_HEADERS, WriteLimit, read_bounded};
use crate::error::{Error, ErrorKind, Result, RunState};

type PooledClient = Client<YieldingConnector, TimedBody>;

/// Time after which an idle connection is closed; shorter than the idle timeouts of common servers,
/// so that requests rarely use a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time between TCP keep-alive probes; one second is the shortest that the kernel accepts.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as lost; with two, this takes about 3 s.
const KEEPALIVE_RETRIES: u32 = 2;

/// Sends requests to one address over pooled connections.
#[derive(Debug, Clone)]
pub struct HttpTransport {
    address: SocketAddr,
    timeout: Duration,
    kind: ErrorKind,
    client: Arc<Mutex<PooledClient>>,
}

impl HttpTransport {
    /// Creates a transport whose failures have the kind `kind`; `timeout` limits the wait for a
    /// response body and the time that the kernel goes on to send a request, and half of it the wait for
    /// a connection.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration, kind: ErrorKind) -> Self {
        Self {
            address,
            timeout,
            kind,
            client: Arc::new(Mutex::new(build_client(timeout))),
        }
    }

    /// Returns the time limit for a response body, which clients also use for the response head.
    #[must_use]
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Builds the URI of a path, with its query, at the transport's address.
    ///
    /// # Errors
    ///
    /// Fails with [`ErrorKind::BadRequest`] if the path has no leading slash or is malformed.
    pub fn uri(&self, path: &str) -> Result<Uri> {
        // Without the slash, a path such as "@host/" would extend the address to another host.
        if !path.starts_with('/') {
            return Err(Error::new(
                ErrorKind::BadRequest,
                format!("path {path:?} does not start with a slash"),
            ));
        }
        format!("http://{}{path}", self.address)
            .parse()
            .map_err(|error| Error::new(ErrorKind::BadRequest, format!("path {path:?}: {error}")))
    }

    /// Sends a request and waits up to `wait` for the head of the response.
    ///
    /// # Errors
    ///
    /// As [`send_before`](Self::send_before).
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Incoming>> {
        self.send_limited(request, wait, None).await
    }

    /// Sends a request, which must have a body, unless `limit` passes before it is written, and waits up
    /// to `wait` for the head of the response.
    ///
    /// The run state of the error is "not run" only if no connection was established or the limit has
    /// passed, so that no byte of the request was written.
    ///
    /// # Errors
    ///
    /// Fails if no connection is established, the limit passes, or no head arrives in time.
    pub async fn send_before(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
        limit: WriteLimit,
    ) -> Result<Response<Incoming>> {
        self.send_limited(request, wait, Some(limit)).await
    }

    async fn send_limited(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
        limit: Option<WriteLimit>,
    ) -> Result<Response<Incoming>> {
        let request = request.map(|body| TimedBody::new(body, limit));
        let client = self
            .client
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        match tokio::time::timeout(wait, client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                let run_state = if error.is_connect() || is_late(&error) {
                    RunState::NotRun
                } else {
                    RunState::Unknown
                };
                Err(self.fail(&describe(&error), run_state))
            }
            Err(_) => {
                // Other pooled connections may be unresponsive too, while new connections work.
                self.reset_connections();
                Err(self.fail(&format!("no answer within {wait:?}"), RunState::Unknown))
            }
        }
    }

    /// Reads the body of a response, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is cut off, exceeds the limit or is not complete within the time limit.
    pub async fn read_body(&self, response: Response<Incoming>, limit: usize) -> Result<Bytes> {
        let body = read_bounded(response.into_body(), limit);
        match tokio::time::timeout(self.timeout, body).await {
            Ok(Ok(bytes)) => Ok(bytes),
            Ok(Err(BodyFault::TooLong)) => Err(self.fail(
                &format!("answer longer than {limit} bytes"),
                RunState::Unknown,
            )),
            Ok(Err(BodyFault::Broken(error))) => {
                Err(self.fail(&format!("answer cut off: {error}"), RunState::Unknown))
            }
            Err(_) => {
                self.reset_connections();
                Err(self.fail(
                    &format!("answer not complete within {:?}", self.timeout),
                    RunState::Unknown,
                ))
            }
        }
    }

    /// Abandons all pooled connections; the next request opens a new one.
    pub fn reset_connections(&self) {
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = build_client(self.timeout);
    }

    /// Creates an error of the transport's kind whose detail starts with the address.
    #[must_use]
    pub fn fail(&self, detail: &str, run_state: RunState) -> Error {
        Error::new(self.kind, format!("{}: {detail}", self.address)).with_run_state(run_state)
    }
}

fn build_client(timeout: Duration) -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // Shorter than the time limit for a response, so that a failure to connect is distinguished
    // from a request without a response.
    connector.set_connect_timeout(Some(timeout / 2));
    // Probes detect a connection that is lost while a long poll waits on it.
    connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    // A paused process cannot give up a call, but its kernel goes on sending.
    connector.set_tcp_user_timeout(Some(timeout.min(KEEPALIVE_INTERVAL * KEEPALIVE_RETRIES)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .http1_max_headers(MAX_RESPONSE_HEADERS)
        .build(YieldingConnector::new(connector))
}

/// Returns whether a request failed because its write limit had passed.
fn is_late(error: &(dyn StdError + 'static)) -> bool {
    error.is::<WriteLimitError>() || error.source().is_some_and(is_late)
}

/// Formats an error with its causes, since the client's own text names only the step that failed.
fn describe(error: &dyn StdError) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
